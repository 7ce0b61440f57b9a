#include "gateway/requests/request_forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {
namespace {

constexpr char kFirstEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

}  // namespace

class RequestForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestForwarderTest);
  CPPUNIT_TEST(passes_remaining_time_to_back_end);
  CPPUNIT_TEST(lost_response_to_non_repeatable_request_is_502_without_retry);
  CPPUNIT_TEST(failed_connection_is_retried_as_not_run);
  CPPUNIT_TEST(status_alone_does_not_prove_not_run);
  CPPUNIT_TEST(not_run_refusal_is_retried_within_attempt_limit);
  CPPUNIT_TEST(failed_repeatable_request_is_retried_elsewhere);
  CPPUNIT_TEST(error_response_is_relayed_when_no_retry_is_possible);
  CPPUNIT_TEST(retry_after_error_response_spends_one_retry);
  CPPUNIT_TEST(request_accepted_before_stop_is_still_retried);
  CPPUNIT_TEST(stream_resumes_after_last_complete_event);
  CPPUNIT_TEST(unresumable_stream_is_aborted_not_completed);
  CPPUNIT_TEST(failed_resumption_aborts_the_stream);
  CPPUNIT_TEST(responds_at_route_timeout);
  CPPUNIT_TEST(caller_disconnect_cancels_the_attempt);
  CPPUNIT_TEST(slow_engine_with_recent_reports_gets_longer_timeout);
  CPPUNIT_TEST(stalled_engine_without_reports_is_replaced_quickly);
  CPPUNIT_TEST(response_held_back_for_its_caller_is_not_stalled);
  CPPUNIT_TEST(slow_reader_is_aborted_without_a_retry);
  CPPUNIT_TEST(request_without_memory_for_its_body_is_refused_at_once);
  CPPUNIT_TEST(retries_are_bounded_by_the_budget);
  CPPUNIT_TEST(outdated_weights_get_no_request_after_changeover);
  CPPUNIT_TEST(unstarted_attempt_on_old_weights_is_cancelled_at_start_bound);
  CPPUNIT_TEST(started_attempt_on_old_weights_continues_after_start_bound);
  CPPUNIT_TEST(late_start_on_old_weights_is_reported);
  CPPUNIT_TEST(plain_response_is_relayed_only_when_complete);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;

 public:
  void passes_remaining_time_to_back_end() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request("/read/1", "key-1", milliseconds(900));
    CPPUNIT_ASSERT(harness.first_action<SendToBackend>()->time_left == milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), harness.first_action<SendToBackend>()->tenant);
    harness.now += milliseconds(300);
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(harness.first_action<SendToBackend>()->time_left == milliseconds(600));
  }

  void lost_response_to_non_repeatable_request_is_502_without_retry() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request("/pay/1");
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
  }

  void failed_connection_is_retried_as_not_run() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request("/write/1");
    const std::string first = harness.sent_to();
    harness.fail_attempt(request, AttemptFailure::not_sent);
    CPPUNIT_ASSERT(!harness.sent_to().empty() && harness.sent_to() != first);
    harness.fail_attempt(request, AttemptFailure::not_sent);
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
  }

  void status_alone_does_not_prove_not_run() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    // These statuses imply that the request did not run, but the back end did not say so.
    for (const int status : {503, 429, 408}) {
      const RequestNumber request = harness.send_request("/write/1");
      harness.receive_head(request, status);
      harness.complete_response(request);
      CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
    }
  }

  void not_run_refusal_is_retried_within_attempt_limit() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber twice = harness.send_request("/pay/1");
    const std::string first = harness.sent_to();
    harness.receive_head(twice, 503, true);
    harness.complete_response(twice);
    CPPUNIT_ASSERT(!harness.sent_to().empty() && harness.sent_to() != first);
    harness.now += seconds(1);
    const RequestNumber once = harness.send_request("/write/1");
    harness.receive_head(once, 503, true);
    harness.complete_response(once);
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
  }

  void failed_repeatable_request_is_retried_elsewhere() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request("/read/1");
    const std::string first = harness.sent_to();
    harness.receive_head(request, 500);
    harness.complete_response(request);
    CPPUNIT_ASSERT(!harness.sent_to().empty() && harness.sent_to() != first);
    harness.receive_head(request, 500);
    harness.receive_body(request, "sorry");
    harness.complete_response(request);
    // No attempt is left: the back end's error response is relayed unchanged.
    CPPUNIT_ASSERT(harness.first_action<BeginResponse>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("sorry"), harness.first_action<RelayBody>()->bytes);
  }

  void error_response_is_relayed_when_no_retry_is_possible() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);  // The only back end.
    const RequestNumber request = harness.send_request("/read/1");
    harness.receive_head(request, 500);
    harness.receive_body(request, "sorry");
    harness.complete_response(request);
    CPPUNIT_ASSERT_EQUAL(0, harness.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::string("sorry"), harness.first_action<RelayBody>()->bytes);
  }

  void retry_after_error_response_spends_one_retry() {
    harness.configure();
    const ForwarderOptions options;
    const auto reserve = static_cast<int>(options.retry_reserve);
    for (std::uint16_t port = 1; port <= 60; ++port) {
      harness.add_backend("p" + std::to_string(port), "plain", port);
    }
    int retries = 0;
    for (int count = 0; count < reserve; ++count) {
      const RequestNumber request = harness.send_request("/read/1");
      harness.receive_head(request, 500);
      harness.complete_response(request);
      if (!harness.sent_to().empty()) ++retries;
    }
    CPPUNIT_ASSERT_EQUAL(reserve, retries);
  }

  void request_accepted_before_stop_is_still_retried() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request("/read/1");
    harness.forwarder.set_stopping();
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(!harness.sent_to().empty());
  }

  void stream_resumes_after_last_complete_event() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    const std::string first = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, std::string(kFirstEvents) + "id: 3\ndat");
    CPPUNIT_ASSERT(harness.first_action<BeginResponse>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvents), harness.first_action<RelayBody>()->bytes);
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    const auto* resumed = harness.first_action<SendToBackend>();
    CPPUNIT_ASSERT(resumed != nullptr && resumed->backend != first);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), resumed->resume_after);
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 3\ndata: c\n\n");
    CPPUNIT_ASSERT(harness.first_action<BeginResponse>() ==
                   nullptr);  // The first attempt's head was sent already.
    CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: c\n\n"),
                         harness.first_action<RelayBody>()->bytes);
    harness.complete_response(request);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() != nullptr);
  }

  void unresumable_stream_is_aborted_not_completed() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kFirstEvents);
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 3\ndata: c\n\n");
    harness.fail_attempt(request, AttemptFailure::connection_lost);  // The last of two attempts.
    CPPUNIT_ASSERT(harness.first_action<AbortResponse>() != nullptr);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
  }

  void failed_resumption_aborts_the_stream() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kFirstEvents);
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    for (const int status : {500, 404}) {
      harness.receive_head(request, status);
      harness.receive_body(request, "no");
      CPPUNIT_ASSERT(harness.first_action<RelayBody>() == nullptr);
      if (status == 404) break;
    }
    harness.complete_response(request);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() == nullptr);
    CPPUNIT_ASSERT(harness.first_action<AbortResponse>() != nullptr);
  }

  void responds_at_route_timeout() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    const RequestNumber request = harness.send_request("/write/1", "key-1", seconds(60));
    harness.forwarder.on_connected(request);
    harness.advance(milliseconds(5900));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(100));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(504, harness.refusal_status());
  }

  void caller_disconnect_cancels_the_attempt() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    harness.actions.clear();
    harness.forwarder.on_caller_gone(request, harness.now, harness.actions);
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
  }

  void slow_engine_with_recent_reports_gets_longer_timeout() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kFirstEvents);
    for (int step = 0; step < 15; ++step) {
      harness.report_load(1, 4, 1);
      harness.report_load(2, 4, 1);
      harness.advance(milliseconds(100));
      CPPUNIT_ASSERT(harness.actions.empty());
    }
    harness.report_load(1, 4, 1);
    harness.report_load(2, 4, 1);
    harness.advance(milliseconds(200));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(!harness.sent_to().empty());
  }

  // A retry would repeat the work for a caller that does not read what it has.
  void response_held_back_for_its_caller_is_not_stalled() {
    harness.add_engines();
    const auto request = harness.send_request("/chat/1");
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    harness.forwarder.on_reading_paused(request, true, harness.now);
    harness.advance(seconds(3));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.forwarder.on_reading_paused(request, false, harness.now);
    harness.advance(milliseconds(300));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.forwarder.on_reading_paused(request, true, harness.now);
    harness.advance(seconds(3));  // Its deadline.
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(harness.first_action<AbortResponse>() != nullptr);
  }

  void slow_reader_is_aborted_without_a_retry() {
    harness.add_engines();
    const auto request = harness.send_request("/chat/1");
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    harness.actions.clear();
    harness.forwarder.on_slow_reader(request, harness.now, harness.actions);
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(harness.first_action<AbortResponse>()->reason == RefusalReason::slow_reader);
    CPPUNIT_ASSERT(harness.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
  }

  void request_without_memory_for_its_body_is_refused_at_once() {
    harness.add_engines();
    RequestMetadata request;
    request.host = "api.example";
    request.target = "/chat/1";
    request.api_key = "key-1";
    request.time_left = seconds(6);
    request.body_refused = true;
    harness.forwarder.on_request(1, request, harness.now, harness.actions);
    const auto* refusal = harness.first_action<SendRefusal>();
    CPPUNIT_ASSERT_EQUAL(503, refusal->status);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::memory);
    CPPUNIT_ASSERT(refusal->retry_after > Duration::zero());
  }

  void stalled_engine_without_reports_is_replaced_quickly() {
    harness.add_engines();
    const RequestNumber request = harness.send_request("/chat/1");
    const std::string first = harness.sent_to();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, kFirstEvents);
    harness.now += seconds(1);  // Neither engine's report is recent any more.
    harness.report_load(first == "e1" ? 2 : 1, 4, 1);
    harness.advance(milliseconds(1));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), harness.first_action<SendToBackend>()->resume_after);
  }

  void retries_are_bounded_by_the_budget() {
    harness.configure();
    for (std::uint16_t port = 1; port <= 40; ++port) {
      harness.add_backend("p" + std::to_string(port), "plain", port);
    }
    int retries = 0;
    for (int count = 0; count < 40; ++count) {
      const RequestNumber request = harness.send_request("/read/1");
      harness.fail_attempt(request, AttemptFailure::connection_lost);
      if (harness.sent_to().empty()) continue;
      ++retries;
      harness.receive_head(request, 200);
      harness.complete_response(request);
    }
    const ForwarderOptions options;
    CPPUNIT_ASSERT(retries >= 8);
    CPPUNIT_ASSERT(retries <= 40 * options.retry_ratio + options.retry_reserve);
  }

  /// Sends a request to e1 on version 1, 1.1 s before requests may no longer start on it.
  RequestNumber send_late_in_changeover() {
    harness.add_engines();
    harness.targets.set_start_bound(seconds(8));
    harness.targets.on_named("m", 2, harness.now);
    harness.report_load(1, 4, 1);
    harness.report_load(2, 0, 1);
    harness.now += milliseconds(6900);
    harness.report_load(1, 4, 1);
    return harness.send_request("/chat/1");
  }

  // The back end or the path to it is slow, so the request would start on weights on which requests
  // may no longer start.
  void unstarted_attempt_on_old_weights_is_cancelled_at_start_bound() {
    const RequestNumber request = send_late_in_changeover();
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
    harness.forwarder.on_connected(request);
    harness.now += milliseconds(700);
    harness.report_load(1, 4, 1);
    harness.report_load(2, 4, 2);
    harness.advance(milliseconds(10));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(300));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(request, harness.first_action<CancelAttempt>()->request);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
  }

  void late_start_on_old_weights_is_reported() {
    const RequestNumber request = send_late_in_changeover();
    harness.now += seconds(2);  // Without a tick that could have cancelled it.
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.forwarder.counters().begun_late);
    harness.complete_response(request);
    const auto summaries = harness.forwarder.take_summaries();
    CPPUNIT_ASSERT(!summaries.empty());
    CPPUNIT_ASSERT(summaries.back().begun_late);
    CPPUNIT_ASSERT(summaries.back().naming_age > Duration::zero());
  }

  void started_attempt_on_old_weights_continues_after_start_bound() {
    const RequestNumber request = send_late_in_changeover();
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    harness.now += milliseconds(900);
    harness.report_load(1, 4, 1);
    harness.report_load(2, 4, 2);
    harness.advance(milliseconds(300));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() == nullptr);
  }

  void outdated_weights_get_no_request_after_changeover() {
    harness.add_engines();
    harness.targets.on_named("m", 2, harness.now);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    harness.now += seconds(7);
    harness.report_load(1, 4, 1);
    harness.report_load(2, 4, 1);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    harness.report_load(2, 4, 2);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.first_action<SendToBackend>()->expected_version);
  }

  void plain_response_is_relayed_only_when_complete() {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
    const RequestNumber request = harness.send_request("/read/1");
    harness.receive_head(request, 200);
    harness.receive_body(request, "half of ");
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    harness.receive_head(request, 200);
    harness.receive_body(request, "all");
    harness.complete_response(request);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), harness.first_action<RelayBody>()->bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, *harness.first_action<BeginResponse>()->length);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestForwarderTest);

}  // namespace pumicemast
