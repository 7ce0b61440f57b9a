#include "gateway/peers/store_reader_role.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <vector>

namespace pumicemast {

class StoreReaderRoleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReaderRoleTest);
  CPPUNIT_TEST(alone_a_gateway_reads);
  CPPUNIT_TEST(two_of_a_zone_come_to_read);
  CPPUNIT_TEST(a_reader_that_dies_is_replaced_in_time);
  CPPUNIT_TEST(a_reader_that_loses_the_store_is_replaced_at_once);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kGateways = 14;
  TimePoint now = TimePoint(seconds(100));
  std::vector<StoreReaderRole> roles;
  std::set<PeerId> dead;
  std::set<PeerId> without_store;

  /// Every living reader tells the others, as gateways do twice a second.
  void tell() {
    std::vector<bool> reads;
    for (const StoreReaderRole& role : roles) reads.push_back(role.should_read(now));
    for (PeerId teller = 0; teller < roles.size(); ++teller) {
      if (dead.contains(teller)) continue;
      for (PeerId hearer = 0; hearer < roles.size(); ++hearer) {
        const bool claims = reads[teller] && !without_store.contains(teller);
        if (hearer != teller) roles[hearer].on_heard(teller, claims, now);
      }
    }
  }
  std::set<PeerId> readers() const {
    std::set<PeerId> result;
    for (PeerId id = 0; id < roles.size(); ++id) {
      const bool able = !dead.contains(id) && !without_store.contains(id);
      if (able && roles[id].should_read(now)) result.insert(id);
    }
    return result;
  }
  void pass(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now += milliseconds(500);
      tell();
    }
  }

 public:
  void setUp() override {
    for (PeerId id = 0; id < kGateways; ++id) roles.emplace_back(id);
  }

  void alone_a_gateway_reads() {
    CPPUNIT_ASSERT(StoreReaderRole(7).should_read(now));
    CPPUNIT_ASSERT_EQUAL(kGateways, readers().size());
  }

  void two_of_a_zone_come_to_read() {
    pass(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
    const std::set<PeerId> before = readers();
    pass(seconds(20));
    CPPUNIT_ASSERT(before == readers());
  }

  void a_reader_that_dies_is_replaced_in_time() {
    pass(seconds(3));
    dead = readers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dead.size());
    // Configurations are in force within two seconds, also now.
    now += milliseconds(1500);
    CPPUNIT_ASSERT(!readers().empty());
    pass(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
  }

  void a_reader_that_loses_the_store_is_replaced_at_once() {
    pass(seconds(3));
    without_store.insert(*readers().begin());
    tell();
    CPPUNIT_ASSERT(readers().size() >= 2);
    pass(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderRoleTest);

}  // namespace pumicemast
