#include "platform/watch_continuity.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast::platform {

/// Guards against requests that start on outdated weights: a version delivered by the first
/// response after an interruption was taken as named at that moment.
class WatchContinuityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchContinuityTest);
  CPPUNIT_TEST(before_the_first_response_event_age_is_unbounded);
  CPPUNIT_TEST(events_of_an_unbroken_watch_are_new);
  CPPUNIT_TEST(a_failed_connection_worked_until_shortly_before);
  CPPUNIT_TEST(a_timed_out_call_may_have_failed_immediately);
  CPPUNIT_TEST(further_failures_do_not_reduce_event_age);
  CPPUNIT_TEST(after_the_next_response_events_are_new);
  CPPUNIT_TEST_SUITE_END();

 public:
  void before_the_first_response_event_age_is_unbounded() {
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(10)) == Duration::max());
  }

  void events_of_an_unbroken_watch_are_new() {
    watch_.on_answer(at(10));
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(17)) == Duration::zero());
  }

  void a_failed_connection_worked_until_shortly_before() {
    watch_.on_answer(at(10));
    watch_.on_failed(at(17));
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(18)) == seconds(4));
    watch_.on_answer(at(18));
    watch_.on_failed(at(19));  // Not before the time of the last response.
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(20)) == seconds(2));
  }

  void a_timed_out_call_may_have_failed_immediately() {
    watch_.on_answer(at(10));
    watch_.on_lost();
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(19)) == seconds(9));
  }

  void further_failures_do_not_reduce_event_age() {
    watch_.on_answer(at(10));
    watch_.on_lost();
    watch_.on_failed(at(20));
    watch_.on_failed(at(30));
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(30)) == seconds(20));
  }

  void after_the_next_response_events_are_new() {
    watch_.on_answer(at(10));
    watch_.on_lost();
    watch_.on_answer(at(20));
    CPPUNIT_ASSERT(!watch_.broken());
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(25)) == Duration::zero());
  }

 private:
  static TimePoint at(std::int64_t second) { return TimePoint(seconds(second)); }

  WatchContinuity watch_{seconds(3)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchContinuityTest);

}  // namespace pumicemast::platform
