#include "load/answer_checker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

/// The checker must be able to fail: each fault it looks for is shown to it.
class AnswerCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerCheckerTest);
  CPPUNIT_TEST(tells_whole_lost_mixed_and_foreign_apart);
  CPPUNIT_TEST(reads_streams);
  CPPUNIT_TEST(believes_refusals_only_with_an_outcome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tells_whole_lost_mixed_and_foreign_apart() {
    expect(Verdict::whole, "aa:0:p aa:1:p ");
    expect(Verdict::lost, "aa:0:p ");
    expect(Verdict::lost, "aa:0:p aa:2:p ");
    expect(Verdict::mixed, "aa:0:p bb:1:p ");
    expect(Verdict::foreign, "aa:0:q aa:1:q ");
    expect(Verdict::mixed, "garbage here");
    received_.request_id_header = "another";
    expect(Verdict::foreign, "aa:0:p aa:1:p ");
  }

  void reads_streams() {
    expected_.stream = true;
    const std::string token = R"(data: {"choices":[{"text":"aa:0:p "}]})";
    const std::string second = R"(data: {"choices":[{"text":"aa:1:p "}]})";
    received_.body = token + "\n\n" + second + "\n\ndata: [DONE]\n\n";
    CPPUNIT_ASSERT(Verdict::whole == check_model_answer(expected_, received_).verdict);
    received_.body = token + "\n\n" + second + "\n\n";
    CPPUNIT_ASSERT(Verdict::lost == check_model_answer(expected_, received_).verdict);
    received_.body = token + "\n\ndata: {\"error\":{}}\n\n";
    CPPUNIT_ASSERT(Verdict::unknown == check_model_answer(expected_, received_).verdict);
    received_.ended = false;
    CPPUNIT_ASSERT(Verdict::lost == check_model_answer(expected_, received_).verdict);
  }

  void believes_refusals_only_with_an_outcome() {
    received_.status = 503;
    received_.outcome_header = "";
    CPPUNIT_ASSERT(Verdict::lost == check_model_answer(expected_, received_).verdict);
    received_.outcome_header = "not-run";
    CPPUNIT_ASSERT(Verdict::not_run == check_model_answer(expected_, received_).verdict);
    received_.outcome_header = "unknown";
    CPPUNIT_ASSERT(Verdict::unknown == check_service_answer(expected_, received_).verdict);
  }

 private:
  void expect(Verdict verdict, const std::string& text) {
    received_.body = R"({"choices":[{"text":")" + text + R"("}]})";
    CPPUNIT_ASSERT_MESSAGE(text, verdict == check_model_answer(expected_, received_).verdict);
  }

  ExpectedAnswer expected_{"r1", "p", 2, false, false};
  ReceivedAnswer received_{200, "completed", "r1", "", true};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerCheckerTest);

}  // namespace pumicemast
