#include <cppunit/extensions/HelperMacros.h>

#include "swarm/response_times.h"
#include "swarm/starvation_detector.h"

namespace pumicemast {

/// Timeouts of chunk requests and detection of starvation.
class SwarmTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwarmTimesTest);
  CPPUNIT_TEST(the_timeout_follows_the_average_response_time_within_limits);
  CPPUNIT_TEST(failures_lengthen_the_timeout_until_something_arrives);
  CPPUNIT_TEST(the_end_game_timeout_is_shorter);
  CPPUNIT_TEST(starvation_follows_the_average_gap);
  CPPUNIT_TEST(an_outage_does_not_change_the_average_gap);
  CPPUNIT_TEST_SUITE_END();

  ResponseTimes times{{seconds(10), seconds(1), seconds(60)}};
  TimePoint now{seconds(100)};

 public:
  void the_timeout_follows_the_average_response_time_within_limits() {
    CPPUNIT_ASSERT(times.timeout() == seconds(10));
    times.on_response(milliseconds(500));
    CPPUNIT_ASSERT(times.timeout() == seconds(3));
    ResponseTimes quick{{seconds(10), seconds(1), seconds(60)}};
    quick.on_response(milliseconds(5));
    CPPUNIT_ASSERT(quick.timeout() == seconds(1));
    ResponseTimes slow{{seconds(10), seconds(1), seconds(60)}};
    slow.on_response(seconds(50));
    CPPUNIT_ASSERT(slow.timeout() == seconds(60));
  }

  void failures_lengthen_the_timeout_until_something_arrives() {
    times.on_response(milliseconds(500));
    times.on_timeout();
    CPPUNIT_ASSERT(times.timeout() == seconds(6));
    times.on_timeout();
    CPPUNIT_ASSERT(times.timeout() == seconds(12));
    times.on_arrival();
    CPPUNIT_ASSERT(times.timeout() == seconds(6));
  }

  void the_end_game_timeout_is_shorter() {
    times.on_response(milliseconds(500));
    CPPUNIT_ASSERT(times.end_game_timeout() == milliseconds(1500));
  }

  void starvation_follows_the_average_gap() {
    StarvationDetector detector(seconds(1));
    detector.restart(now);
    CPPUNIT_ASSERT(!detector.starved(now + milliseconds(3999)));  // The first may be slow.
    CPPUNIT_ASSERT(detector.starved(now + seconds(4)));
    now += milliseconds(500);
    detector.on_chunk_appeared(now);
    CPPUNIT_ASSERT(detector.takeover_interval() == seconds(8));  // Sixteen average gaps.
    CPPUNIT_ASSERT(!detector.starved(now + seconds(7)));
  }

  void an_outage_does_not_change_the_average_gap() {
    StarvationDetector detector(seconds(1));
    detector.restart(now);
    detector.on_chunk_appeared(now + milliseconds(100));
    const Duration before = detector.takeover_interval();
    detector.on_takeover(now + seconds(20));
    detector.on_chunk_appeared(now + seconds(40));
    CPPUNIT_ASSERT(detector.takeover_interval() == before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwarmTimesTest);

}  // namespace pumicemast
