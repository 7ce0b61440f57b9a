#include <cppunit/extensions/HelperMacros.h>

#include "host/staging/start_orders.h"
#include "support/staging_test.h"

namespace pumicemast {

/// Guards against settling an unanswered start order too early or never.
///
/// Too early, the next version overwrites chunks that the engine may still activate; never, the
/// engine gets no later version. Two ways into this: an order of a restarted agent to an engine
/// that is changing over by an earlier order has no effect, so that the order sequence does not
/// show it. And an engine whose report is missing is recorded with sequence 0, which an order then
/// states.
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

  /// The agent was restarted while its engine activated version 8, and its own order is unanswered.
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
    orders.on_report(4);  // The first order may still be carried out.
    CPPUNIT_ASSERT(orders.pending());
    CPPUNIT_ASSERT(!orders.carried_out());
    orders.on_report(5);
    CPPUNIT_ASSERT(!orders.pending());
    CPPUNIT_ASSERT(orders.carried_out());
  }

  /// The order would state a wrong sequence and would not wait for requests to begin, because the
  /// missing report looks like that of an engine without weights.
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

  /// The engine serves no requests until the order is carried out.
  void an_unanswered_order_is_retried_promptly() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    run_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(kFirst, engine_->serving());
  }

  /// An agent was killed while its order was unanswered. The next process did not know of the order
  /// and overwrote the ordered version with the one named meanwhile; the engine then activated the
  /// mixture, and responses had tokens of both versions.
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

  /// The engine does not report at first. In that time the staged version is the target at first
  /// and is then replaced by a newer one.
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

  /// Otherwise the engine would never get any weights again.
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

  /// Chunks whose verification is too old are read again before the next order.
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
