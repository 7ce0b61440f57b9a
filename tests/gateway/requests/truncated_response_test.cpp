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
  CPPUNIT_TEST(inferred_end_is_held_back_until_the_end_of_the_engine_would_be_known);
  CPPUNIT_TEST(stream_of_an_engine_that_exits_is_resumed);
  CPPUNIT_TEST(stream_of_an_engine_that_exited_before_its_close_arrived_is_resumed);
  CPPUNIT_TEST(stream_of_an_engine_that_exits_is_aborted_if_it_cannot_be_resumed);
  CPPUNIT_TEST(exit_of_another_engine_does_not_matter);
  CPPUNIT_TEST(engine_that_leaves_may_exit_some_time_after_its_last_response);
  CPPUNIT_TEST(held_back_end_takes_no_place_at_its_back_end);
  CPPUNIT_TEST(plain_response_is_relayed_once_its_service_is_found_listening);
  CPPUNIT_TEST(plain_response_of_a_service_that_exited_is_not_relayed);
  CPPUNIT_TEST(response_to_a_request_sent_after_a_reported_exit_is_not_taken_for_truncated);
  CPPUNIT_TEST(caller_that_leaves_during_the_check_ends_the_request);
  CPPUNIT_TEST(decisions_on_inferred_ends_name_their_evidence);
  CPPUNIT_TEST(engine_without_a_current_report_is_probed_before_its_inferred_end_counts);
  CPPUNIT_TEST(stream_of_an_engine_that_exits_without_an_agent_is_resumed);
  CPPUNIT_TEST(end_is_not_certified_if_the_agent_falls_silent_with_its_engine);
  CPPUNIT_TEST(stream_cut_off_by_the_exit_of_a_leaving_engine_is_resumed);
  CPPUNIT_TEST(stream_cut_off_by_the_exit_of_a_leaving_engine_is_aborted_if_it_cannot_be_resumed);
  CPPUNIT_TEST(empty_resumption_confirms_the_end_of_a_whole_stream);
  CPPUNIT_TEST(event_stream_on_a_route_of_another_kind_never_ends_inside_an_event);
  CPPUNIT_TEST(end_that_is_held_back_at_the_deadline_is_not_certified);
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

  /// Lets the time pass in which evidence against an inferred end may arrive; agents go on
  /// reporting their engines.
  void wait_for_evidence() {
    for (int step = 0; step < 20 && harness.actions.empty(); ++step) {
      report_engines();
      harness.advance(milliseconds(25));
    }
  }

  void report_engines() {
    harness.report_load(1, 4, 1);
    harness.report_load(2, 4, 1);
  }

  /// Receives a stream of two events and the close of its connection.
  /// @return its back end.
  std::string receive_closed_stream(const std::string& target) {
    harness.add_engines();
    const RequestNumber request = harness.send_request(target);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kEvents);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    return backend;
  }

  /// Receives a plain response and the close of its connection.
  std::string receive_closed_plain(const std::string& target) {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request(target);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 200);
    harness.receive_body(request, "bo");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(harness.first_action<BeginResponse>() == nullptr);
    CPPUNIT_ASSERT(harness.first_action<ProbeBackend>() != nullptr);
    return backend;
  }

  static void check(const Case& expected) {
    TruncatedResponseTest test;
    test.harness.add_engines();
    const RequestNumber request = test.receive_stream(expected.target, expected.body);
    test.harness.complete_response(request, expected.end);
    test.wait_for_evidence();
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
    wait_for_evidence();
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
    harness.find_listening("p1");
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), harness.first_action<RelayBody>()->bytes);
    harness.complete_response(stream, ResponseEnd::inferred_from_close);
    wait_for_evidence();
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, harness.forwarder.counters().resumes);
    harness.send_request("/read/1");
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.sent_to());
  }

  void inferred_end_is_held_back_until_the_end_of_the_engine_would_be_known() {
    receive_closed_stream(kResumable);
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(200));
    CPPUNIT_ASSERT(harness.actions.empty());
    report_engines();
    harness.advance(milliseconds(200));
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
  }

  void stream_of_an_engine_that_exits_is_resumed() {
    const std::string backend = receive_closed_stream(kResumable);
    harness.advance(milliseconds(100));
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT(outcome() == Outcome::resumed);
    CPPUNIT_ASSERT(harness.sent_to() != backend);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), harness.first_action<SendToBackend>()->resume_after);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.forwarder.take_crashes(harness.now).size());
  }

  void stream_of_an_engine_that_exited_before_its_close_arrived_is_resumed() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kResumable);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kEvents);
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.now += milliseconds(50);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(outcome() == Outcome::resumed);
  }

  void stream_of_an_engine_that_exits_is_aborted_if_it_cannot_be_resumed() {
    const std::string backend = receive_closed_stream(kNotResumable);
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT(outcome() == Outcome::aborted);
  }

  void exit_of_another_engine_does_not_matter() {
    const std::string backend = receive_closed_stream(kResumable);
    harness.forwarder.on_backend_ended(backend == "e1" ? "e2" : "e1", harness.now);
    wait_for_evidence();
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
  }

  void engine_that_leaves_may_exit_some_time_after_its_last_response() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kResumable);
    const std::string backend = harness.sent_to();
    BackendNotice notice;
    notice.leaving = true;
    harness.receive_head(request, 200, false, true, notice);
    harness.receive_body(request, kEvents);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    wait_for_evidence();
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT(harness.actions.empty());
  }

  void held_back_end_takes_no_place_at_its_back_end() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    for (int round = 0; round < 20; ++round) {
      const RequestNumber running = harness.send_request("/pay/1");
      const RequestNumber closed = harness.send_request("/pay/2");
      const std::string backend = harness.sent_to();
      harness.receive_head(closed, 200);
      harness.complete_response(closed, ResponseEnd::inferred_from_close);
      const RequestNumber next = harness.send_request("/pay/3");
      CPPUNIT_ASSERT_EQUAL(backend, harness.sent_to());
      harness.find_listening(backend);
      for (const RequestNumber request : {running, next}) {
        harness.receive_head(request, 200);
        harness.complete_response(request);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
  }

  void plain_response_is_relayed_once_its_service_is_found_listening() {
    const std::string backend = receive_closed_plain("/pay/1");
    harness.find_listening(backend);
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
    CPPUNIT_ASSERT_EQUAL(std::string("bo"), harness.first_action<RelayBody>()->bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
  }

  void response_to_a_request_sent_after_a_reported_exit_is_not_taken_for_truncated() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.forwarder.on_backend_ended("p1", harness.now);
    harness.now += milliseconds(100);
    const RequestNumber request = harness.send_request("/pay/1");
    harness.receive_head(request, 200);
    harness.receive_body(request, "body");
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    harness.find_listening("p1");
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
  }

  void plain_response_of_a_service_that_exited_is_not_relayed() {
    const std::string first = receive_closed_plain("/read/1");
    harness.forwarder.on_backend_ended(first, harness.now);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT(outcome() == Outcome::resumed);
    CPPUNIT_ASSERT(harness.sent_to() != first);
    const std::string second = receive_closed_plain("/pay/1");
    harness.forwarder.on_backend_ended(second, harness.now);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
  }

  void decisions_on_inferred_ends_name_their_evidence() {
    const std::string backend = receive_closed_stream(kNotResumable);
    harness.advance(milliseconds(100));
    CPPUNIT_ASSERT(harness.forwarder.take_inferred_end_verdicts().empty());
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(milliseconds(25));
    const auto verdicts = harness.forwarder.take_inferred_end_verdicts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(backend, verdicts[0].backend);
    CPPUNIT_ASSERT(!verdicts[0].complete);
    CPPUNIT_ASSERT_EQUAL(std::string("exit"), std::string(to_string(verdicts[0].evidence)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{125}, to_milliseconds(verdicts[0].held));
  }

  void engine_without_a_current_report_is_probed_before_its_inferred_end_counts() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kResumable);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kEvents);
    harness.now += seconds(1);  // No report is recent any more.
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
    CPPUNIT_ASSERT_EQUAL(backend, harness.probed());
    harness.find_listening(backend);
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
  }

  void stream_of_an_engine_that_exits_without_an_agent_is_resumed() {
    for (const char* target : {kResumable, kNotResumable}) {
      TruncatedResponseTest test;
      test.harness.add_engines();
      const RequestNumber request = test.harness.send_request(target);
      const std::string backend = test.harness.sent_to();
      test.harness.receive_head(request, 200, false, true);
      test.harness.receive_body(request, kEvents);
      test.harness.now += seconds(1);
      // The other engine's agent still reports.
      test.harness.report_load(backend == "e1" ? 2 : 1, 4, 1);
      test.harness.complete_response(request, ResponseEnd::inferred_from_close);
      test.harness.forwarder.on_backend_ended(backend, test.harness.now);
      test.harness.advance(milliseconds(25));
      CPPUNIT_ASSERT(test.outcome() ==
                     (target == kResumable ? Outcome::resumed : Outcome::aborted));
    }
  }

  void end_is_not_certified_if_the_agent_falls_silent_with_its_engine() {
    for (const char* target : {kResumable, kNotResumable}) {
      TruncatedResponseTest test;
      const std::string backend = test.receive_closed_stream(target);
      // Without another report of its agent, until a probe must have had an answer.
      bool probed = false;
      for (int step = 0; step < 30 && test.harness.first_action<SendToBackend>() == nullptr &&
                         test.harness.first_action<AbortResponse>() == nullptr;
           ++step) {
        test.harness.advance(milliseconds(25));
        test.harness.report_load(backend == "e1" ? 2 : 1, 4, 1);
        probed = probed || test.harness.probed() == backend;
        CPPUNIT_ASSERT(test.harness.first_action<EndResponse>() == nullptr);
      }
      CPPUNIT_ASSERT(probed);
      CPPUNIT_ASSERT(test.outcome() ==
                     (target == kResumable ? Outcome::resumed : Outcome::aborted));
    }
  }

  /// Receives a stream of two events from an engine that announces its leaving, and the close of
  /// its connection just before its exit is reported.
  void receive_stream_of_exiting_engine(const std::string& target) {
    harness.add_engines();
    const RequestNumber request = harness.send_request(target);
    const std::string backend = harness.sent_to();
    BackendNotice notice;
    notice.leaving = true;
    harness.receive_head(request, 200, false, true, notice);
    harness.receive_body(request, kEvents);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
    harness.advance(milliseconds(50));
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(milliseconds(25));
  }

  void stream_cut_off_by_the_exit_of_a_leaving_engine_is_resumed() {
    receive_stream_of_exiting_engine(kResumable);
    CPPUNIT_ASSERT(outcome() == Outcome::resumed);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), harness.first_action<SendToBackend>()->resume_after);
    harness.receive_head(harness.number, 200, false, true);
    harness.receive_body(harness.number, "id: 3\ndata: c\n\n");
    harness.complete_response(harness.number);
    CPPUNIT_ASSERT(outcome() == Outcome::ended);
  }

  void stream_cut_off_by_the_exit_of_a_leaving_engine_is_aborted_if_it_cannot_be_resumed() {
    receive_stream_of_exiting_engine(kNotResumable);
    CPPUNIT_ASSERT(outcome() == Outcome::aborted);
  }

  // A whole stream whose engine exits just after it would be broken off in front of its caller.
  void empty_resumption_confirms_the_end_of_a_whole_stream() {
    for (const ResponseEnd end : {ResponseEnd::inferred_from_close, ResponseEnd::stated}) {
      TruncatedResponseTest test;
      test.receive_stream_of_exiting_engine(kResumable);
      CPPUNIT_ASSERT(test.outcome() == Outcome::resumed);
      const std::string second = test.harness.sent_to();
      test.harness.receive_head(test.harness.number, 200, false, true);
      test.harness.complete_response(test.harness.number, end);
      for (int step = 0; step < 20 && test.harness.actions.empty(); ++step) {
        test.harness.advance(milliseconds(25));
        if (test.harness.actions.empty()) test.harness.report_load(second == "e1" ? 1 : 2, 4, 1);
      }
      CPPUNIT_ASSERT(test.outcome() == Outcome::ended);
    }
  }

  void event_stream_on_a_route_of_another_kind_never_ends_inside_an_event() {
    for (const ResponseEnd end : {ResponseEnd::inferred_from_close, ResponseEnd::stated}) {
      for (const char* target : {"/read/1", "/pay/1"}) {
        TruncatedResponseTest test;
        test.harness.configure();
        test.harness.add_backend("p1", "plain", 1);
        test.harness.add_backend("p2", "plain", 2);
        const RequestNumber request = test.harness.send_request(target);
        const std::string backend = test.harness.sent_to();
        test.harness.receive_head(request, 200, false, true);
        test.harness.receive_body(request, std::string(kEvents) + "id: 3\nda");
        test.harness.complete_response(request, end);
        if (test.harness.first_action<SendToBackend>() == nullptr &&
            test.harness.refusal_status() == 0) {
          test.harness.find_listening(backend);
        }
        CPPUNIT_ASSERT(test.outcome() ==
                       (target == std::string("/read/1") ? Outcome::resumed : Outcome::refused));
      }
    }
  }

  void end_that_is_held_back_at_the_deadline_is_not_certified() {
    harness.add_engines();
    const RequestNumber request = harness.send_request(kNotResumable, "key-1", milliseconds(300));
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kEvents);
    harness.now += milliseconds(200);
    harness.complete_response(request, ResponseEnd::inferred_from_close);
    for (int step = 0; step < 20 && harness.actions.empty(); ++step) {
      harness.advance(milliseconds(10));
    }
    CPPUNIT_ASSERT(outcome() == Outcome::aborted);
  }

  void caller_that_leaves_during_the_check_ends_the_request() {
    const std::string backend = receive_closed_stream(kResumable);
    harness.actions.clear();
    harness.forwarder.on_caller_gone(harness.number, harness.now, harness.actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
    harness.forwarder.on_backend_ended(backend, harness.now);
    harness.advance(seconds(1));
    CPPUNIT_ASSERT(harness.actions.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedResponseTest);

}  // namespace pumicemast
