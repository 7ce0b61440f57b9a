#include "host/credits/credit_dealer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "host/staging/start_readiness.h"

namespace pumicemast {

class CreditDealerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditDealerTest);
  CPPUNIT_TEST(free_slots_are_dealt_in_turn);
  CPPUNIT_TEST(nobody_is_left_out_over_several_deals);
  CPPUNIT_TEST(credits_follow_demand_over_several_deals);
  CPPUNIT_TEST(who_tells_no_demand_gets_a_little);
  CPPUNIT_TEST(who_returns_has_no_old_claims);
  CPPUNIT_TEST(a_full_or_unknown_engine_has_no_room);
  CPPUNIT_TEST(no_more_prompts_are_let_in_than_two_passes_read);
  CPPUNIT_TEST(prompts_that_wait_leave_less_room);
  CPPUNIT_TEST(each_gateway_is_told_the_others_prompts);
  CPPUNIT_TEST(a_gateway_that_is_gone_no_longer_counts);
  CPPUNIT_TEST(an_order_waits_for_the_word_and_for_what_has_not_begun);
  CPPUNIT_TEST(an_order_does_not_wait_for_ever);
  CPPUNIT_TEST(an_engine_without_weights_has_nothing_to_wait_for);
  CPPUNIT_TEST_SUITE_END();

  CreditDealer dealer;
  EngineRoom room;

  static std::uint32_t total(const std::map<PeerId, std::uint32_t>& credits) {
    std::uint32_t sum = 0;
    for (const auto& [gateway, credit] : credits) sum += credit;
    return sum;
  }

  using Sums = std::map<PeerId, std::uint32_t>;
  /// What each gateway got from so many deals of a single place.
  Sums dealt_one_by_one(int deals, const std::vector<PeerId>& gateways) {
    room.taken = room.slots - 1;
    Sums sums;
    for (int deal = 0; deal < deals; ++deal) {
      for (const auto& [gateway, credit] : dealer.deal(room, gateways)) sums[gateway] += credit;
    }
    return sums;
  }

 public:
  void setUp() override {
    room.slots = 16;
    room.usual_prompt = 100;
  }

  void free_slots_are_dealt_in_turn() {
    room.taken = 10;
    const auto credits = dealer.deal(room, {1, 2, 3, 4});
    CPPUNIT_ASSERT_EQUAL(6U, total(credits));
    for (const auto& [gateway, credit] : credits) CPPUNIT_ASSERT(credit == 1 || credit == 2);
  }

  void nobody_is_left_out_over_several_deals() {
    room.taken = 15;
    std::map<PeerId, std::uint32_t> sum;
    for (int deal = 0; deal < 3; ++deal) {
      for (const auto& [gateway, credit] : dealer.deal(room, {1, 2, 3})) sum[gateway] += credit;
    }
    for (const auto& [gateway, credit] : sum) CPPUNIT_ASSERT_EQUAL(1U, credit);
  }

  void credits_follow_demand_over_several_deals() {
    dealer.set_demand(1, 40);
    dealer.set_demand(2, 10);
    dealer.set_demand(3, 10);
    // By the root of the demand.
    CPPUNIT_ASSERT((Sums{{1, 10}, {2, 5}, {3, 5}}) == dealt_one_by_one(20, {1, 2, 3}));
  }

  void who_tells_no_demand_gets_a_little() {
    dealer.set_demand(1, 20);
    const Sums sums = dealt_one_by_one(50, {1, 2});
    CPPUNIT_ASSERT(sums.at(2) >= 1 && sums.at(2) <= 5);
  }

  void who_returns_has_no_old_claims() {
    dealer.set_demand(1, 1);
    dealer.set_demand(2, 99);
    dealt_one_by_one(90, {1, 2});
    dealer.forget(2);
    dealer.set_demand(2, 1);
    const Sums sums = dealt_one_by_one(20, {1, 2});
    CPPUNIT_ASSERT(sums.at(1) >= 9 && sums.at(1) <= 11);
  }

  void a_full_or_unknown_engine_has_no_room() {
    room.taken = 16;
    CPPUNIT_ASSERT_EQUAL(0U, total(dealer.deal(room, {1, 2})));
    room.taken = 20;
    CPPUNIT_ASSERT_EQUAL(0U, total(dealer.deal(room, {1, 2})));
    CPPUNIT_ASSERT_EQUAL(0U, total(dealer.deal(EngineRoom{}, {1, 2})));
    CPPUNIT_ASSERT(dealer.deal(room, {}).empty());
  }

  void no_more_prompts_are_let_in_than_two_passes_read() {
    room.usual_prompt =
        1000;  // Two passes read 4,096 tokens: four prompts, and what is left of one.
    CPPUNIT_ASSERT_EQUAL(5U, total(dealer.deal(room, {1, 2, 3, 4, 5, 6, 7})));
  }

  void prompts_that_wait_leave_less_room() {
    room.usual_prompt = 1000;
    dealer.set_unread(1, 1500);
    dealer.set_unread(2, 1500);
    CPPUNIT_ASSERT_EQUAL(2U, total(dealer.deal(room, {1, 2})));
    dealer.set_unread(2, 3000);
    CPPUNIT_ASSERT_EQUAL(0U, total(dealer.deal(room, {1, 2})));
    dealer.set_unread(1, 0);
    dealer.set_unread(2, 0);
    CPPUNIT_ASSERT_EQUAL(5U, total(dealer.deal(room, {1, 2})));
  }

  void each_gateway_is_told_the_others_prompts() {
    dealer.set_unread(1, 700);
    dealer.set_unread(2, 300);
    CPPUNIT_ASSERT_EQUAL(1000U, dealer.unread());
    CPPUNIT_ASSERT_EQUAL(300U, dealer.unread_of_others(1));
    CPPUNIT_ASSERT_EQUAL(700U, dealer.unread_of_others(2));
    CPPUNIT_ASSERT_EQUAL(1000U, dealer.unread_of_others(3));
  }

  void a_gateway_that_is_gone_no_longer_counts() {
    dealer.set_unread(1, 700);
    dealer.forget(1);
    CPPUNIT_ASSERT_EQUAL(0U, dealer.unread());
    CPPUNIT_ASSERT_EQUAL(0U, dealer.unread_of_others(2));
  }

  void an_order_waits_for_the_word_and_for_what_has_not_begun() {
    CPPUNIT_ASSERT(!ready_to_start(milliseconds(59), false, false));
    CPPUNIT_ASSERT(ready_to_start(milliseconds(60), false, false));
    CPPUNIT_ASSERT(!ready_to_start(milliseconds(400), true, false));
  }

  void an_order_does_not_wait_for_ever() {
    CPPUNIT_ASSERT(!ready_to_start(milliseconds(799), true, false));
    CPPUNIT_ASSERT(ready_to_start(milliseconds(800), true, false));
  }

  void an_engine_without_weights_has_nothing_to_wait_for() {
    CPPUNIT_ASSERT(ready_to_start(Duration::zero(), true, true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditDealerTest);

}  // namespace pumicemast
