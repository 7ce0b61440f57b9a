#include "gateway/backends/engine_subset.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "common/hash.h"

namespace pumicemast {
namespace {

constexpr int kZones = 5;
constexpr int kEnginesPerZone = 24;
constexpr int kGateways = 149;

std::string zone_name(int zone) { return "zone-" + std::to_string(zone); }

std::vector<EngineLocation> engines() {
  std::vector<EngineLocation> places;
  places.reserve(static_cast<std::size_t>(kZones) * kEnginesPerZone);
  for (int index = 0; index < kZones * kEnginesPerZone; ++index) {
    places.push_back({{"10.0.0." + std::to_string(index), 80}, zone_name(index % kZones)});
  }
  return places;
}

}  // namespace

class EngineSubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineSubsetTest);
  CPPUNIT_TEST(all_of_the_own_zone_and_some_of_each_other);
  CPPUNIT_TEST(few_engines_are_all_chosen);
  CPPUNIT_TEST(every_engine_is_chosen_by_about_as_many_gateways);
  CPPUNIT_TEST(removing_an_engine_replaces_only_that_engine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void all_of_the_own_zone_and_some_of_each_other() {
    std::map<std::string, int> by_zone;
    for (const EngineLocation& engine : choose_engines(7, zone_name(2), engines())) {
      ++by_zone[engine.zone];
    }
    for (int zone = 0; zone < kZones; ++zone) {
      CPPUNIT_ASSERT_EQUAL(zone == 2 ? kEnginesPerZone : 8, by_zone[zone_name(zone)]);
    }
  }

  void few_engines_are_all_chosen() {
    std::vector<EngineLocation> few = engines();
    few.resize(40);
    CPPUNIT_ASSERT_EQUAL(few.size(), choose_engines(7, "elsewhere", few).size());
  }

  /// With 149 gateways and 120 engines, messages are sent for 8,300 pairs instead of 17,900, and no
  /// engine is selected by only a few gateways.
  void every_engine_is_chosen_by_about_as_many_gateways() {
    std::map<std::string, int> gateways;
    std::size_t pairs = 0;
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      const PeerId id = stable_hash(std::string("g") + std::to_string(gateway));
      for (const EngineLocation& engine :
           choose_engines(id, zone_name(gateway % kZones), engines())) {
        ++gateways[engine.address.to_string()];
        ++pairs;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kZones * kEnginesPerZone}, gateways.size());
    const auto [fewest, most] = std::minmax_element(
        gateways.begin(), gateways.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    CPPUNIT_ASSERT(fewest->second >= 45);
    CPPUNIT_ASSERT(most->second <= 95);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kGateways * (24 + 4 * 8)}, pairs);
  }

  void removing_an_engine_replaces_only_that_engine() {
    const std::vector<EngineLocation> before = choose_engines(7, zone_name(2), engines());
    std::vector<EngineLocation> fewer = engines();
    const auto left = std::find_if(before.begin(), before.end(), [](const EngineLocation& engine) {
      return engine.zone == zone_name(1);
    });
    std::erase(fewer, *left);
    const std::vector<EngineLocation> after = choose_engines(7, zone_name(2), fewer);
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    const auto stays =
        std::count_if(before.begin(), before.end(), [&](const EngineLocation& engine) {
          return std::find(after.begin(), after.end(), engine) != after.end();
        });
    CPPUNIT_ASSERT_EQUAL(before.size() - 1, static_cast<std::size_t>(stays));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSubsetTest);

}  // namespace pumicemast
