#include "common/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "common/clock.h"
#include "support/suspended_clock.h"

namespace pumicemast {

using tests::suspend_machine;

class EventLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(time_runs_on_while_the_machine_is_suspended);
  CPPUNIT_TEST(timers_due_during_a_suspension_fire_soon_after);
  CPPUNIT_TEST(timers_due_later_fire_on_time);
  CPPUNIT_TEST(a_repeating_timer_fires_once_for_a_suspension);
  CPPUNIT_TEST(small_clock_differences_are_no_suspension);
  CPPUNIT_TEST_SUITE_END();

 public:
  void time_runs_on_while_the_machine_is_suspended() {
    const TimePoint before = loop_now();
    suspend_machine(seconds(7));
    CPPUNIT_ASSERT(loop_now() - before >= seconds(7));
    CPPUNIT_ASSERT(loop_now() - before < seconds(8));
  }

  // On CLOCK_MONOTONIC alone the timer would fire 60 s later.
  void timers_due_during_a_suspension_fire_soon_after() {
    Timer tick;
    Timer timeout;
    bool fired = false;
    tick.start_repeating(kTick, [] {});
    timeout.start_once(seconds(60), [&] { fired = true; });
    run_for(kTick * 3);
    CPPUNIT_ASSERT(!fired);
    suspend_machine(seconds(61));
    run_for(kTick * 10);
    CPPUNIT_ASSERT(fired);
  }

  void timers_due_later_fire_on_time() {
    Timer tick;
    Timer timeout;
    bool fired = false;
    const TimePoint due = loop_now() + seconds(60) + kTick * 20;
    tick.start_repeating(kTick, [] {});
    timeout.start_once(due - loop_now(), [&] { fired = true; });
    suspend_machine(seconds(60));
    run_for(kTick * 5);
    CPPUNIT_ASSERT(!fired);
    while (!fired) g_main_context_iteration(nullptr, TRUE);
    CPPUNIT_ASSERT(loop_now() >= due - milliseconds(20));
    CPPUNIT_ASSERT(loop_now() < due + seconds(1));
  }

  void a_repeating_timer_fires_once_for_a_suspension() {
    Timer tick;
    Timer slow;
    int fired = 0;
    tick.start_repeating(kTick, [] {});
    slow.start_repeating(seconds(2), [&] { ++fired; });
    run_for(kTick);
    suspend_machine(seconds(20));
    run_for(kTick * 10);
    CPPUNIT_ASSERT_EQUAL(1, fired);
  }

  void small_clock_differences_are_no_suspension() {
    TimePoint now{seconds(100)};
    SuspensionDetector detector({now, now});
    CPPUNIT_ASSERT(detector.on_reading({now + milliseconds(5), now}) == Duration::zero());
    CPPUNIT_ASSERT(detector.on_reading({now + seconds(3), now}) == seconds(3));
    CPPUNIT_ASSERT(detector.on_reading({now + seconds(5), now + seconds(2)}) == Duration::zero());
    // Differences below the minimum add up until they exceed it.
    CPPUNIT_ASSERT(detector.on_reading({now + milliseconds(5015), now + seconds(2)}) ==
                   Duration::zero());
    CPPUNIT_ASSERT(detector.on_reading({now + milliseconds(5030), now + seconds(2)}) ==
                   milliseconds(30));
  }

 private:
  static constexpr Duration kTick = milliseconds(20);

  /// Runs the loop for `length`, without a suspension.
  static void run_for(Duration length) {
    const TimePoint end = loop_now() + length;
    while (loop_now() < end) g_main_context_iteration(nullptr, FALSE);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

}  // namespace pumicemast
