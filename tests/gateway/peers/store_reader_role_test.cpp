#include "gateway/peers/store_reader_role.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <vector>

namespace pumicemast {

class StoreReaderRoleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReaderRoleTest);
  CPPUNIT_TEST(a_gateway_alone_reads);
  CPPUNIT_TEST(two_gateways_of_a_zone_settle_as_readers);
  CPPUNIT_TEST(a_reader_that_dies_is_replaced_in_time);
  CPPUNIT_TEST(a_reader_that_loses_the_store_is_replaced_at_once);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kGateways = 14;
  TimePoint now = TimePoint(seconds(100));
  std::vector<StoreReaderRole> roles;
  std::set<PeerId> dead;
  std::set<PeerId> without_store;

  /// Every live gateway advertises its status to the others, as gateways do twice a second.
  void exchange_statuses() {
    std::vector<bool> reads;
    for (const StoreReaderRole& role : roles) reads.push_back(role.should_read(now));
    for (PeerId sender = 0; sender < roles.size(); ++sender) {
      if (dead.contains(sender)) continue;
      for (PeerId receiver = 0; receiver < roles.size(); ++receiver) {
        const bool sender_reads = reads[sender] && !without_store.contains(sender);
        if (receiver != sender) roles[receiver].on_reader_status(sender, sender_reads, now);
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
  void advance(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now += milliseconds(500);
      exchange_statuses();
    }
  }

 public:
  void setUp() override {
    for (PeerId id = 0; id < kGateways; ++id) roles.emplace_back(id);
  }

  void a_gateway_alone_reads() {
    CPPUNIT_ASSERT(StoreReaderRole(7).should_read(now));
    CPPUNIT_ASSERT_EQUAL(kGateways, readers().size());
  }

  void two_gateways_of_a_zone_settle_as_readers() {
    advance(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
    const std::set<PeerId> before = readers();
    advance(seconds(20));
    CPPUNIT_ASSERT(before == readers());
  }

  void a_reader_that_dies_is_replaced_in_time() {
    advance(seconds(3));
    dead = readers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dead.size());
    // Configurations must be in force within two seconds even when both readers fail.
    now += milliseconds(1500);
    CPPUNIT_ASSERT(!readers().empty());
    advance(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
  }

  void a_reader_that_loses_the_store_is_replaced_at_once() {
    advance(seconds(3));
    without_store.insert(*readers().begin());
    exchange_statuses();
    CPPUNIT_ASSERT(readers().size() >= 2);
    advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readers().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderRoleTest);

}  // namespace pumicemast
