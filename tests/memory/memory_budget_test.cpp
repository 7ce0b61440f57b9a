#include "memory/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

/// A caller that has `queued` response bytes to read, and has read `read` before.
CallerMemory unread(std::size_t queued, std::uint64_t read = 0) {
  CallerMemory memory;
  memory.held.unread_response = queued;
  memory.queued_response = queued;
  memory.response_read = read;
  return memory;
}

CallerMemory with_body(std::size_t received, std::size_t promised) {
  CallerMemory memory;
  memory.held.request_body = received;
  memory.promised = promised;
  return memory;
}

CallerMemory unadmitted(std::size_t bytes) {
  CallerMemory memory;
  memory.held.request_head = bytes;
  memory.unadmitted_input = bytes;
  return memory;
}

}  // namespace

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(holds_a_response_back_until_half_is_read);
  CPPUNIT_TEST(holds_responses_back_earlier_when_full);
  CPPUNIT_TEST(refuses_bodies_above_the_first_threshold);
  CPPUNIT_TEST(counts_the_rest_of_admitted_bodies);
  CPPUNIT_TEST(cuts_off_the_response_that_is_unread_longest);
  CPPUNIT_TEST(never_cuts_off_a_caller_that_reads_in_time);
  CPPUNIT_TEST(keeps_the_level_until_clearly_below_the_threshold);
  CPPUNIT_TEST(forgets_callers_without_held_bytes);
  CPPUNIT_TEST(drops_the_oldest_unadmitted_input_beyond_its_share);
  CPPUNIT_TEST(drops_unadmitted_input_first_when_the_budget_is_exceeded);
  CPPUNIT_TEST(refuses_large_requests_when_full_and_others_only_when_exceeded);
  CPPUNIT_TEST_SUITE_END();

  MemoryBudget budget{10 * kMegabyte};
  TimePoint now{seconds(100)};

 public:
  // Reading resumed at each byte that is read would pause again with the next one.
  void holds_a_response_back_until_half_is_read() {
    budget.update(1, unread(256 * kKilobyte), now);
    CPPUNIT_ASSERT(!budget.holds_back(1));
    budget.update(1, unread(256 * kKilobyte + 1), now);
    CPPUNIT_ASSERT(budget.holds_back(1));
    budget.update(1, unread(128 * kKilobyte + 1), now);
    CPPUNIT_ASSERT(budget.holds_back(1));
    budget.update(1, unread(128 * kKilobyte), now);
    CPPUNIT_ASSERT(!budget.holds_back(1));
  }

  // With a fixed limit, enough callers exceed any budget before any of them reads too slowly.
  void holds_responses_back_earlier_when_full() {
    budget.update(1, with_body(8 * kMegabyte, 0), now);
    budget.update(2, unread(33 * kKilobyte), now);
    CPPUNIT_ASSERT(budget.holds_back(2));
    budget.update(1, with_body(11 * kMegabyte, 0), now);
    budget.update(3, unread(1), now);
    CPPUNIT_ASSERT(budget.holds_back(3));
  }

  void refuses_bodies_above_the_first_threshold() {
    CPPUNIT_ASSERT(budget.admits_body(4 * kMegabyte));
    CPPUNIT_ASSERT(!budget.admits_body(6 * kMegabyte));  // With its copy it exceeds the budget.
    budget.update(1, with_body(8 * kMegabyte, 0), now);
    CPPUNIT_ASSERT(budget.level() == MemoryLevel::full);
    CPPUNIT_ASSERT(!budget.admits_body(MemoryBudget::kSmallBodyBytes + 1));
    CPPUNIT_ASSERT(budget.admits_body(MemoryBudget::kSmallBodyBytes));
    budget.remove(1);
    CPPUNIT_ASSERT(budget.admits_body(4 * kMegabyte));
  }

  // Many bodies admitted at once exceeded the budget when the rest of each arrived.
  void counts_the_rest_of_admitted_bodies() {
    budget.update(1, with_body(0, 8 * kMegabyte), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.held().total());
    CPPUNIT_ASSERT(!budget.admits_body(kMegabyte));
  }

  void cuts_off_the_response_that_is_unread_longest() {
    budget.update(1, unread(4 * kMegabyte), now);
    now += milliseconds(10);
    budget.update(2, unread(4 * kMegabyte), now);
    now += seconds(2);
    CPPUNIT_ASSERT(!budget.next_to_cut_off(now));  // The budget holds.
    budget.update(3, with_body(3 * kMegabyte, 0), now);
    CPPUNIT_ASSERT(budget.level() == MemoryLevel::exceeded);
    CPPUNIT_ASSERT_EQUAL(CallerNumber{1}, *budget.next_to_cut_off(now));
    budget.remove(1);
    CPPUNIT_ASSERT(!budget.next_to_cut_off(now));
  }

  // A caller on a slow link always has unread bytes, but not the same ones.
  void never_cuts_off_a_caller_that_reads_in_time() {
    std::uint64_t read = 0;
    for (int step = 0; step < 30; ++step) {
      budget.update(1, unread(11 * kMegabyte, read), now);
      CPPUNIT_ASSERT(!budget.next_to_cut_off(now));
      now += milliseconds(900);
      read += 11 * kMegabyte;
    }
    CPPUNIT_ASSERT(!budget.reads_slowly(1, now));
    budget.update(1, unread(11 * kMegabyte, read), now);
    now += milliseconds(1001);
    CPPUNIT_ASSERT(budget.reads_slowly(1, now));
    CPPUNIT_ASSERT_EQUAL(CallerNumber{1}, *budget.next_to_cut_off(now));
  }

  void keeps_the_level_until_clearly_below_the_threshold() {
    budget.update(1, with_body(8 * kMegabyte, 0), now);
    budget.update(1, with_body(7 * kMegabyte, 0), now);
    CPPUNIT_ASSERT(budget.level() == MemoryLevel::full);
    budget.update(1, with_body(6 * kMegabyte, 0), now);
    CPPUNIT_ASSERT(budget.level() == MemoryLevel::normal);
  }

  void forgets_callers_without_held_bytes() {
    budget.update(1, unread(9 * kMegabyte), now);
    budget.update(1, unread(0, 9 * kMegabyte), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.tracked());
    CPPUNIT_ASSERT(budget.level() == MemoryLevel::normal);
    budget.remove(1);
  }

  // A crowd of incomplete requests would otherwise take the memory of complete ones.
  void drops_the_oldest_unadmitted_input_beyond_its_share() {
    budget.update(7, unadmitted(kMegabyte), now);
    budget.update(3, unadmitted(2 * kMegabyte), now + seconds(1));
    CPPUNIT_ASSERT(!budget.next_to_drop_input());
    budget.update(3, unadmitted(3 * kMegabyte), now + seconds(2));
    CPPUNIT_ASSERT(budget.next_to_drop_input() == CallerNumber{7});
    budget.update(7, unadmitted(0), now + seconds(2));
    CPPUNIT_ASSERT(!budget.next_to_drop_input());
    budget.update(7, unadmitted(2 * kMegabyte), now + seconds(3));
    CPPUNIT_ASSERT(budget.next_to_drop_input() == CallerNumber{3});
    budget.remove(3);
    CPPUNIT_ASSERT(!budget.next_to_drop_input());
  }

  void drops_unadmitted_input_first_when_the_budget_is_exceeded() {
    budget.update(1, unadmitted(1), now);
    budget.update(2, unread(10 * kMegabyte + 1), now);
    CPPUNIT_ASSERT(budget.level() == MemoryLevel::exceeded);
    CPPUNIT_ASSERT(budget.next_to_drop_input() == CallerNumber{1});
  }

  void refuses_large_requests_when_full_and_others_only_when_exceeded() {
    constexpr std::size_t kMedium = MemoryBudget::kSmallRequestBytes + 1;
    constexpr std::size_t kLarge = MemoryBudget::kSmallBodyBytes + 1;
    CPPUNIT_ASSERT(budget.admits_request(kLarge));
    budget.update(1, with_body(8 * kMegabyte, 0), now);
    CPPUNIT_ASSERT(budget.admits_request(kMedium));
    CPPUNIT_ASSERT(!budget.admits_request(kLarge));
    budget.update(1, with_body(11 * kMegabyte, 0), now);
    CPPUNIT_ASSERT(!budget.admits_request(kMedium));
    CPPUNIT_ASSERT(budget.admits_request(MemoryBudget::kSmallRequestBytes));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace pumicemast
