#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "support/gateway_world.h"

namespace pumicemast {

/// Which requests the forwarder admits, in which order, and how it refuses the others.
class ForwarderAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderAdmissionTest);
  CPPUNIT_TEST(missing_configuration_is_refused_with_503_not_404_or_401);
  CPPUNIT_TEST(unknown_routes_get_404_and_unknown_keys_401);
  CPPUNIT_TEST(stopping_gateway_refuses_with_503);
  CPPUNIT_TEST(most_urgent_waiting_request_is_sent_first);
  CPPUNIT_TEST(request_without_capacity_is_refused_early_with_retry_after);
  CPPUNIT_TEST(refusal_reason_distinguishes_capacity_from_weights);
  CPPUNIT_TEST(simultaneous_refusals_get_different_retry_after);
  CPPUNIT_TEST(returning_request_is_refused_at_once_under_overload);
  CPPUNIT_TEST(returning_request_is_served_when_capacity_is_free);
  CPPUNIT_TEST(first_attempts_precede_returning_requests);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayWorld world;

 public:
  void missing_configuration_is_refused_with_503_not_404_or_401() {
    world.ask("/nowhere/", "wrong");
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
  }

  void unknown_routes_get_404_and_unknown_keys_401() {
    world.configure();
    world.ask("/nowhere/");
    CPPUNIT_ASSERT_EQUAL(404, world.refused_with());
    world.ask("/read/1", "wrong");
    CPPUNIT_ASSERT_EQUAL(401, world.refused_with());
    world.ask("/read/1", "");
    CPPUNIT_ASSERT_EQUAL(401, world.refused_with());
  }

  void stopping_gateway_refuses_with_503() {
    world.add_engines();
    world.forwarder.set_stopping();
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
    CPPUNIT_ASSERT(world.first<SendRefusal>()->reason == RefusalReason::stopping);
  }

  void most_urgent_waiting_request_is_sent_first() {
    FleetConfiguration configuration = tests::GatewayWorld::configuration();
    configuration.tenants.push_back({"urgent", {"key-0"}, 0});
    configuration.routes[0].priority = 5;
    world.forwarder.set_routes(std::make_shared<RouteTable>(configuration));
    world.add_backend("e1", "engines", 1, 1);
    world.report(1, 0, 1, 4);
    world.ask("/chat/1", "key-1");
    const RequestNumber urgent = world.ask("/chat/2", "key-0");
    world.now += milliseconds(10);
    world.report(1, 1, 1, 3);
    world.actions.clear();
    world.forwarder.on_capacity(world.now, world.actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.actions.size());
    CPPUNIT_ASSERT_EQUAL(urgent, world.first<SendToBackend>()->request);
  }

  void request_without_capacity_is_refused_early_with_retry_after() {
    world.add_engines();
    world.report(1, 0, 1, 4);
    world.report(2, 0, 1, 4);
    world.ask("/chat/1");
    CPPUNIT_ASSERT(world.actions.empty());  // It waits for capacity.
    world.tick(milliseconds(100));          // A quarter of the latency goal.
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
    CPPUNIT_ASSERT(world.first<SendRefusal>()->retry_after > Duration::zero());
    CPPUNIT_ASSERT(world.first<SendRefusal>()->retry_after <= seconds(2));
  }

  void refusal_reason_distinguishes_capacity_from_weights() {
    const auto reason = [&] {
      world.ask("/chat/1");
      world.report(1, 0, 1, 4);
      world.report(2, 0, 2, 4);
      world.tick(milliseconds(100));
      return std::string(to_string(world.first<SendRefusal>()->reason));
    };
    world.configure();
    CPPUNIT_ASSERT_EQUAL(std::string("no_backend"), reason());
    world.add_engines();
    world.report(1, 0, 1, 4);
    world.report(2, 0, 2, 4);
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"), reason());
    world.targets.on_named("m", 2, world.now - seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("no_capacity"), reason());
    world.targets.on_named("m", 3, world.now - seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("weights_stale"), reason());
  }

  void simultaneous_refusals_get_different_retry_after() {
    world.add_engines();
    world.report(1, 0, 1, 4);
    world.report(2, 0, 1, 4);
    std::set<std::int64_t> times;
    for (int count = 0; count < 8; ++count) world.ask("/chat/1");
    world.tick(milliseconds(100));
    for (const ForwarderAction& action : world.actions) {
      times.insert(std::get<SendRefusal>(action).retry_after.count());
    }
    CPPUNIT_ASSERT(times.size() > 4);
  }

  void returning_request_is_refused_at_once_under_overload() {
    world.add_busy_engine();
    world.ask("/chat/1");
    world.tick(milliseconds(61));
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
    world.report(1, 1, 1);  // Capacity for one request, kept for first attempts.
    const std::uint64_t first_attempts = world.forwarder.counters().engine_first_attempts;
    world.ask("/chat/1", "key-1", milliseconds(4500));
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.forwarder.counters().yielded);
    CPPUNIT_ASSERT_EQUAL(first_attempts, world.forwarder.counters().engine_first_attempts);
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), world.sent_to());
  }

  void returning_request_is_served_when_capacity_is_free() {
    world.add_busy_engine();
    world.ask("/chat/1");
    world.tick(milliseconds(61));
    CPPUNIT_ASSERT_EQUAL(503, world.refused_with());
    world.now += milliseconds(400);
    world.report(1, 1, 1);
    world.ask("/chat/1", "key-1", milliseconds(4500));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), world.sent_to());
  }

  void first_attempts_precede_returning_requests() {
    world.add_busy_engine();
    world.ask("/chat/1", "wrong",
              milliseconds(4500));  // Without a service, its stated time is ignored.
    CPPUNIT_ASSERT_EQUAL(401, world.refused_with());
    const RequestNumber returning = world.ask("/chat/1", "key-1", milliseconds(4500));
    world.now += milliseconds(5);
    const RequestNumber first = world.ask("/chat/1");
    world.report(1, 1, 1);
    world.tick(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(first, world.first<SendToBackend>()->request);
    world.report(1, 2, 1);  // The report may not include the first request yet.
    world.tick(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(returning, world.first<SendToBackend>()->request);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderAdmissionTest);

}  // namespace pumicemast
