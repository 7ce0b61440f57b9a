#include "routing/router.h"

#include <cppunit/extensions/HelperMacros.h>

#include "routing/wait_queue.h"
#include "support/backends.h"

namespace pumicemast {

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(prefers_its_zone_then_its_region);
  CPPUNIT_TEST(spills_over_when_nearer_back_ends_are_full);
  CPPUNIT_TEST(keeps_a_prefix_at_one_back_end_unless_it_is_busier);
  CPPUNIT_TEST(gives_no_work_to_leaving_stopping_silent_or_draining_back_ends);
  CPPUNIT_TEST(counts_its_own_requests_since_the_last_report);
  CPPUNIT_TEST(routes_to_services_and_to_a_pinned_version);
  CPPUNIT_TEST(wait_queue_is_fair_between_tenants_and_obeys_priority);
  CPPUNIT_TEST_SUITE_END();

 public:
  void prefers_its_zone_then_its_region() {
    add("far", "z9", "r9");
    add("region", "z2", "r1");
    CPPUNIT_ASSERT_EQUAL(std::string("region"), choose());
    add("zone", "z1", "r1", 5);
    CPPUNIT_ASSERT_EQUAL(std::string("zone"), choose());
  }

  void spills_over_when_nearer_back_ends_are_full() {
    add("zone", "z1", "r1", 9);
    add("region", "z2", "r1", 0);
    CPPUNIT_ASSERT_EQUAL(std::string("region"), choose());
    add("zone", "z1", "r1", 10);
    add("region", "z2", "r1", 10);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void keeps_a_prefix_at_one_back_end_unless_it_is_busier() {
    for (const char* name : {"a", "b", "c"}) add(name, "z1", "r1");
    requirements_.affinity = 77;
    const std::string preferred = choose();
    CPPUNIT_ASSERT_EQUAL(preferred, choose());
    add(preferred, "z1", "r1", 4);
    CPPUNIT_ASSERT_EQUAL(preferred, choose());
    add(preferred, "z1", "r1", 5);
    CPPUNIT_ASSERT(preferred != choose());
  }

  void gives_no_work_to_leaving_stopping_silent_or_draining_back_ends() {
    add("a", "z1", "r1");
    directory_.on_machine_list({"a"});
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    directory_.on_machine_list({});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choose());
    directory_.on_planned_stops({"a"});
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    directory_.on_planned_stops({});
    now_ += seconds(4);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    BackendStatus draining = tests::serving("forms", "v1");
    draining.draining = true;
    directory_.on_status("a", draining, now_);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    directory_.on_status("a", tests::serving("forms", "v1", "SWITCHING"), now_);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void counts_its_own_requests_since_the_last_report() {
    add("a", "z1", "r1", 0);
    add("b", "z1", "r1", 1);
    directory_.on_submitted("a");
    directory_.on_submitted("a");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), choose());
    directory_.on_finished("a");
    directory_.on_finished("a");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), choose());
    // Requests of this entry that a report includes must not be counted twice.
    directory_.on_submitted("a");
    add("a", "z1", "r1", 1);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, directory_.find("a")->estimated_in_flight());
  }

  void routes_to_services_and_to_a_pinned_version() {
    BackendHello service = tests::hello("s");
    service.is_engine = false;
    service.service = "notices";
    directory_.on_hello(service, now_);
    BackendStatus status;
    status.queue_limit = 1;
    directory_.on_status("s", status, now_);
    requirements_ = {"", "notices", "", 0};
    CPPUNIT_ASSERT_EQUAL(std::string("s"), choose());
    add("old", "z1", "r1");
    requirements_ = {"forms", "", "digest-v2", 0};
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    directory_.on_status("old", tests::serving("forms", "v2"), now_);
    CPPUNIT_ASSERT_EQUAL(std::string("old"), choose());
  }

  void wait_queue_is_fair_between_tenants_and_obeys_priority() {
    WaitQueue queue;
    for (std::uint64_t request = 1; request <= 5; ++request) queue.push(request, "greedy", 0);
    queue.push(6, "modest", 0);
    queue.push(7, "urgent", 1);
    const std::vector<std::uint64_t> expected{7, 1, 6, 2, 3, 4, 5};
    CPPUNIT_ASSERT(expected == queue.in_order());
    queue.remove(1, true);
    queue.push(8, "modest", 0);
    const std::vector<std::uint64_t> after{7, 6, 2, 8, 3, 4, 5};
    CPPUNIT_ASSERT(after == queue.in_order());
  }

 private:
  void add(const std::string& name, const std::string& zone, const std::string& region,
           std::uint32_t in_flight = 0) {
    if (directory_.find(name) == nullptr)
      directory_.on_hello(tests::hello(name, zone, region), now_);
    directory_.on_status(name, tests::serving("forms", "v1", "LIVE", in_flight), now_);
  }
  std::string choose() {
    const Router router(directory_, {{"r1", "z1"}});
    const auto choice = router.choose(requirements_, {}, now_);
    return choice ? choice->machine : "";
  }

  TimePoint now_{seconds(1)};
  BackendDirectory directory_{seconds(3)};
  RoutingRequirements requirements_{"forms", "", "", 0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace pumicemast
