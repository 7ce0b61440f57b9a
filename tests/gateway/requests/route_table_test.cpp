#include "gateway/requests/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/slot_harness.h"

namespace pumicemast {

/// Which services order their requests by priority.
class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(routes_of_different_priority_order_a_service);
  CPPUNIT_TEST(a_tenants_own_priority_orders_a_service_only_if_it_differs);
  CPPUNIT_TEST(routes_to_other_services_and_plain_services_do_not_count);
  CPPUNIT_TEST_SUITE_END();

  FleetConfiguration configuration = tests::SlotHarness::configuration(0);
  bool ordered(const std::string& service = "engines") const {
    return RouteTable(configuration).orders_by_priority(service);
  }

 public:
  void routes_of_different_priority_order_a_service() {
    CPPUNIT_ASSERT(!ordered());
    configuration.routes.back().priority = 1;
    CPPUNIT_ASSERT(ordered());
    CPPUNIT_ASSERT(!ordered("unknown"));
  }

  void a_tenants_own_priority_orders_a_service_only_if_it_differs() {
    configuration.tenants.front().priority = 0;
    CPPUNIT_ASSERT(!ordered());
    configuration.tenants.front().priority = 3;
    CPPUNIT_ASSERT(ordered());
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
