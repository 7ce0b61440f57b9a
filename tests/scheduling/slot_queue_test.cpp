#include "scheduling/slot_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>
#include <random>
#include <set>

namespace pumicemast {

class SlotQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotQueueTest);
  CPPUNIT_TEST(grants_in_the_order_of_the_page);
  CPPUNIT_TEST(a_request_past_its_useful_time_is_denied_even_if_a_slot_is_free);
  CPPUNIT_TEST(slots_that_were_free_before_say_nothing_about_the_interval);
  CPPUNIT_TEST(a_pause_of_the_engine_does_not_deny_requests_after_it);
  CPPUNIT_TEST(an_engine_that_stands_still_denies_by_its_silence);
  CPPUNIT_TEST(a_tenant_with_few_grants_is_not_denied_behind_others);
  CPPUNIT_TEST(a_repeated_request_keeps_its_place_and_counts_once);
  CPPUNIT_TEST(a_returned_grant_is_free_again);
  CPPUNIT_TEST(a_returned_grant_does_not_count_for_the_tenant);
  CPPUNIT_TEST(grants_lapse_for_a_load_read_after_their_transit);
  CPPUNIT_TEST(an_unknown_prefill_chunk_does_not_stop_grants);
  CPPUNIT_TEST(extreme_values_are_bounded);
  CPPUNIT_TEST(displaced_requests_are_denied_with_the_reason);
  CPPUNIT_TEST(an_unavailable_engine_denies_all);
  CPPUNIT_TEST(random_histories_keep_the_invariants);
  CPPUNIT_TEST_SUITE_END();

  SlotQueue queue{{}};
  TimePoint now = TimePoint(seconds(100));

  static SlotRequest request(std::uint64_t number, int priority = 0, std::uint64_t tenant = 1) {
    SlotRequest result;
    result.number = number;
    result.priority = priority;
    result.tenant = tenant;
    result.prompt_tokens = 10;
    result.useful_for = seconds(1);
    return result;
  }

  SlotCapacity capacity(std::uint32_t occupied, std::uint32_t slots = 1) const {
    SlotCapacity result;
    result.available = true;
    result.slots = slots;
    result.occupied = occupied;
    result.read_at = now;
    return result;
  }

  /// Frees one slot each `interval` and returns the numbers of gateway 1 that
  /// were granted it.
  std::vector<std::uint64_t> grant(std::size_t count, Duration interval = milliseconds(100)) {
    std::vector<std::uint64_t> granted;
    for (std::size_t turn = 0; turn < count; ++turn) {
      now += interval;
      const auto replies = queue.decide(capacity(1), now);
      for (const auto& [gateway, reply] : replies) {
        granted.insert(granted.end(), reply.granted.begin(), reply.granted.end());
      }
    }
    return granted;
  }

  /// Lets the queue learn an interval of 100 ms between grants; leaves request
  /// 1000 waiting.
  void learn_interval() {
    for (std::uint64_t number = 1; number <= 30; ++number) {
      SlotRequest waiting = request(number);
      waiting.useful_for = seconds(60);
      queue.add(1, waiting, now);
    }
    grant(29);
    SlotRequest last = request(1000);
    last.useful_for = seconds(60);
    queue.add(1, last, now);
    grant(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.waiting());
  }

 public:
  void grants_in_the_order_of_the_page() {
    SlotRequest returning = request(1, 0, 1);
    returning.returning = true;
    queue.add(1, request(2, 1, 2), now);
    queue.add(1, returning, now);
    queue.add(1, request(3, 0, 3), now);
    queue.add(1, request(4, 0, 3), now);
    queue.add(1, request(5, 0, 4), now);
    const std::vector<std::uint64_t> granted = grant(5, milliseconds(20));
    // Tenant 4 has no grant yet when request 4 would be next, and level 1 has
    // none of its half.
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, granted.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, granted[0]);
    const auto at = [&](std::uint64_t number) {
      return std::find(granted.begin(), granted.end(), number);
    };
    CPPUNIT_ASSERT(at(5) < at(4) && at(4) < at(1));
  }

  void a_request_past_its_useful_time_is_denied_even_if_a_slot_is_free() {
    queue.add(1, request(1), now);
    now += seconds(2);
    const auto replies = queue.decide(capacity(0), now);
    CPPUNIT_ASSERT(replies.at(1).granted.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.at(1).denied.size());
  }

  // 13 slots that were free at once taught an interval of zero, so that
  // hopeless requests waited.
  void slots_that_were_free_before_say_nothing_about_the_interval() {
    for (std::uint64_t number = 1; number <= 60; ++number) queue.add(1, request(number), now);
    queue.decide(capacity(0, 12), now);
    for (int turn = 0; turn < 6; ++turn) {
      now += milliseconds(100);
      queue.decide(capacity(12, 12), now);
    }
    // At 100 ms each, at most 10 more requests are granted a slot within the
    // second.
    CPPUNIT_ASSERT(queue.waiting() <= 10);
  }

  // An interval of 3 s raised the mean of 0.1 s to 0.4 s, and requests were
  // denied for a second.
  void a_pause_of_the_engine_does_not_deny_requests_after_it() {
    learn_interval();
    now += seconds(3);
    queue.decide(capacity(1), now);
    for (std::uint64_t number = 2000; number < 2005; ++number) {
      queue.add(1, request(number), now);
    }
    CPPUNIT_ASSERT(grant(1).size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.waiting());
  }

  void an_engine_that_stands_still_denies_by_its_silence() {
    learn_interval();
    now += seconds(10);
    for (std::uint64_t number = 2000; number < 2005; ++number) {
      queue.add(1, request(number), now);
    }
    const auto replies = queue.decide(capacity(2), now);
    // The first in the order may be granted the next slot at any time.
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, replies.at(1).denied.size());
    CPPUNIT_ASSERT(replies.at(1).denied.front().expected_wait >= seconds(1));
  }

  // Tenants below the mean were expected in the order of arrival, although the
  // one with the fewest grants is granted the next slot: its request was
  // denied.
  void a_tenant_with_few_grants_is_not_denied_behind_others() {
    // Tenant 1 takes most, tenant 2 a little less than the mean.
    for (std::uint64_t number = 1; number <= 40; ++number) {
      SlotRequest waiting = request(number, 0, number % 4 == 0 ? 2 : 1);
      waiting.useful_for = seconds(60);
      queue.add(1, waiting, now);
    }
    grant(40);
    for (std::uint64_t number = 100; number < 108; ++number) {
      SlotRequest waiting = request(number, 0, 2);
      waiting.useful_for = seconds(60);
      queue.add(1, waiting, now);
    }
    SlotRequest small = request(200, 0, 3);
    small.useful_for = milliseconds(300);
    queue.add(2, small, now);
    const auto replies = queue.decide(capacity(2), now);
    CPPUNIT_ASSERT(replies.count(2) == 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, grant(1).at(0));
  }

  void a_repeated_request_keeps_its_place_and_counts_once() {
    queue.add(1, request(1, 0, 1), now);
    queue.add(1, request(2, 0, 1), now);
    queue.add(1, request(1, 0, 1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.waiting());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, grant(1).at(0));
  }

  void a_returned_grant_is_free_again() {
    queue.add(1, request(1), now);
    queue.add(2, request(1), now);
    queue.add(3, request(1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.decide(capacity(0), now).size());
    CPPUNIT_ASSERT(queue.decide(capacity(0), now).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, queue.grants_in_transit(now));
    queue.withdraw(1, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.decide(capacity(0), now).count(3));
    queue.remove_gateway(2);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, queue.grants_in_transit(now));
  }

  // Where a request waits at several engines, grants cross: the returned one cost its tenant its
  // turn.
  void a_returned_grant_does_not_count_for_the_tenant() {
    queue.add(1, request(1, 0, 1), now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, grant(1).at(0));
    queue.add(1, request(2, 0, 2), now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, grant(1).at(0));
    queue.withdraw(1, 2);
    queue.add(1, request(3, 0, 1), now);
    queue.add(1, request(4, 0, 2), now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, grant(1).at(0));
  }

  void grants_lapse_for_a_load_read_after_their_transit() {
    queue.add(1, request(1), now);
    queue.decide(capacity(1), now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, queue.grants_in_transit(now + milliseconds(14)));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, queue.grants_in_transit(now + milliseconds(15)));
  }

  void an_unknown_prefill_chunk_does_not_stop_grants() {
    queue.add(1, request(1), now);
    SlotCapacity unknown = capacity(0);
    unknown.prefill_chunk_tokens = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.decide(unknown, now).at(1).granted.size());
  }

  void extreme_values_are_bounded() {
    SlotRequest extreme = request(std::numeric_limits<std::uint64_t>::max());
    extreme.useful_for = Duration::max();
    extreme.copies = 0;
    extreme.prompt_tokens = std::numeric_limits<std::uint32_t>::max();
    queue.add(1, extreme, now);
    extreme.number = 0;
    extreme.useful_for = Duration::min();
    queue.add(1, extreme, now);
    SlotCapacity many = capacity(std::numeric_limits<std::uint32_t>::max(),
                                 std::numeric_limits<std::uint32_t>::max());
    const auto replies = queue.decide(many, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.at(1).granted.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, replies.at(1).denied.at(0).number);
    CPPUNIT_ASSERT(queue.decide(many, now + seconds(61)).empty());
  }

  void displaced_requests_are_denied_with_the_reason() {
    for (std::uint64_t number = 1; number <= 512; ++number) queue.add(1, request(number, 2), now);
    CPPUNIT_ASSERT(queue.decide(capacity(2), now).empty());
    for (std::uint64_t number = 1; number <= 600; ++number) queue.add(2, request(number, 0), now);
    const auto replies = queue.decide(capacity(2), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, queue.waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t{512}, replies.at(1).denied.size());
    CPPUNIT_ASSERT(replies.at(1).denied.at(0).reason == SlotDenialReason::more_urgent_first);
    CPPUNIT_ASSERT(replies.at(2).denied.at(0).reason == SlotDenialReason::no_capacity);
  }

  void an_unavailable_engine_denies_all() {
    queue.add(1, request(1), now);
    queue.add(2, request(1), now);
    SlotCapacity gone = capacity(0);
    gone.available = false;
    const auto replies = queue.decide(gone, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replies.size());
    CPPUNIT_ASSERT(replies.at(1).denied.at(0).reason == SlotDenialReason::engine_unavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.waiting());
  }

  void random_histories_keep_the_invariants() {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) play_history(seed);
  }

 private:
  using Name = std::pair<PeerId, std::uint64_t>;

  /// Requests that have neither an answer nor a withdrawal, with the end of
  /// their useful time.
  std::map<Name, TimePoint> open;

  void answered(PeerId gateway, std::uint64_t number, const std::string& seed) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("answered twice or after a withdrawal, seed " + seed,
                                 std::size_t{1}, open.erase({gateway, number}));
  }

  void play_history(std::uint32_t seed) {
    constexpr std::uint32_t kSlots = 4;
    const std::string text = std::to_string(seed);
    std::mt19937 random(seed);
    queue = SlotQueue({});
    open.clear();
    for (int step = 0; step < 3000; ++step) {
      now += milliseconds(random() % 20);
      const PeerId gateway = random() % 5;
      const std::uint64_t number = random() % 100;
      switch (random() % 8) {
        case 0:
          queue.withdraw(gateway, number);
          open.erase({gateway, number});
          break;
        case 1:
          if (random() % 20 != 0) break;
          queue.remove_gateway(gateway);
          std::erase_if(open, [&](const auto& entry) { return entry.first.first == gateway; });
          break;
        default: {
          SlotRequest added = request(number, static_cast<int>(random() % 3), random() % 6);
          added.useful_for = milliseconds(random() % 400);
          added.copies = 1 + random() % 3;
          added.returning = random() % 4 == 0;
          queue.add(gateway, added, now);
          open[{gateway, number}] = now + added.useful_for;
        }
      }
      decide_and_check(random() % (kSlots + 3), kSlots, text);
    }
  }

  void decide_and_check(std::uint32_t occupied, std::uint32_t slots, const std::string& seed) {
    const std::uint32_t in_transit = queue.grants_in_transit(now);
    std::uint32_t grants = 0;
    for (const auto& [gateway, reply] : queue.decide(capacity(occupied, slots), now)) {
      for (const std::uint64_t number : reply.granted) {
        const auto found = open.find({gateway, number});
        CPPUNIT_ASSERT_MESSAGE("granted after its useful time, seed " + seed,
                               found != open.end() && found->second > now);
        answered(gateway, number, seed);
        ++grants;
      }
      for (const SlotDenial& denial : reply.denied) answered(gateway, denial.number, seed);
    }
    const std::uint32_t limit = slots + SlotQueue::Options{}.grants_ahead;
    CPPUNIT_ASSERT_MESSAGE("too many grants, seed " + seed,
                           grants == 0 || occupied + in_transit + grants <= limit);
    for (const auto& [name, until] : open) {
      CPPUNIT_ASSERT_MESSAGE("not answered in its useful time, seed " + seed, until > now);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("requests forgotten, seed " + seed, open.size(), queue.waiting());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotQueueTest);

}  // namespace pumicemast
