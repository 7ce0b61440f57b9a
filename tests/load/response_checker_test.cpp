#include "load/response_checker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

/// Feeds the checker one response with each fault that it must detect.
class ResponseCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseCheckerTest);
  CPPUNIT_TEST(classifies_complete_lost_mixed_and_foreign_responses);
  CPPUNIT_TEST(reads_streamed_responses);
  CPPUNIT_TEST(accepts_refusals_only_with_an_outcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void classifies_complete_lost_mixed_and_foreign_responses() {
    check_text(Verdict::complete, "aa:0:p aa:1:p ");
    check_text(Verdict::lost, "aa:0:p ");
    check_text(Verdict::lost, "aa:0:p aa:2:p ");
    check_text(Verdict::mixed, "aa:0:p bb:1:p ");
    check_text(Verdict::foreign, "aa:0:q aa:1:q ");
    check_text(Verdict::mixed, "garbage here");
    received_.request_id_header = "another";
    check_text(Verdict::foreign, "aa:0:p aa:1:p ");
  }

  void reads_streamed_responses() {
    expected_.stream = true;
    const std::string token = R"(data: {"choices":[{"text":"aa:0:p "}]})";
    const std::string second = R"(data: {"choices":[{"text":"aa:1:p "}]})";
    received_.body = token + "\n\n" + second + "\n\ndata: [DONE]\n\n";
    CPPUNIT_ASSERT(Verdict::complete == check_model_response(expected_, received_).verdict);
    received_.body = token + "\n\n" + second + "\n\n";
    CPPUNIT_ASSERT(Verdict::lost == check_model_response(expected_, received_).verdict);
    received_.body = token + "\n\ndata: {\"error\":{}}\n\n";
    CPPUNIT_ASSERT(Verdict::unknown == check_model_response(expected_, received_).verdict);
    received_.ended_normally = false;
    CPPUNIT_ASSERT(Verdict::lost == check_model_response(expected_, received_).verdict);
  }

  void accepts_refusals_only_with_an_outcome() {
    received_.status = 503;
    received_.outcome_header = "";
    CPPUNIT_ASSERT(Verdict::lost == check_model_response(expected_, received_).verdict);
    received_.outcome_header = "not-run";
    CPPUNIT_ASSERT(Verdict::not_run == check_model_response(expected_, received_).verdict);
    received_.outcome_header = "unknown";
    CPPUNIT_ASSERT(Verdict::unknown == check_service_response(expected_, received_).verdict);
  }

 private:
  void check_text(Verdict verdict, const std::string& text) {
    received_.body = R"({"choices":[{"text":")" + text + R"("}]})";
    CPPUNIT_ASSERT_MESSAGE(text, verdict == check_model_response(expected_, received_).verdict);
  }

  ExpectedResponse expected_{"r1", "p", 2, false, false};
  ReceivedResponse received_{200, "completed", "r1", "", true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseCheckerTest);

}  // namespace pumicemast
