#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {
namespace {

constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr char kResumable[] = "/chat/1";
constexpr char kNotResumable[] = "/once/1";

/// What the caller gets after the end of the first attempt's response.
enum class Outcome {
  ended,    ///< The response ends as complete.
  resumed,  ///< The request is sent to another back end.
  aborted,  ///< The caller's connection is broken.
  refused,  ///< An error response.
};

struct Case {
  std::string body;
  ResponseEnd end;
  std::string target;
  Outcome outcome;
};

}  // namespace

/// Responses whose back end closed the connection before their end, or may have done so.
class TruncatedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TruncatedResponseTest);
  CPPUNIT_TEST(stream_that_ends_inside_an_event_never_ends_as_complete);
  CPPUNIT_TEST(stream_without_an_event_never_ends_as_complete);
  CPPUNIT_TEST(stream_that_ends_after_an_event_ends_as_complete);
  CPPUNIT_TEST(truncated_stream_is_resumed_after_its_last_complete_event);
  CPPUNIT_TEST(truncated_stream_is_aborted_when_no_attempt_is_left);
  CPPUNIT_TEST(truncated_stream_spends_the_retry_budget);
  CPPUNIT_TEST(truncated_stream_counts_as_a_failure_of_its_back_end);
  CPPUNIT_TEST(truncated_stream_counts_as_interrupted_by_a_crash);
  CPPUNIT_TEST(complete_response_without_framing_is_no_failure_of_its_back_end);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;

  Outcome outcome() const {
    if (harness.first_action<EndResponse>() != nullptr) return Outcome::ended;
    if (harness.first_action<AbortResponse>() != nullptr) return Outcome::aborted;
    if (!harness.sent_to().empty()) return Outcome::resumed;
    CPPUNIT_ASSERT(harness.refusal_status() != 0);
    return Outcome::refused;
  }

  RequestNumber receive_stream(const std::string& target, const std::string& body) {
    const RequestNumber request = harness.send_request(target);
    harness.receive_head(request, 200, false, true);
    if (!body.empty()) harness.receive_body(request, body);
    return request;
  }

  static void check(const Case& expected) {
    TruncatedResponseTest test;
    test.harness.add_engines();
    const RequestNumber request = test.receive_stream(expected.target, expected.body);
    test.harness.complete_response(request, expected.end);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(expected.body, static_cast<int>(expected.outcome),
                                 static_cast<int>(test.outcome()));
  }

 public:
  void stream_that_ends_inside_an_event_never_ends_as_complete() {
    for (const char* part :
         {"i", "id: 3", "id: 3\n", "id: 3\ndata: c", "id: 3\ndata: c\n", "id: 3\r\ndata: c\r\n",
          "id: 3\r\ndata: c\r\n\r", "\xEF\xBB", ": comm", ": comment\ndata"}) {
      for (const ResponseEnd end : {ResponseEnd::inferred_from_close, ResponseEnd::stated}) {
        check({std::string(kEvents) + part, end, kResumable, Outcome::resumed});
        check({std::string(kEvents) + part, end, kNotResumable, Outcome::aborted});
      }
    }
  }

  void stream_without_an_event_never_ends_as_complete() {
    for (const char* body : {"", ": comment\n", "retry: 100\n", "\xEF\xBB\xBF"}) {
      check({body, ResponseEnd::inferred_from_close, kResumable, Outcome::resumed});
    }
    // Their head was relayed, and there is no event after which another back end could continue.
    for (const char* body : {": comment\n\n", "retry: 100\n\n"}) {
      check({body, ResponseEnd::inferred_from_close, kResumable, Outcome::aborted});
    }
    check({"", ResponseEnd::inferred_from_close, kNotResumable, Outcome::refused});
    check({"data: a", ResponseEnd::inferred_from_close, kResumable, Outcome::resumed});
  }

  void stream_that_ends_after_an_event_ends_as_complete() {
    for (const char* body :
         {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r",
          "\xEF\xBB\xBFid: 1\ndata: a\n\n", "id: 1\ndata: a\n\n: comment\n",
          "id: 1\ndata: a\n\n: comment\n\n", "id: 1\ndata: a\n\n\n", "data: a\n\n"}) {
      for (const ResponseEnd end : {ResponseEnd::inferred_from_close, ResponseEnd::stated}) {
        check({body, end, kResumable, Outcome::ended});
        check({body, end, kNotResumable, Outcome::ended});
      }
    }
  }

  void truncated_stream_is_resumed_after_its_last_complete_event() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kResumable);
    const std::string first = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, std::string(kEvents) + "id: 3\ndat");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(harness.first_action<RelayBody>() == nullptr);
    const auto* resumed = harness.first_action<SendToBackend>();
    CPPUNIT_ASSERT(resumed != nullptr && resumed->backend != first);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), resumed->resume_after);
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 3\ndata: c\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: c\n\n"),
                         harness.first_action<RelayBody>()->bytes);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
  }

  void truncated_stream_is_aborted_when_no_attempt_is_left() {
    harness.add_engines();
    const RequestNumber request = receive_stream(kResumable, std::string(kEvents) + "id: 3\n");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(outcome() == Outcome::resumed);
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 3\ndata: c\n\nid: 4");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(outcome() == Outcome::aborted);
  }

  void truncated_stream_spends_the_retry_budget() {
    harness.add_engines();
    const RequestNumber request = receive_stream(kResumable, "id: 1\nda");
    const double before = harness.forwarder.retries().by_service().at("engines").balance();
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    const double after = harness.forwarder.retries().by_service().at("engines").balance();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, before - after, 1e-9);
  }

  void truncated_stream_counts_as_a_failure_of_its_back_end() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kNotResumable);
    const std::string first = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\nda");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    for (int count = 0; count < 4; ++count) {
      harness.send_request(kNotResumable);
      CPPUNIT_ASSERT(harness.sent_to() != first);
    }
  }

  // A request that makes engines exit would not be quarantined if their responses lack framing.
  void truncated_stream_counts_as_interrupted_by_a_crash() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kNotResumable);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\nda");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    harness.forwarder.on_backend_ended(backend, harness.now + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         harness.forwarder.take_crashes(harness.now + milliseconds(100)).size());
  }

  void complete_response_without_framing_is_no_failure_of_its_back_end() {
    harness.add_engines();
    harness.add_backend("p1", "plain", 3);
    const RequestNumber stream = receive_stream(kResumable, kEvents);
    const RequestNumber plain = harness.send_request("/read/1");
    harness.receive_head(plain, 200);
    harness.receive_body(plain, "body");
    harness.complete_response(plain, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), harness.first_action<RelayBody>()->bytes);
    harness.complete_response(stream, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.forwarder.counters().resumes);
    harness.send_request("/read/1");
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.sent_to());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedResponseTest);

}  // namespace pumicemast
