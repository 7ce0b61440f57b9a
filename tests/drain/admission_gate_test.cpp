#include "drain/admission_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/charts.h"

namespace pumicemast {

class AdmissionGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionGateTest);
  CPPUNIT_TEST(admits_only_the_version_that_serves);
  CPPUNIT_TEST(a_stop_refuses_new_requests_and_waits_for_those_in_progress);
  CPPUNIT_TEST(a_cancelled_stop_serves_again_but_a_terminating_process_does_not);
  CPPUNIT_TEST(limits_requests_in_progress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void admits_only_the_version_that_serves() {
    CPPUNIT_ASSERT(AdmissionResult::not_live == gate_.admit("forms", ""));
    gate_.open("forms", "d1");
    CPPUNIT_ASSERT(AdmissionResult::admitted == gate_.admit("forms", "d1"));
    CPPUNIT_ASSERT(AdmissionResult::not_live == gate_.admit("forms", "d2"));
    gate_.close("forms");
    CPPUNIT_ASSERT(AdmissionResult::not_live == gate_.admit("forms", "d1"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, gate_.in_flight("forms"));
    CPPUNIT_ASSERT(AdmissionResult::admitted == gate_.admit("", ""));  // A plain service.
  }

  void a_stop_refuses_new_requests_and_waits_for_those_in_progress() {
    gate_.open("forms", "d1");
    gate_.admit("forms", "");
    gate_.set_stop(true);
    CPPUNIT_ASSERT(AdmissionResult::draining == gate_.admit("forms", ""));
    CPPUNIT_ASSERT(!gate_.drained());
    gate_.finish("forms");
    CPPUNIT_ASSERT(gate_.drained());
  }

  void a_cancelled_stop_serves_again_but_a_terminating_process_does_not() {
    gate_.open("forms", "d1");
    gate_.set_stop(true);
    CPPUNIT_ASSERT(gate_.drained());
    gate_.set_stop(false);
    CPPUNIT_ASSERT(AdmissionResult::admitted == gate_.admit("forms", ""));
    gate_.set_terminating();
    gate_.set_stop(false);
    CPPUNIT_ASSERT(AdmissionResult::draining == gate_.admit("forms", ""));
  }

  void limits_requests_in_progress() {
    gate_.open("forms", "d1");
    gate_.admit("forms", "");
    gate_.admit("", "");
    CPPUNIT_ASSERT(AdmissionResult::overloaded == gate_.admit("forms", ""));
    gate_.finish("");
    CPPUNIT_ASSERT(AdmissionResult::admitted == gate_.admit("forms", ""));
  }

 private:
  AdmissionGate gate_{tests::charts().drain, 2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionGateTest);

}  // namespace pumicemast
