#include "gateway/requests/request_authorizer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "support/gateway_world.h"

namespace pumicemast {

class RequestAuthorizerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestAuthorizerTest);
  CPPUNIT_TEST(without_a_configuration_nothing_is_denied_for_good);
  CPPUNIT_TEST(a_path_without_route_is_not_found);
  CPPUNIT_TEST(a_key_is_needed_but_on_open_routes);
  CPPUNIT_TEST(a_tenants_priority_goes_before_the_routes);
  CPPUNIT_TEST(a_route_to_an_unknown_service_is_refused_as_not_run);
  CPPUNIT_TEST(weights_share_out_the_requests_of_a_route);
  CPPUNIT_TEST_SUITE_END();

  FleetConfiguration configuration = tests::GatewayWorld::configuration();
  RequestAuthorizer authorizer{7};
  RequestFacts request;

  RequestGrant authorize() {
    const RouteTable routes(configuration);
    RequestGrant grant = authorizer.authorize(&routes, request);
    // The table ends here: only names are compared afterwards.
    route_name = grant.route == nullptr ? "" : grant.route->name;
    service_name = grant.service == nullptr ? "" : grant.service->name;
    return grant;
  }
  std::string route_name;
  std::string service_name;

 public:
  void setUp() override {
    request.host = "api.example";
    request.target = "/read/1";
    request.api_key = "key-1";
  }

  void without_a_configuration_nothing_is_denied_for_good() {
    const RequestGrant grant = authorizer.authorize(nullptr, request);
    CPPUNIT_ASSERT_EQUAL(503, grant.refusal->status);
    CPPUNIT_ASSERT(grant.refusal->reason == RefusalReason::no_configuration);
  }

  void a_path_without_route_is_not_found() {
    request.target = "/nowhere/1";
    CPPUNIT_ASSERT_EQUAL(404, authorize().refusal->status);
    request.target = "/read/1";
    request.host = "other.example";
    CPPUNIT_ASSERT_EQUAL(404, authorize().refusal->status);
  }

  void a_key_is_needed_but_on_open_routes() {
    CPPUNIT_ASSERT(!authorize().refusal.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("read"), route_name);
    request.api_key = "unknown";
    CPPUNIT_ASSERT_EQUAL(401, authorize().refusal->status);
    for (RouteRule& route : configuration.routes) route.is_public = true;
    const RequestGrant grant = authorize();
    CPPUNIT_ASSERT(!grant.refusal.has_value());
    CPPUNIT_ASSERT(grant.tenant.empty());
  }

  void a_tenants_priority_goes_before_the_routes() {
    for (RouteRule& route : configuration.routes) route.priority = 2;
    CPPUNIT_ASSERT_EQUAL(2, authorize().priority);
    configuration.tenants[0].priority = 0;
    CPPUNIT_ASSERT_EQUAL(0, authorize().priority);
  }

  void a_route_to_an_unknown_service_is_refused_as_not_run() {
    for (RouteRule& route : configuration.routes) route.services = {{"gone", 1}};
    CPPUNIT_ASSERT_EQUAL(503, authorize().refusal->status);
    for (RouteRule& route : configuration.routes) route.services.clear();
    CPPUNIT_ASSERT_EQUAL(503, authorize().refusal->status);
  }

  void weights_share_out_the_requests_of_a_route() {
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
