#include <cppunit/extensions/HelperMacros.h>

#include "gateway/requests/request_forwarder.h"
#include "support/gateway_harness.h"

namespace pumicemast {

/// Callers' data left the regions that their route or tenant allows, because only the load decided
/// where a request ran: a first choice, a retry or a resumed stream.
class RequestPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPlacementTest);
  CPPUNIT_TEST(each_kind_of_request_runs_in_an_allowed_region_only);
  CPPUNIT_TEST(a_retry_stays_in_the_allowed_region);
  CPPUNIT_TEST(a_resumed_stream_stays_in_the_allowed_region);
  CPPUNIT_TEST(a_waiting_request_does_not_take_room_elsewhere);
  CPPUNIT_TEST(without_a_back_end_in_an_allowed_region_it_is_refused_at_once);
  CPPUNIT_TEST(changed_regions_hold_for_retries_of_requests_in_progress);
  CPPUNIT_TEST(overload_of_one_region_does_not_refuse_callers_of_another);
  CPPUNIT_TEST(an_evacuated_zone_gets_neither_requests_nor_retries);
  CPPUNIT_TEST(a_request_that_runs_in_an_evacuated_zone_continues);
  CPPUNIT_TEST(requests_are_refused_at_once_when_all_their_zones_are_evacuated);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;
  std::uint16_t port = 0;

  void configure(const std::vector<std::string>& route, const std::vector<std::string>& tenant = {},
                 std::uint64_t version = 1) {
    FleetConfiguration configuration = tests::GatewayHarness::configuration(version);
    for (RouteRule& rule : configuration.routes) rule.allowed_regions = route;
    configuration.tenants[0].allowed_regions = tenant;
    harness.forwarder.set_routes(std::make_shared<RouteTable>(configuration));
  }

  void add_backend(const std::string& id, const std::string& service, const std::string& zone,
                   std::uint32_t credit = 4) {
    ++port;
    harness.add_backend(id, service, port, 1);
    BackendRecord record = *harness.pool.record_of(id);
    record.zone = zone;
    record.revision = ++harness.revision;
    harness.pool.on_record(record, harness.now);
    if (service == "engines") harness.report_load(port, credit, 1, 4 - credit);
  }

  /// The gateway's own zone is z1, in region r1.
  void add_two_regions() {
    add_backend("p1", "plain", "z1");
    add_backend("p2", "plain", "z2");
    add_backend("p3", "plain", "z2");
    add_backend("e1", "engines", "z1");
    add_backend("e2", "engines", "z2");
    add_backend("e3", "engines", "z2");
  }

  SendRefusal refusal() const {
    const auto* action = harness.first_action<SendRefusal>();
    CPPUNIT_ASSERT(action != nullptr);
    return action == nullptr ? SendRefusal{} : *action;
  }

 public:
  void each_kind_of_request_runs_in_an_allowed_region_only() {
    add_two_regions();
    for (const char* path : {"/chat/1", "/write/1", "/pay/1", "/read/1"}) {
      for (int round = 0; round < 3; ++round) {
        configure({"r2"});
        harness.send_request(path);
        CPPUNIT_ASSERT(harness.sent_to().ends_with("2") || harness.sent_to().ends_with("3"));
        configure({}, {"r1"});
        harness.send_request(path);
        CPPUNIT_ASSERT(harness.sent_to().ends_with("1"));
      }
    }
  }

  void a_retry_stays_in_the_allowed_region() {
    configure({"r2"});
    add_two_regions();
    const RequestNumber request = harness.send_request("/read/1");
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(harness.sent_to() == "p2" || harness.sent_to() == "p3");
    const RequestNumber alone = harness.send_request("/write/1");
    harness.pool.on_departure({{"p2"}, ++harness.revision, true}, harness.now);
    harness.pool.on_departure({{"p3"}, ++harness.revision, true}, harness.now);
    harness.fail_attempt(alone, AttemptFailure::not_sent);
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
  }

  void a_resumed_stream_stays_in_the_allowed_region() {
    configure({"r1"});
    add_two_regions();
    const RequestNumber request = harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    CPPUNIT_ASSERT(harness.first_action<AbortResponse>() != nullptr);
  }

  void a_waiting_request_does_not_take_room_elsewhere() {
    configure({"r2"});
    add_backend("e1", "engines", "z1", 4);
    add_backend("e2", "engines", "z2", 0);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    harness.report_load(2, 1, 1, 3);
    harness.advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
  }

  void without_a_back_end_in_an_allowed_region_it_is_refused_at_once() {
    add_backend("p1", "plain", "z1");
    configure({"r2"});
    harness.send_request("/read/1");
    CPPUNIT_ASSERT_EQUAL(503, refusal().status);
    CPPUNIT_ASSERT(refusal().reason == RefusalReason::region_not_allowed);
    CPPUNIT_ASSERT(refusal().retry_after > Duration::zero());
    configure({"r1"}, {"r2"});  // The route and the tenant have no region in common.
    harness.send_request("/read/1");
    CPPUNIT_ASSERT(refusal().reason == RefusalReason::region_not_allowed);
    configure({"r1"}, {"r1"});
    harness.send_request("/read/1");
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.sent_to());
  }

  void changed_regions_hold_for_retries_of_requests_in_progress() {
    configure({"r2"});
    add_two_regions();
    const RequestNumber request = harness.send_request("/read/1");
    configure({"r1"}, {}, 2);
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), harness.sent_to());
  }

  void overload_of_one_region_does_not_refuse_callers_of_another() {
    add_backend("e1", "engines", "z1", 4);
    add_backend("e2", "engines", "z2", 0);
    configure({"r1"});
    // Teaches the gateway the callers' timeout.
    for (int count = 0; count < 30; ++count) {
      const RequestNumber request = harness.send_request("/chat/1");
      harness.forwarder.on_caller_gone(request, harness.now, harness.actions);
    }
    harness.now += seconds(1);
    harness.report_load(1, 4, 1);
    configure({"r2"}, {}, 2);
    harness.send_request("/chat/1");
    harness.advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());  // Region r2 is full.
    configure({"r1"}, {}, 3);
    // A returning caller, who has to yield while its region is overloaded.
    harness.send_request("/chat/1", "key-1", milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
  }

  void an_evacuated_zone_gets_neither_requests_nor_retries() {
    configure({});
    add_two_regions();
    harness.pool.placement().evacuations().apply({1, {"z2"}}, TimePoint{});
    for (const char* path : {"/chat/1", "/write/1", "/read/1"}) {
      harness.send_request(path);
      CPPUNIT_ASSERT(harness.sent_to().ends_with("1"));
    }
    const RequestNumber request = harness.send_request("/read/1");
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
  }

  void a_request_that_runs_in_an_evacuated_zone_continues() {
    configure({"r2"});
    add_two_regions();
    const RequestNumber request = harness.send_request("/chat/1");
    harness.pool.placement().evacuations().apply({1, {"z2"}}, TimePoint{});
    harness.advance(milliseconds(50));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.receive_head(request, 200, false, true);
    harness.receive_body(request, "id: 1\ndata: a\n\n");
    CPPUNIT_ASSERT(harness.first_action<RelayBody>() != nullptr);
  }

  void requests_are_refused_at_once_when_all_their_zones_are_evacuated() {
    configure({});
    add_two_regions();
    harness.pool.placement().evacuations().apply({1, {"z1", "z2"}}, TimePoint{});
    for (const char* path : {"/chat/1", "/write/1", "/read/1"}) {
      harness.send_request(path);
      CPPUNIT_ASSERT_EQUAL(503, refusal().status);
      CPPUNIT_ASSERT(refusal().reason == RefusalReason::zone_evacuated);
      CPPUNIT_ASSERT(refusal().retry_after > Duration::zero());
    }
    harness.pool.placement().evacuations().apply({2, {"z1"}}, TimePoint{});
    harness.send_request("/read/1");
    CPPUNIT_ASSERT(!harness.sent_to().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPlacementTest);

}  // namespace pumicemast
