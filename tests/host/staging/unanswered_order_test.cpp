#include <cppunit/extensions/HelperMacros.h>

#include "host/staging/start_orders.h"
#include "support/staging_test.h"

namespace pumicemast {

/// How an order without an answer ends: too early, it lets the next version be written over what
/// the engine may still take; never, it keeps the engine from every later version.
///
/// Seen by reading: an order that only an agent started anew gave, to an engine that was changing
/// over by an earlier order, begins nothing, so that no count tells of it. And an engine whose
/// report fails to come is noted with a count of 0, which an order then states.
class UnansweredOrderTest : public tests::StagingTest {
  CPPUNIT_TEST_SUITE(UnansweredOrderTest);
  CPPUNIT_TEST(an_order_without_effect_is_settled_when_the_engine_serves);
  CPPUNIT_TEST(an_order_with_another_sequence_settles_no_earlier_one);
  CPPUNIT_TEST(an_engine_that_does_not_report_gets_no_order);
  CPPUNIT_TEST(an_unanswered_order_is_retried_promptly);
  CPPUNIT_TEST(the_engine_stays_out_of_service_during_reverification);
  CPPUNIT_TEST(a_restarted_agent_keeps_chunks_of_an_earlier_order);
  CPPUNIT_TEST(a_version_named_before_the_inventory_is_read_overwrites_nothing);
  CPPUNIT_TEST(an_engine_that_declines_the_staged_version_gets_the_next_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    tests::StagingTest::setUp();
    settings_.changeover = seconds(1);
  }

  /// The agent was started anew while its engine took version 8; its own order got no answer.
  void an_order_without_effect_is_settled_when_the_engine_serves() {
    engine_->begin_earlier_changeover(kFirst, kChunks);
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    engine_->end_changeover();
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    engine_->leave_unanswered(0);
    name_second();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
  }

  void an_order_with_another_sequence_settles_no_earlier_one() {
    StartOrders orders;
    orders.on_sent(4);
    orders.on_outcome(StartOutcome::unknown);
    orders.on_sent(0);
    orders.on_outcome(StartOutcome::unknown);
    orders.on_report(4);  // The first may still be carried out.
    CPPUNIT_ASSERT(orders.pending());
    CPPUNIT_ASSERT(!orders.carried_out());
    orders.on_report(5);
    CPPUNIT_ASSERT(!orders.pending());
    CPPUNIT_ASSERT(orders.carried_out());
  }

  /// The order would state a count that the engine does not have, and would not wait for requests
  /// to begin: an engine that says nothing looks like one that serves nothing.
  void an_engine_that_does_not_report_gets_no_order() {
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    prompts_waiting_ = true;
    name_second();
    CPPUNIT_ASSERT(run_until([&] { return stager_->starting(); }));
    const std::size_t before = engine_->orders();
    engine_->set_reporting(false);
    run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(before, engine_->orders());
    engine_->set_reporting(true);
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
  }

  /// Each millisecond until then the engine serves nobody.
  void an_unanswered_order_is_retried_promptly() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(kFirst, engine_->serving());
  }

  /// An agent was killed while its order had no answer. The next process knew of none, and wrote
  /// the version named meanwhile over what the engine then took; callers got tokens of both.
  void a_restarted_agent_keeps_chunks_of_an_earlier_order() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    kill_agent();
    origin_->set_newest(kSecond);
    start_agent();
    const TimePoint end = loop_now() + seconds(1);
    while (engine_->holds(kFirst, kChunks) && loop_now() < end) step();
    engine_->execute_late_order();
    assert_only_complete_versions_activated();
  }

  /// The engine said nothing at first. Meanwhile the version that lies there was the one to bring
  /// to it, and then no longer.
  void a_version_named_before_the_inventory_is_read_overwrites_nothing() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    kill_agent();
    engine_->set_reporting(false);
    start_agent();
    run_for(milliseconds(300));
    name_second();
    run_for(milliseconds(300));
    engine_->set_reporting(true);
    run_for(milliseconds(500));
    engine_->execute_late_order();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_complete_versions_activated();
  }

  /// It would otherwise be kept from all weights for good.
  void an_engine_that_declines_the_staged_version_gets_the_next_one() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    kill_agent();
    engine_->decline(kFirst);
    origin_->set_newest(kSecond);
    start_agent();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_complete_versions_activated();
  }

  /// What was read back too long ago is read again before the next order.
  void the_engine_stays_out_of_service_during_reverification() {
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    const TimePoint end = loop_now() + milliseconds(3500);
    while (loop_now() < end) {
      step();
      CPPUNIT_ASSERT(stager_->starting());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnansweredOrderTest);

}  // namespace pumicemast
