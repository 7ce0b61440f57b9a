#include "admission/retry_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <random>

namespace pumicemast {

class RetryEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryEstimatorTest);
  CPPUNIT_TEST(who_states_the_usual_time_asks_for_the_first_time);
  CPPUNIT_TEST(who_states_less_has_waited_for_the_difference);
  CPPUNIT_TEST(many_that_come_back_do_not_become_usual);
  CPPUNIT_TEST(callers_of_two_patiences_are_told_apart_from_those_that_come_back);
  CPPUNIT_TEST(little_history_tells_nothing);
  CPPUNIT_TEST(a_new_habit_replaces_an_old_one);
  CPPUNIT_TEST(who_was_told_to_come_back_is_known_among_callers_that_state_any_time);
  CPPUNIT_TEST(two_groups_of_callers_that_state_any_time_are_not_taken_for_returning);
  CPPUNIT_TEST(callers_that_never_come_back_make_nobody_return);
  CPPUNIT_TEST_SUITE_END();

  RetryEstimator times;
  std::mt19937 random_{1};

  void note(Duration stated, int count) {
    for (int request = 0; request < count; ++request) times.on_request("chat", stated);
  }
  Duration between(std::int64_t least_ms, std::int64_t most_ms) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(random_));
  }
  /// A first attempt that states any time within a second.
  bool first_is_mistaken(std::int64_t least_ms) {
    const Duration stated = between(least_ms, least_ms + 1000);
    const bool mistaken = times.estimated_wait("chat", stated) > Duration::zero();
    times.on_request("chat", stated);
    return mistaken;
  }
  bool has_waited_about(Duration expected, Duration stated) const {
    const Duration waited = times.estimated_wait("chat", stated);
    return waited >= expected - milliseconds(20) && waited <= expected + milliseconds(20);
  }

 public:
  void who_states_the_usual_time_asks_for_the_first_time() {
    note(milliseconds(5996), 50);
    CPPUNIT_ASSERT(times.estimated_wait("chat", milliseconds(5996)) == Duration::zero());
    CPPUNIT_ASSERT(times.estimated_wait("chat", milliseconds(8000)) == Duration::zero());
  }

  void who_states_less_has_waited_for_the_difference() {
    note(milliseconds(6000), 50);
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1500), milliseconds(4500)));
    CPPUNIT_ASSERT(times.estimated_wait("other", milliseconds(4500)) == Duration::zero());
  }

  void many_that_come_back_do_not_become_usual() {
    for (int round = 0; round < 500; ++round) {
      note(milliseconds(6000), 1);
      note(milliseconds(4000 + round * 2), 1);
    }
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1500), milliseconds(4500)));
  }

  void callers_of_two_patiences_are_told_apart_from_those_that_come_back() {
    note(milliseconds(6000), 70);
    note(milliseconds(3000), 30);
    CPPUNIT_ASSERT(times.estimated_wait("chat", milliseconds(3000)) == Duration::zero());
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1000), milliseconds(2000)));
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1000), milliseconds(5000)));
  }

  void little_history_tells_nothing() {
    note(milliseconds(6000), 5);
    CPPUNIT_ASSERT(times.estimated_wait("chat", milliseconds(4500)) == Duration::zero());
  }

  void a_new_habit_replaces_an_old_one() {
    note(milliseconds(6000), 1000);
    note(milliseconds(3000), 5000);
    CPPUNIT_ASSERT(times.estimated_wait("chat", milliseconds(3000)) == Duration::zero());
    CPPUNIT_ASSERT(times.estimated_wait("chat", milliseconds(4500)) == Duration::zero());
  }

  void who_was_told_to_come_back_is_known_among_callers_that_state_any_time() {
    int mistaken = 0;
    int recognized = 0;
    int returned = 0;
    for (int round = 0; round < 3000; ++round) {
      mistaken += first_is_mistaken(5000) ? 1 : 0;
      if (round % 4 != 0) continue;
      // One in four is refused here, and as many return here that any gateway has refused.
      times.on_retry_advised("chat", between(3400, 4700), milliseconds(1400));
      if (round < 400) continue;
      const Duration stated = between(3400, 4700) - milliseconds(30);
      ++returned;
      recognized += times.estimated_wait("chat", stated) > milliseconds(1000) ? 1 : 0;
      times.on_request("chat", stated);
    }
    CPPUNIT_ASSERT_EQUAL(0, mistaken);
    std::printf("\nfigure recognized=%d of %d\n", recognized, returned);
    CPPUNIT_ASSERT(recognized * 10 >= returned * 9);
  }

  void two_groups_of_callers_that_state_any_time_are_not_taken_for_returning() {
    int mistaken = 0;
    for (int round = 0; round < 3000; ++round) {
      mistaken += first_is_mistaken(5000) ? 1 : 0;
      mistaken += first_is_mistaken(2000) ? 1 : 0;
      // Some of either are refused, and come back.
      if (round % 10 != 0) continue;
      for (const std::int64_t least_ms : {3400, 1300}) {
        times.on_retry_advised("chat", between(least_ms, least_ms + 1000), milliseconds(1400));
        times.on_request("chat", between(least_ms, least_ms + 1000));
      }
    }
    // Where those who return state what others begin with, they are fewer: all are held to be
    // first.
    CPPUNIT_ASSERT_EQUAL(0, mistaken);
  }

  void callers_that_never_come_back_make_nobody_return() {
    int mistaken = 0;
    for (int round = 0; round < 3000; ++round) {
      mistaken += first_is_mistaken(5000) ? 1 : 0;
      mistaken += first_is_mistaken(3400) ? 1 : 0;
      // One in five of the first group is told to come back at times at which others begin.
      if (round % 5 == 0) times.on_retry_advised("chat", between(3400, 4400), milliseconds(1400));
    }
    // One in a thousand, by chance.
    CPPUNIT_ASSERT(mistaken <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryEstimatorTest);

}  // namespace pumicemast
