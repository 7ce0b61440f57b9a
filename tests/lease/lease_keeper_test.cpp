#include "lease/lease_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "support/charts.h"

namespace pumicemast {
namespace {

constexpr Duration kTtl = seconds(5);

LeaseOptions options_of(const std::string& holder) {
  LeaseOptions options;
  options.id = "controller";
  options.holder = holder;
  options.ttl = kTtl;
  return options;
}

/// Stand-in for the lease object in the object API.
struct LeaseObject {
  std::optional<LeaseRecord> record;
  ObjectVersion version = 0;
  bool write(const WriteLease& lease_write) {
    if (lease_write.expected != version) return false;
    record = lease_write.record;
    ++version;
    return true;
  }
  void show_to(LeaseKeeper& keeper, TimePoint now) const {
    keeper.on_record(record ? &*record : nullptr, version, now);
  }
};

}  // namespace

class LeaseKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseKeeperTest);
  CPPUNIT_TEST(takes_a_vacant_lease_and_renews_it);
  CPPUNIT_TEST(waits_the_whole_ttl_after_the_last_change);
  CPPUNIT_TEST(a_paused_holder_stops_by_its_own_clock);
  CPPUNIT_TEST(a_lost_response_is_resolved_by_reading_back);
  CPPUNIT_TEST(the_deadline_counts_from_the_sending_of_the_write);
  CPPUNIT_TEST(never_two_holders_under_random_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void takes_a_vacant_lease_and_renews_it() {
    LeaseKeeper keeper(tests::charts().lease, options_of("a"));
    LeaseObject object;
    CPPUNIT_ASSERT(!keeper.on_tick(at(0)).has_value());  // Nothing is known yet.
    object.show_to(keeper, at(0));
    const auto write = keeper.on_tick(at(10));
    CPPUNIT_ASSERT(write.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, write->record.term);
    CPPUNIT_ASSERT(object.write(*write));
    keeper.on_write_result(WriteOutcome::applied, object.version, at(20));
    CPPUNIT_ASSERT(keeper.holds(at(20)));
    CPPUNIT_ASSERT(!keeper.on_tick(at(1000)).has_value());
    const auto renewal = keeper.on_tick(at(1600));
    CPPUNIT_ASSERT(renewal.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, renewal->record.term);
  }

  void waits_the_whole_ttl_after_the_last_change() {
    LeaseKeeper keeper(tests::charts().lease, options_of("b"));
    const LeaseRecord other{"controller", "a", "a#1", 4, 5000};
    keeper.on_record(&other, 9, at(1000));
    keeper.on_record(&other, 9, at(3000));  // Seen again, not renewed.
    CPPUNIT_ASSERT(!keeper.on_tick(at(5900)).has_value());
    keeper.on_record(&other, 10, at(5950));  // Renewed.
    CPPUNIT_ASSERT(!keeper.on_tick(at(10900)).has_value());
    const auto write = keeper.on_tick(at(10950));
    CPPUNIT_ASSERT(write.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, write->record.term);
    CPPUNIT_ASSERT_EQUAL(ObjectVersion{10}, write->expected);
  }

  void a_paused_holder_stops_by_its_own_clock() {
    LeaseKeeper keeper(tests::charts().lease, options_of("a"));
    take(keeper, at(0));
    CPPUNIT_ASSERT(keeper.holds(at(4400)));
    CPPUNIT_ASSERT(!keeper.holds(at(4600)));
    CPPUNIT_ASSERT(!keeper.on_tick(at(60000)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("FOLLOWING"), keeper.state());
  }

  void a_lost_response_is_resolved_by_reading_back() {
    LeaseKeeper keeper(tests::charts().lease, options_of("a"));
    LeaseObject object;
    object.show_to(keeper, at(0));
    const auto write = keeper.on_tick(at(0));
    CPPUNIT_ASSERT(object.write(*write));
    keeper.on_write_result(WriteOutcome::unknown, 0, at(100));
    CPPUNIT_ASSERT(!keeper.holds(at(100)));
    object.show_to(keeper, at(200));
    CPPUNIT_ASSERT(keeper.holds(at(200)));
    CPPUNIT_ASSERT(!keeper.holds(at(4500)));
  }

  void the_deadline_counts_from_the_sending_of_the_write() {
    LeaseKeeper keeper(tests::charts().lease, options_of("a"));
    LeaseObject object;
    object.show_to(keeper, at(0));
    const auto write = keeper.on_tick(at(0));
    CPPUNIT_ASSERT(object.write(*write));
    keeper.on_write_result(WriteOutcome::applied, object.version, at(4450));  // A slow response.
    CPPUNIT_ASSERT(keeper.holds(at(4450)));
    CPPUNIT_ASSERT(!keeper.holds(at(4500)));
  }

  /// Many candidates, lost responses, delays and pauses: at no time do two hold the lease.
  void never_two_holders_under_random_faults() {
    for (unsigned seed = 1; seed <= 200; ++seed) {
      std::mt19937 random(seed);
      std::vector<LeaseKeeper> keepers;
      for (const char* name : {"a", "b", "c"}) {
        keepers.emplace_back(tests::charts().lease, options_of(name));
      }
      std::vector<std::int64_t> paused_until(keepers.size(), 0);
      LeaseObject object;
      std::uint64_t highest_term = 0;
      for (std::int64_t now_ms = 0; now_ms < 60000; now_ms += 50) {
        std::uint32_t holders = 0;
        for (std::size_t index = 0; index < keepers.size(); ++index) {
          LeaseKeeper& keeper = keepers[index];
          if (keeper.holds(at(now_ms))) ++holders;
          if (now_ms < paused_until[index]) continue;
          if (random() % 200 == 0) paused_until[index] = now_ms + random() % 12000;
          if (random() % 10 == 0) object.show_to(keeper, at(now_ms));
          const auto write = keeper.on_tick(at(now_ms));
          if (!write) continue;
          const unsigned fate = random() % 10;
          const bool arrives = fate != 0;
          const bool applied = arrives && object.write(*write);
          if (applied) {
            CPPUNIT_ASSERT(write->record.term >= highest_term);
            highest_term = write->record.term;
          }
          const WriteOutcome outcome = fate <= 2 ? WriteOutcome::unknown
                                       : applied ? WriteOutcome::applied
                                                 : WriteOutcome::conflict;
          keeper.on_write_result(outcome, object.version, at(now_ms));
        }
        CPPUNIT_ASSERT(holders <= 1);
      }
      CPPUNIT_ASSERT(highest_term >= 1);
    }
  }

 private:
  static TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }
  static void take(LeaseKeeper& keeper, TimePoint now) {
    keeper.on_record(nullptr, 0, now);
    CPPUNIT_ASSERT(keeper.on_tick(now).has_value());
    keeper.on_write_result(WriteOutcome::applied, 1, now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseKeeperTest);

}  // namespace pumicemast
