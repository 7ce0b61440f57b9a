#include "platform/watch_continuity.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast::platform {

/// Requests began on old weights beyond their time: a version that the first answer after a loss
/// told was taken as named at that moment.
class WatchContinuityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchContinuityTest);
  CPPUNIT_TEST(before_the_first_answer_news_may_be_of_any_age);
  CPPUNIT_TEST(news_of_an_unbroken_watch_is_new);
  CPPUNIT_TEST(a_connection_that_ends_stood_until_a_little_before);
  CPPUNIT_TEST(a_call_without_an_answer_may_have_been_lost_at_once);
  CPPUNIT_TEST(further_failures_do_not_make_news_younger);
  CPPUNIT_TEST(after_the_next_answer_news_is_new_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  void before_the_first_answer_news_may_be_of_any_age() {
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(10)) == Duration::max());
  }

  void news_of_an_unbroken_watch_is_new() {
    watch_.on_answer(at(10));
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(17)) == Duration::zero());
  }

  void a_connection_that_ends_stood_until_a_little_before() {
    watch_.on_answer(at(10));
    watch_.on_failed(at(17));
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(18)) == seconds(4));
    watch_.on_answer(at(18));
    watch_.on_failed(at(19));  // Not before what the last answer told.
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(20)) == seconds(2));
  }

  void a_call_without_an_answer_may_have_been_lost_at_once() {
    watch_.on_answer(at(10));
    watch_.on_lost();
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(19)) == seconds(9));
  }

  void further_failures_do_not_make_news_younger() {
    watch_.on_answer(at(10));
    watch_.on_lost();
    watch_.on_failed(at(20));
    watch_.on_failed(at(30));
    CPPUNIT_ASSERT(watch_.maximum_event_age(at(30)) == seconds(20));
  }

  void after_the_next_answer_news_is_new_again() {
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
