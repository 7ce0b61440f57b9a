#include "gateway/requests/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/slot_harness.h"

namespace pumicemast {

/// Which services order their requests by priority, and how.
class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(routes_of_different_priority_order_a_service);
  CPPUNIT_TEST(priorities_of_tenants_alone_do_not_order_a_service);
  CPPUNIT_TEST(tenants_come_before_routes_in_the_order);
  CPPUNIT_TEST(routes_to_other_services_and_plain_services_do_not_count);
  CPPUNIT_TEST_SUITE_END();

  FleetConfiguration configuration = tests::SlotHarness::configuration(0);
  bool ordered(const std::string& service = "engines") const {
    const RouteTable routes(configuration);
    return routes.priority_level(service, configuration.routes.front(), nullptr).has_value();
  }
  /// The level of a request for a route of this priority by a tenant of this priority, if any.
  int level(int of_route, std::optional<int> of_tenant) const {
    RouteRule route;
    route.priority = of_route;
    const TenantRule tenant{"t", {}, of_tenant};
    return RouteTable(configuration).priority_level("engines", route, &tenant).value();
  }

 public:
  void routes_of_different_priority_order_a_service() {
    CPPUNIT_ASSERT(!ordered());
    configuration.routes.back().priority = 1;
    CPPUNIT_ASSERT(ordered());
    CPPUNIT_ASSERT(!ordered("unknown"));
  }

  // Guards against a change for services that have no order among their routes.
  void priorities_of_tenants_alone_do_not_order_a_service() {
    configuration.tenants.front().priority = 0;
    CPPUNIT_ASSERT(!ordered());
    configuration.tenants.front().priority = 3;
    CPPUNIT_ASSERT(!ordered());
  }

  // Guards against routes that lose their order where every tenant has a priority.
  void tenants_come_before_routes_in_the_order() {
    configuration.routes.front().priority = 2;
    configuration.routes.back().priority = 4;
    configuration.tenants = {{"first", {}, 0}, {"second", {}, 1}};
    CPPUNIT_ASSERT(level(2, 0) < level(4, 0));
    CPPUNIT_ASSERT(level(4, 0) < level(2, 1));
    CPPUNIT_ASSERT(level(2, 1) < level(4, 1));
    CPPUNIT_ASSERT(level(2, 1) < level(2, std::nullopt));
    for (int priority = 0; priority < 20; ++priority) {
      configuration.tenants.push_back({"t" + std::to_string(priority), {}, priority});
    }
    CPPUNIT_ASSERT(level(4, std::nullopt) <= kLeastUrgentPriority);
  }

  void routes_to_other_services_and_plain_services_do_not_count() {
    for (RouteRule& route : configuration.routes) {
      if (route.name == "pay") route.priority = 5;  // To the plain service, beside others of 0.
    }
    CPPUNIT_ASSERT(!ordered());
    CPPUNIT_ASSERT(!ordered("plain"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace pumicemast
