#include "gateway/backends/remote_demand.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {

/// In a fleet whose zones had room, reports of other zones' engines made up most of 1 GB between
/// regions in a minute, and took nearly a tenth of the callers' worth in cost.
class RemoteDemandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemoteDemandTest);
  CPPUNIT_TEST(remote_engines_stand_by_while_the_own_zone_has_room);
  CPPUNIT_TEST(more_arriving_requests_need_more_room);
  CPPUNIT_TEST(requests_that_may_not_run_here_always_need_them);
  CPPUNIT_TEST(the_service_with_the_least_room_counts);
  CPPUNIT_TEST(engines_that_stand_by_are_not_taken_for_silent_ones);
  CPPUNIT_TEST(a_request_without_a_back_end_is_noted_once);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;
  RemoteDemand demand;
  TimePoint now = TimePoint(seconds(100));

  void add_engine(const std::string& id, std::uint16_t port, const std::string& zone,
                  std::uint32_t credit) {
    harness.add_backend(id, "engines", port, 1);
    BackendRecord record = *harness.pool.record_of(id);
    record.zone = zone;
    record.revision = ++harness.revision;
    harness.pool.on_record(record);
    harness.report_load(port, credit, 1);
  }

 public:
  void remote_engines_stand_by_while_the_own_zone_has_room() {
    demand.on_own_zone_credits(5, 0, now);
    CPPUNIT_ASSERT(!demand.needed(now));
    demand.on_own_zone_credits(0, 0, now);
    CPPUNIT_ASSERT(demand.needed(now));
    demand.on_own_zone_credits(5, 0, now + seconds(1));
    CPPUNIT_ASSERT(demand.needed(now + seconds(1)) && !demand.needed(now + seconds(2)));
    demand.on_unmet_request(now + seconds(3));
    CPPUNIT_ASSERT(demand.needed(now + seconds(3)));
  }

  void more_arriving_requests_need_more_room() {
    demand.on_own_zone_credits(2, 5, now);
    CPPUNIT_ASSERT(!demand.needed(now));
    demand.on_own_zone_credits(2, 20, now);
    CPPUNIT_ASSERT(demand.needed(now));
  }

  void requests_that_may_not_run_here_always_need_them() {
    demand.set_required(true);
    demand.on_own_zone_credits(50, 0, now);
    CPPUNIT_ASSERT(demand.needed(now));
  }

  void the_service_with_the_least_room_counts() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, harness.pool.own_zone_credits(harness.now));
    add_engine("e1", 1, "z1", 3);
    add_engine("e2", 2, "z2", 4);
    harness.pool.set_subscribed_engines({{"127.0.0.1", 1}, {"127.0.0.1", 2}});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, harness.pool.own_zone_credits(harness.now));
    harness.pool.on_sent("e1", 100, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, harness.pool.own_zone_credits(harness.now));
    harness.pool.placement().evacuations().apply({1, {"z1"}});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, harness.pool.own_zone_credits(harness.now));
    harness.pool.placement().evacuations().apply({2, {}});
    // A service all of whose engines are in other zones.
    harness.add_backend("f1", "others", 3, 1);
    BackendRecord record = *harness.pool.record_of("f1");
    record.zone = "z2";
    record.revision = ++harness.revision;
    harness.pool.on_record(record);
    harness.pool.set_subscribed_engines({{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, harness.pool.own_zone_credits(harness.now));
  }

  void engines_that_stand_by_are_not_taken_for_silent_ones() {
    harness.configure();
    add_engine("e1", 1, "z1", 4);
    for (std::uint16_t port = 2; port <= 4; ++port)
      add_engine("e" + std::to_string(port), port, "z2", 4);
    harness.now += seconds(2);
    harness.report_load(1, 4, 1);
    harness.pool.set_remote_standby(true, harness.now);
    for (int count = 0; count < 4; ++count) {
      harness.send_request("/chat/1");
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
    }
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());  // Not by a guess to an unknown load.
    // After a standby the reports of the others are not missed at once.
    harness.pool.set_remote_standby(false, harness.now);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    harness.report_load(2, 4, 1);
    harness.advance(milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
  }

  void a_request_without_a_back_end_is_noted_once() {
    harness.configure();
    add_engine("e1", 1, "z1", 0);
    CPPUNIT_ASSERT(!harness.pool.take_unmet_request());
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT(harness.pool.take_unmet_request() && !harness.pool.take_unmet_request());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemoteDemandTest);

}  // namespace pumicemast
