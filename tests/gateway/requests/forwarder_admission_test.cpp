#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "support/gateway_harness.h"

namespace pumicemast {

/// Which requests the forwarder admits, in which order, and how it refuses the others.
class ForwarderAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderAdmissionTest);
  CPPUNIT_TEST(missing_configuration_is_refused_with_503_not_404_or_401);
  CPPUNIT_TEST(unknown_routes_get_404_and_unknown_keys_401);
  CPPUNIT_TEST(stopping_gateway_refuses_with_503);
  CPPUNIT_TEST(every_request_gets_a_final_response_when_the_grace_period_ends);
  CPPUNIT_TEST(most_urgent_waiting_request_is_sent_first);
  CPPUNIT_TEST(request_without_capacity_is_refused_early_with_retry_after);
  CPPUNIT_TEST(refusal_reason_distinguishes_capacity_from_weights);
  CPPUNIT_TEST(simultaneous_refusals_get_different_retry_after);
  CPPUNIT_TEST(returning_request_is_refused_at_once_under_overload);
  CPPUNIT_TEST(returning_request_is_served_when_capacity_is_free);
  CPPUNIT_TEST(first_attempts_precede_returning_requests);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;

 public:
  void missing_configuration_is_refused_with_503_not_404_or_401() {
    harness.send_request("/nowhere/", "wrong");
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
  }

  void unknown_routes_get_404_and_unknown_keys_401() {
    harness.configure();
    harness.send_request("/nowhere/");
    CPPUNIT_ASSERT_EQUAL(404, harness.refusal_status());
    harness.send_request("/read/1", "wrong");
    CPPUNIT_ASSERT_EQUAL(401, harness.refusal_status());
    harness.send_request("/read/1", "");
    CPPUNIT_ASSERT_EQUAL(401, harness.refusal_status());
  }

  void stopping_gateway_refuses_with_503() {
    harness.add_engines();
    harness.forwarder.set_stopping();
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    CPPUNIT_ASSERT(harness.first_action<SendRefusal>()->reason == RefusalReason::stopping);
  }

  // Guards against a process that exits with requests which were read and never answered.
  void every_request_gets_a_final_response_when_the_grace_period_ends() {
    harness.add_engines();
    harness.add_backend("p1", "plain", 3);
    const RequestNumber started = harness.send_request("/chat/1");
    harness.receive_head(started, 200, false, true);
    harness.receive_body(started, "id: 1\ndata: a\n\n");
    const RequestNumber sent = harness.send_request("/write/1");
    harness.report_load(1, 0, 1, 4);
    harness.report_load(2, 0, 1, 4);
    const RequestNumber waiting = harness.send_request("/chat/2");
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    harness.actions.clear();
    harness.forwarder.end_all(harness.now, harness.actions);
    std::map<RequestNumber, int> refusals;
    std::set<RequestNumber> aborted;
    std::set<RequestNumber> cancelled;
    for (const ForwarderAction& action : harness.actions) {
      if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
        refusals[refusal->request] = refusal->status;
        CPPUNIT_ASSERT(refusal->reason == RefusalReason::stopping);
      }
      if (const auto* abort = std::get_if<AbortResponse>(&action)) aborted.insert(abort->request);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        cancelled.insert(cancel->request);
      }
    }
    const std::map<RequestNumber, int> expected = {{sent, 502}, {waiting, 503}};
    CPPUNIT_ASSERT(expected == refusals);
    CPPUNIT_ASSERT(std::set<RequestNumber>{started} == aborted);
    CPPUNIT_ASSERT((std::set<RequestNumber>{started, sent}) == cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.active());
  }

  void most_urgent_waiting_request_is_sent_first() {
    FleetConfiguration configuration = tests::GatewayHarness::configuration();
    configuration.tenants.push_back({"urgent", {"key-0"}, 0});
    configuration.routes[0].priority = 5;
    harness.forwarder.set_routes(std::make_shared<RouteTable>(configuration));
    harness.add_backend("e1", "engines", 1, 1);
    harness.report_load(1, 0, 1, 4);
    harness.send_request("/chat/1", "key-1");
    const RequestNumber urgent = harness.send_request("/chat/2", "key-0");
    harness.now += milliseconds(10);
    harness.report_load(1, 1, 1, 3);
    harness.actions.clear();
    harness.forwarder.on_capacity(harness.now, harness.actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.actions.size());
    CPPUNIT_ASSERT_EQUAL(urgent, harness.first_action<SendToBackend>()->request);
  }

  void request_without_capacity_is_refused_early_with_retry_after() {
    harness.add_engines();
    harness.report_load(1, 0, 1, 4);
    harness.report_load(2, 0, 1, 4);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT(harness.actions.empty());  // It waits for capacity.
    harness.advance(milliseconds(100));       // A quarter of the latency goal.
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    CPPUNIT_ASSERT(harness.first_action<SendRefusal>()->retry_after > Duration::zero());
    CPPUNIT_ASSERT(harness.first_action<SendRefusal>()->retry_after <= seconds(2));
  }

  void refusal_reason_distinguishes_capacity_from_weights() {
    const auto reason = [&] {
      harness.send_request("/chat/1");
      harness.report_load(1, 0, 1, 4);
      harness.report_load(2, 0, 2, 4);
      harness.advance(milliseconds(100));
      return std::string(to_string(harness.first_action<SendRefusal>()->reason));
    };
    harness.configure();
    CPPUNIT_ASSERT_EQUAL(std::string("no_backend"), reason());
    harness.add_engines();
    harness.report_load(1, 0, 1, 4);
    harness.report_load(2, 0, 2, 4);
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"), reason());
    harness.targets.on_named("m", 2, harness.now - seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"), reason());
    harness.targets.on_named("m", 3, harness.now - seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("weights_stale"), reason());
  }

  void simultaneous_refusals_get_different_retry_after() {
    harness.add_engines();
    harness.report_load(1, 0, 1, 4);
    harness.report_load(2, 0, 1, 4);
    std::set<std::int64_t> times;
    for (int count = 0; count < 8; ++count) harness.send_request("/chat/1");
    harness.advance(milliseconds(100));
    for (const ForwarderAction& action : harness.actions) {
      times.insert(std::get<SendRefusal>(action).retry_after.count());
    }
    CPPUNIT_ASSERT(times.size() > 4);
  }

  void returning_request_is_refused_at_once_under_overload() {
    harness.add_busy_engine();
    harness.send_request("/chat/1");
    harness.advance(milliseconds(61));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    harness.report_load(1, 1, 1);  // Capacity for one request, kept for first attempts.
    const std::uint64_t first_attempts = harness.forwarder.counters().engine_first_attempts;
    harness.send_request("/chat/1", "key-1", milliseconds(4500));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.forwarder.counters().yielded);
    CPPUNIT_ASSERT_EQUAL(first_attempts, harness.forwarder.counters().engine_first_attempts);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
  }

  void returning_request_is_served_when_capacity_is_free() {
    harness.add_busy_engine();
    harness.send_request("/chat/1");
    harness.advance(milliseconds(61));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    harness.now += milliseconds(400);
    harness.report_load(1, 1, 1);
    harness.send_request("/chat/1", "key-1", milliseconds(4500));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
  }

  void first_attempts_precede_returning_requests() {
    harness.add_busy_engine();
    harness.send_request("/chat/1", "wrong",
                         milliseconds(4500));  // Without a service, its stated time is ignored.
    CPPUNIT_ASSERT_EQUAL(401, harness.refusal_status());
    const RequestNumber returning = harness.send_request("/chat/1", "key-1", milliseconds(4500));
    harness.now += milliseconds(5);
    const RequestNumber first = harness.send_request("/chat/1");
    harness.report_load(1, 1, 1);
    harness.advance(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(first, harness.first_action<SendToBackend>()->request);
    harness.report_load(1, 2, 1);  // The report may not include the first request yet.
    harness.advance(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(returning, harness.first_action<SendToBackend>()->request);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderAdmissionTest);

}  // namespace pumicemast
