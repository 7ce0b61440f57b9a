#include "locality/placement_rules.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class PlacementRulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementRulesTest);
  CPPUNIT_TEST(without_restrictions_every_zone_is_allowed);
  CPPUNIT_TEST(a_restriction_excludes_other_regions_and_unknown_zones);
  CPPUNIT_TEST(restrictions_of_route_and_tenant_both_hold);
  CPPUNIT_TEST(disjoint_restrictions_allow_no_zone);
  CPPUNIT_TEST(requests_with_the_same_regions_share_a_capacity_key);
  CPPUNIT_TEST(an_evacuated_zone_is_excluded_until_it_is_taken_back);
  CPPUNIT_TEST(an_older_snapshot_does_not_undo_a_newer_one);
  CPPUNIT_TEST(the_excluded_region_is_stated_before_the_evacuation);
  CPPUNIT_TEST_SUITE_END();

  PlacementRules rules{{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}};

  static AllowedRegions allowed(const std::vector<std::string>& route,
                                const std::vector<std::string>& tenant = {}) {
    AllowedRegions result;
    result.restrict_to(route);
    result.restrict_to(tenant);
    return result;
  }

 public:
  void without_restrictions_every_zone_is_allowed() {
    CPPUNIT_ASSERT(allowed({}).unrestricted());
    for (const char* zone : {"a1", "b1", "unknown"})
      CPPUNIT_ASSERT(rules.allows(zone, allowed({})));
  }

  void a_restriction_excludes_other_regions_and_unknown_zones() {
    CPPUNIT_ASSERT(rules.allows("a1", allowed({"a"})) && rules.allows("a2", allowed({"a"})));
    CPPUNIT_ASSERT(!rules.allows("b1", allowed({"a"})));
    CPPUNIT_ASSERT(!rules.allows("unknown", allowed({"a"})));
  }

  void restrictions_of_route_and_tenant_both_hold() {
    CPPUNIT_ASSERT(!rules.allows("a1", allowed({"a", "b"}, {"b", "c"})));
    CPPUNIT_ASSERT(rules.allows("b1", allowed({"a", "b"}, {"b", "c"})));
    CPPUNIT_ASSERT(rules.allows("b1", allowed({}, {"b"})));
  }

  void disjoint_restrictions_allow_no_zone() {
    for (const char* zone : {"a1", "b1", "unknown"})
      CPPUNIT_ASSERT(!rules.allows(zone, allowed({"a"}, {"b"})));
  }

  void requests_with_the_same_regions_share_a_capacity_key() {
    CPPUNIT_ASSERT_EQUAL(std::string(), allowed({}).key());
    CPPUNIT_ASSERT_EQUAL(allowed({"b", "a"}).key(), allowed({"a", "b"}).key());
    CPPUNIT_ASSERT(allowed({"a"}).key() != allowed({"b"}).key());
    CPPUNIT_ASSERT(!allowed({"a"}, {"b"}).key().empty());
  }

  void an_evacuated_zone_is_excluded_until_it_is_taken_back() {
    CPPUNIT_ASSERT(rules.evacuations().apply({5, {"a1"}}, TimePoint{}));
    CPPUNIT_ASSERT(rules.judge("a1", {}) == ZoneVerdict::evacuated);
    CPPUNIT_ASSERT(rules.allows("a2", allowed({"a"})));
    CPPUNIT_ASSERT(rules.evacuations().apply({9, {}}, TimePoint{}));
    CPPUNIT_ASSERT(rules.allows("a1", {}));
  }

  void an_older_snapshot_does_not_undo_a_newer_one() {
    rules.evacuations().apply({9, {}}, TimePoint{});
    CPPUNIT_ASSERT(!rules.evacuations().apply({5, {"a1"}}, TimePoint{}));
    CPPUNIT_ASSERT(rules.allows("a1", {}));
    // A later snapshot with the same zones is newer, though it changes nothing.
    CPPUNIT_ASSERT(!rules.evacuations().apply({12, {}}, TimePoint{}));
    CPPUNIT_ASSERT(!rules.evacuations().apply({11, {"a1"}}, TimePoint{}));
  }

  void the_excluded_region_is_stated_before_the_evacuation() {
    rules.evacuations().apply({5, {"b1"}}, TimePoint{});
    CPPUNIT_ASSERT(rules.judge("b1", allowed({"a"})) == ZoneVerdict::region_not_allowed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementRulesTest);

}  // namespace pumicemast
