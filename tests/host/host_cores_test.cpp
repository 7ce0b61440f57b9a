#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "host/download/link_window.h"
#include "host/staging/start_schedule.h"

namespace pumicemast {

/// Decision cores of the host agent: the start schedule and the link window.
class HostCoresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostCoresTest);
  CPPUNIT_TEST(starts_are_spread_and_end_before_the_changeover);
  CPPUNIT_TEST(a_late_engine_starts_at_once);
  CPPUNIT_TEST(gateways_get_notice_unless_it_delays_the_last_start);
  CPPUNIT_TEST(an_engine_with_expired_weights_does_not_wait_for_its_start);
  CPPUNIT_TEST(an_unmeasured_link_is_assumed_to_be_narrow);
  CPPUNIT_TEST(a_narrow_link_carries_one_chunk_at_a_time);
  CPPUNIT_TEST(a_link_that_recovers_is_used_again);
  CPPUNIT_TEST(a_narrow_link_stays_narrow_when_single_chunks_pass);
  CPPUNIT_TEST_SUITE_END();

 public:
  void starts_are_spread_and_end_before_the_changeover() {
    std::vector<PeerId> agents;
    for (PeerId id = 1; id <= 20; ++id) agents.push_back(id * 7919);
    const TimePoint named(seconds(100));
    const TimePoint now = named + seconds(2);  // Before the first scheduled start.
    StartScheduleOptions options;
    options.notice = Duration::zero();
    std::set<TimePoint> starts;
    for (const PeerId agent : agents) {
      const TimePoint start = scheduled_start(agent, agents, 2, named, now, options);
      CPPUNIT_ASSERT(start >= now);
      // Gateways send no requests to older weights from 7 s on.
      CPPUNIT_ASSERT(start < named + milliseconds(6900));
      starts.insert(start);
    }
    CPPUNIT_ASSERT_EQUAL(agents.size(), starts.size());
    // An engine whose scheduled time has passed starts at once; the others keep their time.
    const TimePoint later = named + seconds(4);
    for (const PeerId agent : agents) {
      const TimePoint start = scheduled_start(agent, agents, 2, named, now, options);
      CPPUNIT_ASSERT(scheduled_start(agent, agents, 2, named, later, options) ==
                     std::max(start, later));
    }
  }

  void a_late_engine_starts_at_once() {
    const TimePoint named(seconds(100));
    const TimePoint now = named + seconds(7);
    CPPUNIT_ASSERT(scheduled_start(5, {1, 2, 5}, 2, named, now, {}) == now);
  }

  void gateways_get_notice_unless_it_delays_the_last_start() {
    const TimePoint named(seconds(100));
    StartScheduleOptions options;
    options.notice = milliseconds(600);
    // The scheduled time of the only agent has passed.
    const TimePoint early = named + seconds(5);
    CPPUNIT_ASSERT(scheduled_start(5, {5}, 2, named, early, options) == early + milliseconds(600));
    const TimePoint late = named + milliseconds(6700);
    const TimePoint start = scheduled_start(5, {5}, 2, named, late, options);
    CPPUNIT_ASSERT(start >= late && start <= named + milliseconds(6880));
  }

  void an_engine_with_expired_weights_does_not_wait_for_its_start() {
    std::vector<PeerId> agents;
    for (PeerId id = 1; id <= 20; ++id) agents.push_back(id * 7919);
    const TimePoint named(seconds(103));
    const TimePoint now = named + milliseconds(4500);
    StartScheduleOptions options;
    // The engine serves version 1; version 2 was named 3 s before 3 and was dropped.
    options.first_newer_named_at = named - seconds(3);
    for (const PeerId agent : agents) {
      CPPUNIT_ASSERT(scheduled_start(agent, agents, 3, named, now, options) == now);
    }
  }

  void an_unmeasured_link_is_assumed_to_be_narrow() {
    LinkWindow window(4);
    CPPUNIT_ASSERT_EQUAL(2U, window.limit(Duration::zero()));
    window.on_completed(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(4U, window.limit(Duration::zero()));
  }

  void a_narrow_link_carries_one_chunk_at_a_time() {
    LinkWindow window(4);
    window.on_completed(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1U, window.limit(milliseconds(700)));  // The oldest exchange is slow.
    for (int exchange = 0; exchange < 20; ++exchange) window.on_completed(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(1U, window.limit(Duration::zero()));
  }

  void a_link_that_recovers_is_used_again() {
    LinkWindow window(4);
    window.on_completed(milliseconds(900));
    for (int exchange = 0; exchange < 20; ++exchange) window.on_completed(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(4U, window.limit(Duration::zero()));
  }

  /// At an eighth of the usual rate a single chunk takes 215 ms, and ten at once delay requests by
  /// 2 s.
  void a_narrow_link_stays_narrow_when_single_chunks_pass() {
    LinkWindow window(10);
    for (int exchange = 0; exchange < 3; ++exchange) window.on_completed(milliseconds(1000));
    for (int exchange = 0; exchange < 20; ++exchange) {
      window.on_completed(milliseconds(215));
      CPPUNIT_ASSERT_EQUAL(1U, window.limit(milliseconds(100)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostCoresTest);

}  // namespace pumicemast
