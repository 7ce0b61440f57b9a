#include "host/credits/credit_allocator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "host/staging/start_readiness.h"

namespace pumicemast {

class CreditAllocatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditAllocatorTest);
  CPPUNIT_TEST(free_slots_are_spread_over_gateways);
  CPPUNIT_TEST(every_gateway_gets_credits_over_several_rounds);
  CPPUNIT_TEST(credits_follow_demand_over_several_rounds);
  CPPUNIT_TEST(a_gateway_without_known_demand_gets_few_credits);
  CPPUNIT_TEST(a_returning_gateway_has_no_old_deficit);
  CPPUNIT_TEST(a_full_or_unknown_engine_has_no_capacity);
  CPPUNIT_TEST(admitted_prompts_are_limited_to_two_passes);
  CPPUNIT_TEST(waiting_prompts_reduce_the_credits);
  CPPUNIT_TEST(pending_tokens_of_other_gateways_are_summed);
  CPPUNIT_TEST(a_removed_gateway_no_longer_counts);
  CPPUNIT_TEST(an_order_waits_for_notification_and_for_waiting_prompts);
  CPPUNIT_TEST(an_order_does_not_wait_beyond_the_limit);
  CPPUNIT_TEST(an_engine_without_weights_is_ready_at_once);
  CPPUNIT_TEST_SUITE_END();

  CreditAllocator allocator;
  EngineCapacity capacity;

  static std::uint32_t total(const std::map<PeerId, std::uint32_t>& credits) {
    std::uint32_t sum = 0;
    for (const auto& [gateway, credit] : credits) sum += credit;
    return sum;
  }

  using Sums = std::map<PeerId, std::uint32_t>;
  /// Credits of each gateway after `rounds` allocations of a single free slot.
  Sums allocate_one_by_one(int rounds, const std::vector<PeerId>& gateways) {
    capacity.occupied = capacity.slots - 1;
    Sums sums;
    for (int round = 0; round < rounds; ++round) {
      for (const auto& [gateway, credit] : allocator.allocate(capacity, gateways))
        sums[gateway] += credit;
    }
    return sums;
  }

 public:
  void setUp() override {
    capacity.slots = 16;
    capacity.usual_prompt_tokens = 100;
  }

  void free_slots_are_spread_over_gateways() {
    capacity.occupied = 10;
    const auto credits = allocator.allocate(capacity, {1, 2, 3, 4});
    CPPUNIT_ASSERT_EQUAL(6U, total(credits));
    for (const auto& [gateway, credit] : credits) CPPUNIT_ASSERT(credit == 1 || credit == 2);
  }

  void every_gateway_gets_credits_over_several_rounds() {
    capacity.occupied = 15;
    std::map<PeerId, std::uint32_t> sum;
    for (int round = 0; round < 3; ++round) {
      for (const auto& [gateway, credit] : allocator.allocate(capacity, {1, 2, 3}))
        sum[gateway] += credit;
    }
    for (const auto& [gateway, credit] : sum) CPPUNIT_ASSERT_EQUAL(1U, credit);
  }

  void credits_follow_demand_over_several_rounds() {
    allocator.set_demand(1, 40);
    allocator.set_demand(2, 10);
    allocator.set_demand(3, 10);
    // Proportional to the square root of the demand.
    CPPUNIT_ASSERT((Sums{{1, 10}, {2, 5}, {3, 5}}) == allocate_one_by_one(20, {1, 2, 3}));
  }

  void a_gateway_without_known_demand_gets_few_credits() {
    allocator.set_demand(1, 20);
    const Sums sums = allocate_one_by_one(50, {1, 2});
    CPPUNIT_ASSERT(sums.at(2) >= 1 && sums.at(2) <= 5);
  }

  void a_returning_gateway_has_no_old_deficit() {
    allocator.set_demand(1, 1);
    allocator.set_demand(2, 99);
    allocate_one_by_one(90, {1, 2});
    allocator.remove_gateway(2);
    allocator.set_demand(2, 1);
    const Sums sums = allocate_one_by_one(20, {1, 2});
    CPPUNIT_ASSERT(sums.at(1) >= 9 && sums.at(1) <= 11);
  }

  void a_full_or_unknown_engine_has_no_capacity() {
    capacity.occupied = 16;
    CPPUNIT_ASSERT_EQUAL(0U, total(allocator.allocate(capacity, {1, 2})));
    capacity.occupied = 20;
    CPPUNIT_ASSERT_EQUAL(0U, total(allocator.allocate(capacity, {1, 2})));
    CPPUNIT_ASSERT_EQUAL(0U, total(allocator.allocate(EngineCapacity{}, {1, 2})));
    CPPUNIT_ASSERT(allocator.allocate(capacity, {}).empty());
  }

  void admitted_prompts_are_limited_to_two_passes() {
    capacity.usual_prompt_tokens =
        1000;  // Two passes read 4,096 tokens: four prompts and part of a fifth.
    CPPUNIT_ASSERT_EQUAL(5U, total(allocator.allocate(capacity, {1, 2, 3, 4, 5, 6, 7})));
  }

  void waiting_prompts_reduce_the_credits() {
    capacity.usual_prompt_tokens = 1000;
    allocator.set_pending_tokens(1, 1500);
    allocator.set_pending_tokens(2, 1500);
    CPPUNIT_ASSERT_EQUAL(2U, total(allocator.allocate(capacity, {1, 2})));
    allocator.set_pending_tokens(2, 3000);
    CPPUNIT_ASSERT_EQUAL(0U, total(allocator.allocate(capacity, {1, 2})));
    allocator.set_pending_tokens(1, 0);
    allocator.set_pending_tokens(2, 0);
    CPPUNIT_ASSERT_EQUAL(5U, total(allocator.allocate(capacity, {1, 2})));
  }

  void pending_tokens_of_other_gateways_are_summed() {
    allocator.set_pending_tokens(1, 700);
    allocator.set_pending_tokens(2, 300);
    CPPUNIT_ASSERT_EQUAL(1000U, allocator.pending_tokens());
    CPPUNIT_ASSERT_EQUAL(300U, allocator.pending_tokens_of_others(1));
    CPPUNIT_ASSERT_EQUAL(700U, allocator.pending_tokens_of_others(2));
    CPPUNIT_ASSERT_EQUAL(1000U, allocator.pending_tokens_of_others(3));
  }

  void a_removed_gateway_no_longer_counts() {
    allocator.set_pending_tokens(1, 700);
    allocator.remove_gateway(1);
    CPPUNIT_ASSERT_EQUAL(0U, allocator.pending_tokens());
    CPPUNIT_ASSERT_EQUAL(0U, allocator.pending_tokens_of_others(2));
  }

  void an_order_waits_for_notification_and_for_waiting_prompts() {
    CPPUNIT_ASSERT(!ready_to_start(milliseconds(59), false, false));
    CPPUNIT_ASSERT(ready_to_start(milliseconds(60), false, false));
    CPPUNIT_ASSERT(!ready_to_start(milliseconds(400), true, false));
  }

  void an_order_does_not_wait_beyond_the_limit() {
    CPPUNIT_ASSERT(!ready_to_start(milliseconds(799), true, false));
    CPPUNIT_ASSERT(ready_to_start(milliseconds(800), true, false));
  }

  void an_engine_without_weights_is_ready_at_once() {
    CPPUNIT_ASSERT(ready_to_start(Duration::zero(), true, true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditAllocatorTest);

}  // namespace pumicemast
