#include "host/staging/start_orders.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

/// How long a start order may still be carried out.
class StartOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartOrdersTest);
  CPPUNIT_TEST(an_answered_order_is_settled);
  CPPUNIT_TEST(an_unanswered_order_stays_pending);
  CPPUNIT_TEST(an_answered_order_settles_earlier_ones);
  CPPUNIT_TEST(a_refused_order_settles_no_earlier_one);
  CPPUNIT_TEST(the_reported_sequence_settles_an_order);
  CPPUNIT_TEST(a_restarted_engine_has_activated_nothing);
  CPPUNIT_TEST(a_restarted_engine_is_recognized_by_its_start_time);
  CPPUNIT_TEST(a_refused_order_with_an_old_sequence_is_stale);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_answered_order_is_settled() {
    for (const StartOutcome outcome : {StartOutcome::begun, StartOutcome::already_serving}) {
      StartOrders orders;
      orders.on_sent(4);
      CPPUNIT_ASSERT(orders.pending());
      orders.on_outcome(outcome);
      CPPUNIT_ASSERT(!orders.pending());
      CPPUNIT_ASSERT(orders.carried_out());
    }
  }

  void an_unanswered_order_stays_pending() {
    StartOrders orders = with_unanswered(4);
    CPPUNIT_ASSERT(orders.pending());
    CPPUNIT_ASSERT(orders.unanswered());
    CPPUNIT_ASSERT(!orders.carried_out());
    CPPUNIT_ASSERT(!orders.on_report(4));
    CPPUNIT_ASSERT(orders.pending());
  }

  void an_answered_order_settles_earlier_ones() {
    StartOrders orders = with_unanswered(4);
    orders.on_sent(4);
    CPPUNIT_ASSERT(!orders.unanswered());  // One is in flight.
    orders.on_outcome(StartOutcome::begun);
    CPPUNIT_ASSERT(!orders.pending());
    CPPUNIT_ASSERT(orders.carried_out());
    CPPUNIT_ASSERT_EQUAL(2U, orders.attempts());
  }

  void a_refused_order_settles_no_earlier_one() {
    StartOrders orders = with_unanswered(4);
    orders.on_sent(4);
    orders.on_outcome(StartOutcome::refused);
    CPPUNIT_ASSERT(orders.pending());
  }

  void the_reported_sequence_settles_an_order() {
    StartOrders orders = with_unanswered(4);
    CPPUNIT_ASSERT(orders.on_report(5));
    CPPUNIT_ASSERT(!orders.pending());
    CPPUNIT_ASSERT(orders.carried_out());
    CPPUNIT_ASSERT(!orders.on_report(5));
  }

  void a_restarted_engine_has_activated_nothing() {
    StartOrders orders = with_unanswered(4);
    CPPUNIT_ASSERT(orders.on_report(0));
    CPPUNIT_ASSERT(!orders.pending());
    CPPUNIT_ASSERT(!orders.carried_out());
  }

  /// The engine was restarted between two reports, and another order brought it to the same
  /// sequence.
  void a_restarted_engine_is_recognized_by_its_start_time() {
    StartOrders orders;
    orders.on_report(1, 1000);
    orders.on_sent(1);
    orders.on_outcome(StartOutcome::unknown);
    CPPUNIT_ASSERT(!orders.on_report(1, 1000));
    CPPUNIT_ASSERT(orders.pending());
    // Its clock may have been set back.
    CPPUNIT_ASSERT(orders.on_report(1, 900));
    CPPUNIT_ASSERT(!orders.pending());
    CPPUNIT_ASSERT(!orders.carried_out());
  }

  void a_refused_order_with_an_old_sequence_is_stale() {
    StartOrders orders;
    orders.on_sent(4);
    CPPUNIT_ASSERT(!orders.stale(5));
    orders.on_outcome(StartOutcome::refused);
    CPPUNIT_ASSERT(orders.stale(5));
    CPPUNIT_ASSERT(!orders.stale(4));  // Refused because of the engine's state.
  }

 private:
  static StartOrders with_unanswered(std::uint64_t sequence) {
    StartOrders orders;
    orders.on_sent(sequence);
    orders.on_outcome(StartOutcome::unknown);
    return orders;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartOrdersTest);

}  // namespace pumicemast
