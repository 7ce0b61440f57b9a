#include "gateway/requests/request_forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_world.h"

namespace pumicemast {
namespace {

constexpr char kFirstEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

}  // namespace

class RequestForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestForwarderTest);
  CPPUNIT_TEST(hands_on_what_is_left_of_the_time);
  CPPUNIT_TEST(a_lost_answer_of_what_may_not_be_repeated_promises_nothing);
  CPPUNIT_TEST(a_connection_that_never_came_up_cannot_have_run);
  CPPUNIT_TEST(a_refusal_counts_only_when_the_back_end_says_not_run);
  CPPUNIT_TEST(a_not_run_refusal_is_sent_elsewhere_within_the_attempts);
  CPPUNIT_TEST(a_failure_of_a_repeatable_request_is_tried_elsewhere);
  CPPUNIT_TEST(a_failure_that_cannot_be_tried_elsewhere_is_passed_on);
  CPPUNIT_TEST(a_repeat_after_a_failure_costs_one_retry);
  CPPUNIT_TEST(a_request_taken_before_a_stop_is_still_tried_elsewhere);
  CPPUNIT_TEST(a_stream_resumes_after_the_last_whole_event);
  CPPUNIT_TEST(a_stream_that_cannot_resume_is_cut_and_never_completed);
  CPPUNIT_TEST(a_failed_resumption_does_not_end_the_stream_as_complete);
  CPPUNIT_TEST(answers_at_the_route_timeout);
  CPPUNIT_TEST(a_caller_that_leaves_stops_the_back_end);
  CPPUNIT_TEST(a_slow_engine_that_lives_is_given_time);
  CPPUNIT_TEST(a_silent_engine_that_nobody_vouches_for_is_given_up_soon);
  CPPUNIT_TEST(repeats_are_bounded_by_the_budget);
  CPPUNIT_TEST(old_weights_start_no_request_after_the_changeover);
  CPPUNIT_TEST(what_has_not_begun_on_old_weights_is_taken_back_at_the_bound);
  CPPUNIT_TEST(what_has_begun_on_old_weights_goes_on_beyond_the_bound);
  CPPUNIT_TEST(what_begins_on_forbidden_weights_all_the_same_is_told);
  CPPUNIT_TEST(a_plain_answer_is_passed_on_only_when_whole);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayWorld world;

 public:
  void hands_on_what_is_left_of_the_time() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1", "key-1", milliseconds(900));
    CPPUNIT_ASSERT(world.first<SendToBackend>()->time_left == milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), world.first<SendToBackend>()->tenant);
    world.now += milliseconds(300);
    world.fail(request, AttemptFailure::cut_off);
    CPPUNIT_ASSERT(world.first<SendToBackend>()->time_left == milliseconds(600));
  }

  void a_lost_answer_of_what_may_not_be_repeated_promises_nothing() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/pay/1");
    world.fail(request, AttemptFailure::cut_off);
    CPPUNIT_ASSERT_EQUAL(502, world.refused_with());
    CPPUNIT_ASSERT_EQUAL(std::string(), world.sent_to());
  }

  void a_connection_that_never_came_up_cannot_have_run() {
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

  void a_refusal_counts_only_when_the_back_end_says_not_run() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    // 503 and 429 promise that a request did not run; its back end did not say so.
    for (const int status : {503, 429, 408}) {
      const RequestNumber request = world.ask("/write/1");
      world.head(request, status);
      world.complete(request);
      CPPUNIT_ASSERT_EQUAL(502, world.refused_with());
    }
  }

  void a_not_run_refusal_is_sent_elsewhere_within_the_attempts() {
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

  void a_failure_of_a_repeatable_request_is_tried_elsewhere() {
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
    // No attempt is left: the back end's own failure is passed on, unchanged.
    CPPUNIT_ASSERT(world.first<BeginAnswer>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("sorry"), world.first<RelayBytes>()->bytes);
  }

  void a_failure_that_cannot_be_tried_elsewhere_is_passed_on() {
    world.configure();
    world.add_backend("p1", "plain", 1);  // The only one.
    const RequestNumber request = world.ask("/read/1");
    world.head(request, 500);
    world.body(request, "sorry");
    world.complete(request);
    CPPUNIT_ASSERT_EQUAL(0, world.refused_with());
    CPPUNIT_ASSERT_EQUAL(std::string("sorry"), world.first<RelayBytes>()->bytes);
  }

  void a_repeat_after_a_failure_costs_one_retry() {
    world.configure();
    const ForwarderOptions options;
    const auto reserve = static_cast<int>(options.retry_reserve);
    for (std::uint16_t port = 1; port <= 60; ++port) {
      world.add_backend("p" + std::to_string(port), "plain", port);
    }
    int repeats = 0;
    for (int count = 0; count < reserve; ++count) {
      const RequestNumber request = world.ask("/read/1");
      world.head(request, 500);
      world.complete(request);
      if (!world.sent_to().empty()) ++repeats;
    }
    CPPUNIT_ASSERT_EQUAL(reserve, repeats);
  }

  void a_request_taken_before_a_stop_is_still_tried_elsewhere() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1");
    world.forwarder.set_stopping();
    world.fail(request, AttemptFailure::cut_off);
    CPPUNIT_ASSERT(!world.sent_to().empty());
  }

  void a_stream_resumes_after_the_last_whole_event() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    const std::string first = world.sent_to();
    world.head(request, 200, false, true);
    world.body(request, std::string(kFirstEvents) + "id: 3\ndat");
    CPPUNIT_ASSERT(world.first<BeginAnswer>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstEvents), world.first<RelayBytes>()->bytes);
    world.fail(request, AttemptFailure::cut_off);
    const auto* resumed = world.first<SendToBackend>();
    CPPUNIT_ASSERT(resumed != nullptr && resumed->backend != first);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), resumed->resume_after);
    world.head(request, 200, false, true);
    world.body(request, "id: 3\ndata: c\n\n");
    CPPUNIT_ASSERT(world.first<BeginAnswer>() == nullptr);  // The first run's head stands.
    CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: c\n\n"), world.first<RelayBytes>()->bytes);
    world.complete(request);
    CPPUNIT_ASSERT(world.first<EndAnswer>() != nullptr);
  }

  void a_stream_that_cannot_resume_is_cut_and_never_completed() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    world.fail(request, AttemptFailure::cut_off);
    world.head(request, 200, false, true);
    world.body(request, "id: 3\ndata: c\n\n");
    world.fail(request, AttemptFailure::cut_off);  // The second of two attempts.
    CPPUNIT_ASSERT(world.first<CutAnswer>() != nullptr);
    CPPUNIT_ASSERT(world.first<EndAnswer>() == nullptr);
  }

  void a_failed_resumption_does_not_end_the_stream_as_complete() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    world.fail(request, AttemptFailure::cut_off);
    for (const int status : {500, 404}) {
      world.head(request, status);
      world.body(request, "no");
      CPPUNIT_ASSERT(world.first<RelayBytes>() == nullptr);
      if (status == 404) break;
    }
    world.complete(request);
    CPPUNIT_ASSERT(world.first<EndAnswer>() == nullptr);
    CPPUNIT_ASSERT(world.first<CutAnswer>() != nullptr);
  }

  void answers_at_the_route_timeout() {
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

  void a_caller_that_leaves_stops_the_back_end() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    world.actions.clear();
    world.forwarder.on_caller_gone(request, world.now, world.actions);
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.forwarder.active());
  }

  void a_slow_engine_that_lives_is_given_time() {
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

  void a_silent_engine_that_nobody_vouches_for_is_given_up_soon() {
    world.add_engines();
    const RequestNumber request = world.ask("/chat/1");
    const std::string first = world.sent_to();
    world.head(request, 200, false, true);
    world.body(request, kFirstEvents);
    world.now += seconds(1);  // No report of either engine for that long.
    world.report(first == "e1" ? 2 : 1, 4, 1);
    world.tick(milliseconds(1));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT(!world.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), world.first<SendToBackend>()->resume_after);
  }

  void repeats_are_bounded_by_the_budget() {
    world.configure();
    for (std::uint16_t port = 1; port <= 40; ++port) {
      world.add_backend("p" + std::to_string(port), "plain", port);
    }
    int repeats = 0;
    for (int count = 0; count < 40; ++count) {
      const RequestNumber request = world.ask("/read/1");
      world.fail(request, AttemptFailure::cut_off);
      if (world.sent_to().empty()) continue;
      ++repeats;
      world.head(request, 200);
      world.complete(request);
    }
    const ForwarderOptions options;
    CPPUNIT_ASSERT(repeats >= 8);
    CPPUNIT_ASSERT(repeats <= 40 * options.retry_ratio + options.retry_reserve);
  }

  /// A request that goes to e1 on version 1, 1.1 s before requests there may no longer begin.
  RequestNumber ask_late_in_the_changeover() {
    world.add_engines();
    world.targets.set_start_bound(seconds(8));
    world.targets.on_named("m", 2, world.now);
    world.report(1, 4, 1);
    world.report(2, 0, 1);
    world.now += milliseconds(6900);
    world.report(1, 4, 1);
    return world.ask("/chat/1");
  }

  // The back end is slow, or the way to it: the request would begin on weights that may no longer
  // start any.
  void what_has_not_begun_on_old_weights_is_taken_back_at_the_bound() {
    const RequestNumber request = ask_late_in_the_changeover();
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

  void what_begins_on_forbidden_weights_all_the_same_is_told() {
    const RequestNumber request = ask_late_in_the_changeover();
    world.now += seconds(2);  // No tick came between that could have taken it back.
    world.head(request, 200, false, true);
    world.body(request, "id: 1\ndata: a\n\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.forwarder.counters().begun_late);
    world.forwarder.on_response_complete(request, world.now, world.actions);
    const auto summaries = world.forwarder.take_summaries();
    CPPUNIT_ASSERT(!summaries.empty());
    CPPUNIT_ASSERT(summaries.back().begun_late);
    CPPUNIT_ASSERT(summaries.back().naming_age > Duration::zero());
  }

  void what_has_begun_on_old_weights_goes_on_beyond_the_bound() {
    const RequestNumber request = ask_late_in_the_changeover();
    world.head(request, 200, false, true);
    world.body(request, "id: 1\ndata: a\n\n");
    world.now += milliseconds(900);
    world.report(1, 4, 1);
    world.report(2, 4, 2);
    world.tick(milliseconds(300));
    CPPUNIT_ASSERT(world.first<CancelAttempt>() == nullptr);
  }

  void old_weights_start_no_request_after_the_changeover() {
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

  void a_plain_answer_is_passed_on_only_when_whole() {
    world.configure();
    world.add_backend("p1", "plain", 1);
    world.add_backend("p2", "plain", 2);
    const RequestNumber request = world.ask("/read/1");
    world.head(request, 200);
    world.body(request, "half of ");
    CPPUNIT_ASSERT(world.actions.empty());
    world.fail(request, AttemptFailure::cut_off);
    world.head(request, 200);
    world.body(request, "all");
    world.complete(request);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), world.first<RelayBytes>()->bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, *world.first<BeginAnswer>()->length);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestForwarderTest);

}  // namespace pumicemast
