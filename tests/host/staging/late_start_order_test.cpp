#include <cppunit/extensions/HelperMacros.h>

#include "support/staging_test.h"

namespace pumicemast {

/// Guards against an engine that serves a mixture of two versions after a late start order.
///
/// A restarted engine did not answer the order to start version 8, whose chunks its agent had
/// verified. Version 9 was named 0.35 s later. The agent assumed 150 ms after sending the order
/// that it had been carried out, and overwrote chunks of version 8 with those of version 9 as they
/// arrived, 0.4 to 4.3 s after the order. The engine carried the order out 2.7 s after it was sent,
/// activated the mixture, and served it as version 8. Only unanswered orders led to this.
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

  /// Gateways that consider such an engine available send it requests, which may begin on old
  /// weights too late: one began 8.1 s after newer weights were named.
  void an_engine_with_an_unanswered_order_is_reported_as_leaving() {
    engine_->leave_unanswered(1000);
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() > 0; }));
    name_second();
    for (int step = 0; step < 50; ++step) {
      run_for(milliseconds(10));
      CPPUNIT_ASSERT(stager_->starting());
    }
  }

  /// Between the verification and the order an agent waits for requests to begin. If its machine
  /// was paused meanwhile, the verification was too old to detect that a chunk had become corrupt.
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
