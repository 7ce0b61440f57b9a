#include "gateway/requests/request_forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_world.h"

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
  CPPUNIT_TEST(retries_are_bounded_by_the_budget);
  CPPUNIT_TEST(outdated_weights_get_no_request_after_changeover);
  CPPUNIT_TEST(unstarted_attempt_on_old_weights_is_cancelled_at_start_bound);
  CPPUNIT_TEST(started_attempt_on_old_weights_continues_after_start_bound);
  CPPUNIT_TEST(late_start_on_old_weights_is_reported);
  CPPUNIT_TEST(plain_response_is_relayed_only_when_complete);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayWorld world;

 public:
  void passes_remaining_time_to_back_end() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1", "key-1", milliseconds(900));
    CPPUNIT_ASSERT(world.first<SendToBackend>()->time_left == milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), world.first<SendToBackend>()->tenant);
    world.now += milliseconds(300);
    world.fail(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(world.first<SendToBackend>()->time_left == milliseconds(600));
  }

  void lost_response_to_non_repeatable_request_is_502_without_retry() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/pay/1");
    world.fail(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(502, world.refused_with());
    CPPUNIT_ASSERT_EQUAL(std::string(), world.sent_to());
  }

  void failed_connection_is_retried_as_not_run() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/write/1");
    const std::string first = world.sent_to();
    world.fail(request, AttemptFailure::not_sent);
    CPPUNIT_ASSERT(!world.sent_to().empty() && world.sent_to() != first);
    world.fail(request, AttemptFailure::not_sent);
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
  }

  void status_alone_does_not_prove_not_run() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    // These statuses imply that the request did not run, but the back end did not say so.
    for (const int status : {503, 429, 408}) {
      const RequestNumber request = world.ask("/write/1");
      world.head(request, status);
      world.complete(request);
      CPPUNIT_ASSERT_EQUAL(502, world.refused_with());
    }
  }

  void not_run_refusal_is_retried_within_attempt_limit() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber twice = world.ask("/pay/1");
    const std::string first = world.sent_to();
    world.head(twice, 503, true);
    world.complete(twice);
    CPPUNIT_ASSERT(!world.sent_to().empty() && world.sent_to() != first);
    world.now += seconds(1);
    const RequestNumber once = world.ask("/write/1");
    world.head(once, 503, true);
    world.complete(once);
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
  }

  void failed_repeatable_request_is_retried_elsewhere() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1");
    const std::string first = world.sent_to();
    world.head(request, 500);
    world.complete(request);
    CPPUNIT_ASSERT(!world.sent_to().empty() && world.sent_to() != first);
    world.head(request, 500);
    world.body(request, "sorry");
    world.complete(request);
    // No attempt is left: the back end's error response is relayed unchanged.
    CPPUNIT_ASSERT(world.first<BeginResponse>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("sorry"), world.first<RelayBody>()->bytes);
  }

  void error_response_is_relayed_when_no_retry_is_possible() {
    world.configure();
    world.add_backend("p1", "plain", 1);  // The only back end.
    const RequestNumber request = world.ask("/read/1");
    world.head(request, 500);
    world.body(request, "sorry");
    world.complete(request);
    CPPUNIT_ASSERT_EQUAL(0, world.refused_with());
    CPPUNIT_ASSERT_EQUAL(std::string("sorry"), world.first<RelayBody>()->bytes);
  }

  void retry_after_error_response_spends_one_retry() {
    world.configure();
    const ForwarderOptions options;
    const auto reserve = static_cast<int>(options.retry_reserve);
    for (std::uint16_t port = 1; port <= 60; ++port) {
      world.add_backend("p" + std::to_string(port), "plain", port);
    }
    int retries = 0;
    for (int count = 0; count < reserve; ++count) {
      const RequestNumber request = world.ask("/read/1");
      world.head(request, 500);
      world.complete(request);
      if (!world.sent_to().empty()) ++retries;
    }
    CPPUNIT_ASSERT_EQUAL(reserve, retries);
  }

  void request_accepted_before_stop_is_still_retried() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1");
    world.forwarder.set_stopping();
    world.fail(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(!world.sent_to().empty());
  }

  void stream_resumes_after_last_complete_event() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    const std::string first = world.sent_to();
    world.head(request, 200, false, true);
    world.body(request, std::string(kFirstEvents) + "id: 3\ndat");
    CPPUNIT_ASSERT(world.first<BeginResponse>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvents), world.first<RelayBody>()->bytes);
    world.fail(request, AttemptFailure::connection_lost);
    const auto* resumed = world.first<SendToBackend>();
    CPPUNIT_ASSERT(resumed != nullptr && resumed->backend != first);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), resumed->resume_after);
    world.head(request, 200, false, true);
    world.body(request, "id: 3\ndata: c\n\n");
    CPPUNIT_ASSERT(world.first<BeginResponse>() ==
                   nullptr);  // The first attempt's head was sent already.
    CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: c\n\n"), world.first<RelayBody>()->bytes);
    world.complete(request);
    CPPUNIT_ASSERT(world.first<EndResponse>() != nullptr);
  }

  void unresumable_stream_is_aborted_not_completed() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    world.fail(request, AttemptFailure::connection_lost);
    world.head(request, 200, false, true);
    world.body(request, "id: 3\ndata: c\n\n");
    world.fail(request, AttemptFailure::connection_lost);  // The last of two attempts.
    CPPUNIT_ASSERT(world.first<AbortResponse>() != nullptr);
    CPPUNIT_ASSERT(world.first<EndResponse>() == nullptr);
  }

  void failed_resumption_aborts_the_stream() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    world.fail(request, AttemptFailure::connection_lost);
    for (const int status : {500, 404}) {
      world.head(request, status);
      world.body(request, "no");
      CPPUNIT_ASSERT(world.first<RelayBody>() == nullptr);
      if (status == 404) break;
    }
    world.complete(request);
    CPPUNIT_ASSERT(world.first<EndResponse>() == nullptr);
    CPPUNIT_ASSERT(world.first<AbortResponse>() != nullptr);
  }

  void responds_at_route_timeout() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    const RequestNumber request = world.ask("/write/1", "key-1", seconds(60));
    world.forwarder.on_connected(request);
    world.tick(milliseconds(5900));
    CPPUNIT_ASSERT(world.actions.empty());
    world.tick(milliseconds(100));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(504, world.refused_with());
  }

  void caller_disconnect_cancels_the_attempt() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.actions.clear();
    world.forwarder.on_caller_gone(request, world.now, world.actions);
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.forwarder.active());
  }

  void slow_engine_with_recent_reports_gets_longer_timeout() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    for (int step = 0; step < 15; ++step) {
      world.report(1, 4, 1);
      world.report(2, 4, 1);
      world.tick(milliseconds(100));
      CPPUNIT_ASSERT(world.actions.empty());
    }
    world.report(1, 4, 1);
    world.report(2, 4, 1);
    world.tick(milliseconds(200));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(!world.sent_to().empty());
  }

  void stalled_engine_without_reports_is_replaced_quickly() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    const std::string first = world.sent_to();
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    world.now += seconds(1);  // Neither engine's report is recent any more.
    world.report(first == "e1" ? 2 : 1, 4, 1);
    world.tick(milliseconds(1));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(!world.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), world.first<SendToBackend>()->resume_after);
  }

  void retries_are_bounded_by_the_budget() {
    world.configure();
    for (std::uint16_t port = 1; port <= 40; ++port) {
      world.add_backend("p" + std::to_string(port), "plain", port);
    }
    int retries = 0;
    for (int count = 0; count < 40; ++count) {
      const RequestNumber request = world.ask("/read/1");
      world.fail(request, AttemptFailure::connection_lost);
      if (world.sent_to().empty()) continue;
      ++retries;
      world.head(request, 200);
      world.complete(request);
    }
    const ForwarderOptions options;
    CPPUNIT_ASSERT(retries >= 8);
    CPPUNIT_ASSERT(retries <= 40 * options.retry_ratio + options.retry_reserve);
  }

  /// Sends a request to e1 on version 1, 1.1 s before requests may no longer start on it.
  RequestNumber send_late_in_changeover() {
    world.add_engines();
    world.targets.set_start_bound(seconds(8));
    world.targets.on_named("m", 2, world.now);
    world.report(1, 4, 1);
    world.report(2, 0, 1);
    world.now += milliseconds(6900);
    world.report(1, 4, 1);
    return world.ask("/chat/1");
  }

  // The back end or the path to it is slow, so the request would start on weights on which requests
  // may no longer start.
  void unstarted_attempt_on_old_weights_is_cancelled_at_start_bound() {
    const RequestNumber request = send_late_in_changeover();
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), world.sent_to());
    world.forwarder.on_connected(request);
    world.now += milliseconds(700);
    world.report(1, 4, 1);
    world.report(2, 4, 2);
    world.tick(milliseconds(10));
    CPPUNIT_ASSERT(world.actions.empty());
    world.tick(milliseconds(300));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(request, world.first<CancelAttempt>()->request);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), world.sent_to());
  }

  void late_start_on_old_weights_is_reported() {
    const RequestNumber request = send_late_in_changeover();
    world.now += seconds(2);  // Without a tick that could have cancelled it.
    world.head(request, 200, false, true);
    world.body(request, "id: 1\ndata: a\n\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.forwarder.counters().begun_late);
    world.forwarder.on_response_complete(request, world.now, world.actions);
    const auto summaries = world.forwarder.take_summaries();
    CPPUNIT_ASSERT(!summaries.empty());
    CPPUNIT_ASSERT(summaries.back().begun_late);
    CPPUNIT_ASSERT(summaries.back().naming_age > Duration::zero());
  }

  void started_attempt_on_old_weights_continues_after_start_bound() {
    const RequestNumber request = send_late_in_changeover();
    world.head(request, 200, false, true);
    world.body(request, "id: 1\ndata: a\n\n");
    world.now += milliseconds(900);
    world.report(1, 4, 1);
    world.report(2, 4, 2);
    world.tick(milliseconds(300));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() == nullptr);
  }

  void outdated_weights_get_no_request_after_changeover() {
    world.add_engines();
    world.targets.on_named("m", 2, world.now);
    world.ask("/chat/1");
    CPPUNIT_ASSERT(!world.sent_to().empty());
    world.now += seconds(7);
    world.report(1, 4, 1);
    world.report(2, 4, 1);
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), world.sent_to());
    world.report(2, 4, 2);
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), world.sent_to());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.first<SendToBackend>()->expected_version);
  }

  void plain_response_is_relayed_only_when_complete() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1");
    world.head(request, 200);
    world.body(request, "half of ");
    CPPUNIT_ASSERT(world.actions.empty());
    world.fail(request, AttemptFailure::connection_lost);
    world.head(request, 200);
    world.body(request, "all");
    world.complete(request);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), world.first<RelayBody>()->bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, *world.first<BeginResponse>()->length);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestForwarderTest);

}  // namespace pumicemast
