#include <cppunit/extensions/HelperMacros.h>

#include "support/staging_test.h"

namespace pumicemast {

/// Callers got tokens that were made from weights of two versions.
///
/// An engine had been started anew. Its agent verified all chunks of version 8 there and ordered
/// it to start them; the engine gave no answer. Version 9 was named 0.35 s later. The agent took
/// the order for carried out 150 ms after sending it, and wrote chunks of version 9 over those of
/// version 8. The engine carried the order out 2.7 s after it was sent, and took what lay there.
///
/// Evidence: the agent's lines tell the order and no outcome; the operators' log has the order end
/// 2.7 s after it was sent; the engine served as version 8 from then on, while the 96 chunks of
/// version 9 came in, 0.4 to 4.3 s after the order, each to be written at once. Orders that got an
/// answer preceded no such token.
class LateStartOrderTest : public tests::StagingTest {
  CPPUNIT_TEST_SUITE(LateStartOrderTest);
  CPPUNIT_TEST(a_late_order_activates_the_version_it_names);
  CPPUNIT_TEST(chunks_of_an_unanswered_order_are_not_overwritten);
  CPPUNIT_TEST(an_engine_with_an_unanswered_order_is_reported_as_leaving);
  CPPUNIT_TEST(a_paused_machine_verifies_again_before_it_orders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_late_order_activates_the_version_it_names() {
    engine_->leave_unanswered(1);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    name_second();
    run_for(milliseconds(600));
    engine_->execute_late_order();
    assert_only_complete_versions_activated();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_complete_versions_activated();
  }

  void chunks_of_an_unanswered_order_are_not_overwritten() {
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    name_second();
    run_for(milliseconds(1000));
    CPPUNIT_ASSERT(engine_->holds(kFirst, kChunks));
    engine_->execute_late_order();
    assert_only_complete_versions_activated();
    engine_->leave_unanswered(0);
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_complete_versions_activated();
  }

  /// Gateways that take such an engine for free send it requests, which may begin on old weights
  /// late: one did 8.1 s after newer ones were named, on an engine with an unanswered order.
  void an_engine_with_an_unanswered_order_is_reported_as_leaving() {
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    name_second();
    for (int step = 0; step < 50; ++step) {
      run_for(milliseconds(10));
      CPPUNIT_ASSERT(stager_->starting());
    }
  }

  /// Between the reading back and the order an agent waits for requests to begin. When its machine
  /// stood still meanwhile, what it had read back was too old to tell that a chunk had turned bad.
  void a_paused_machine_verifies_again_before_it_orders() {
    settings_.changeover = seconds(1);
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    prompts_waiting_ = true;
    name_second();
    CPPUNIT_ASSERT(run_until([&] { return stager_->starting(); }));
    CPPUNIT_ASSERT_EQUAL(kFirst, engine_->serving());
    engine_->corrupt(3);
    g_usleep(2600000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kSecond; }));
    assert_only_complete_versions_activated();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateStartOrderTest);

}  // namespace pumicemast
