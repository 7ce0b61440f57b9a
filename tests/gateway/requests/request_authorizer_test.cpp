#include "gateway/requests/request_authorizer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "support/gateway_harness.h"

namespace pumicemast {

class RequestAuthorizerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestAuthorizerTest);
  CPPUNIT_TEST(missing_configuration_is_a_temporary_refusal);
  CPPUNIT_TEST(path_without_route_is_not_found);
  CPPUNIT_TEST(key_is_required_except_on_open_routes);
  CPPUNIT_TEST(tenant_priority_overrides_route_priority);
  CPPUNIT_TEST(route_to_unknown_service_is_refused_with_503);
  CPPUNIT_TEST(route_weights_distribute_requests);
  CPPUNIT_TEST_SUITE_END();

  FleetConfiguration configuration = tests::GatewayHarness::configuration();
  RequestAuthorizer authorizer{7};
  RequestMetadata request;

  AuthorizationResult authorize() {
    const RouteTable routes(configuration);
    AuthorizationResult result = authorizer.authorize(&routes, request);
    // Keeps copies of the names: the pointers in the result are invalid once the table is gone.
    route_name = result.route == nullptr ? "" : result.route->name;
    service_name = result.service == nullptr ? "" : result.service->name;
    return result;
  }
  std::string route_name;
  std::string service_name;

 public:
  void setUp() override {
    request.host = "api.example";
    request.target = "/read/1";
    request.api_key = "key-1";
  }

  void missing_configuration_is_a_temporary_refusal() {
    const AuthorizationResult result = authorizer.authorize(nullptr, request);
    CPPUNIT_ASSERT_EQUAL(503, result.refusal->status);
    CPPUNIT_ASSERT(result.refusal->reason == RefusalReason::no_configuration);
  }

  void path_without_route_is_not_found() {
    request.target = "/nowhere/1";
    CPPUNIT_ASSERT_EQUAL(404, authorize().refusal->status);
    request.target = "/read/1";
    request.host = "other.example";
    CPPUNIT_ASSERT_EQUAL(404, authorize().refusal->status);
  }

  void key_is_required_except_on_open_routes() {
    CPPUNIT_ASSERT(!authorize().refusal.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("read"), route_name);
    request.api_key = "unknown";
    CPPUNIT_ASSERT_EQUAL(401, authorize().refusal->status);
    for (RouteRule& route : configuration.routes) route.is_public = true;
    const AuthorizationResult result = authorize();
    CPPUNIT_ASSERT(!result.refusal.has_value());
    CPPUNIT_ASSERT(result.tenant.empty());
  }

  void tenant_priority_overrides_route_priority() {
    for (RouteRule& route : configuration.routes) route.priority = 2;
    CPPUNIT_ASSERT_EQUAL(2, authorize().priority);
    configuration.tenants[0].priority = 0;
    CPPUNIT_ASSERT_EQUAL(0, authorize().priority);
  }

  void route_to_unknown_service_is_refused_with_503() {
    for (RouteRule& route : configuration.routes) route.services = {{"gone", 1}};
    CPPUNIT_ASSERT_EQUAL(503, authorize().refusal->status);
    for (RouteRule& route : configuration.routes) route.services.clear();
    CPPUNIT_ASSERT_EQUAL(503, authorize().refusal->status);
  }

  void route_weights_distribute_requests() {
    for (RouteRule& route : configuration.routes) route.services = {{"plain", 3}, {"engines", 1}};
    std::map<std::string, int> chosen;
    for (int count = 0; count < 4000; ++count) {
      authorize();
      ++chosen[service_name];
    }
    CPPUNIT_ASSERT(chosen["plain"] > 2800 && chosen["plain"] < 3200);
    CPPUNIT_ASSERT_EQUAL(4000, chosen["plain"] + chosen["engines"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAuthorizerTest);

}  // namespace pumicemast
