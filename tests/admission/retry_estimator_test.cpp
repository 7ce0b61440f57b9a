#include "admission/retry_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <random>

namespace pumicemast {

class RetryEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryEstimatorTest);
  CPPUNIT_TEST(a_usual_deadline_is_a_first_attempt);
  CPPUNIT_TEST(a_shorter_deadline_implies_the_difference_was_waited);
  CPPUNIT_TEST(many_retries_do_not_become_usual);
  CPPUNIT_TEST(two_usual_deadlines_are_distinguished_from_retries);
  CPPUNIT_TEST(little_history_is_not_conclusive);
  CPPUNIT_TEST(new_usual_deadlines_replace_old_ones);
  CPPUNIT_TEST(advised_retries_are_recognized_among_varying_deadlines);
  CPPUNIT_TEST(two_groups_with_varying_deadlines_are_not_taken_for_retries);
  CPPUNIT_TEST(advice_that_is_not_followed_creates_no_retries);
  CPPUNIT_TEST_SUITE_END();

  RetryEstimator estimator;
  std::mt19937 random_{1};

  void record(Duration stated, int count) {
    for (int request = 0; request < count; ++request) estimator.on_request("chat", stated);
  }
  Duration between(std::int64_t least_ms, std::int64_t most_ms) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least_ms, most_ms)(random_));
  }
  /// Whether a first attempt with any deadline within a second is taken for a retry.
  bool first_attempt_is_mistaken(std::int64_t least_ms) {
    const Duration stated = between(least_ms, least_ms + 1000);
    const bool mistaken = estimator.estimated_wait("chat", stated) > Duration::zero();
    estimator.on_request("chat", stated);
    return mistaken;
  }
  bool has_waited_about(Duration expected, Duration stated) const {
    const Duration waited = estimator.estimated_wait("chat", stated);
    return waited >= expected - milliseconds(20) && waited <= expected + milliseconds(20);
  }

 public:
  void a_usual_deadline_is_a_first_attempt() {
    record(milliseconds(5996), 50);
    CPPUNIT_ASSERT(estimator.estimated_wait("chat", milliseconds(5996)) == Duration::zero());
    CPPUNIT_ASSERT(estimator.estimated_wait("chat", milliseconds(8000)) == Duration::zero());
  }

  void a_shorter_deadline_implies_the_difference_was_waited() {
    record(milliseconds(6000), 50);
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1500), milliseconds(4500)));
    CPPUNIT_ASSERT(estimator.estimated_wait("other", milliseconds(4500)) == Duration::zero());
  }

  void many_retries_do_not_become_usual() {
    for (int round = 0; round < 500; ++round) {
      record(milliseconds(6000), 1);
      record(milliseconds(4000 + round * 2), 1);
    }
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1500), milliseconds(4500)));
  }

  void two_usual_deadlines_are_distinguished_from_retries() {
    record(milliseconds(6000), 70);
    record(milliseconds(3000), 30);
    CPPUNIT_ASSERT(estimator.estimated_wait("chat", milliseconds(3000)) == Duration::zero());
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1000), milliseconds(2000)));
    CPPUNIT_ASSERT(has_waited_about(milliseconds(1000), milliseconds(5000)));
  }

  void little_history_is_not_conclusive() {
    record(milliseconds(6000), 5);
    CPPUNIT_ASSERT(estimator.estimated_wait("chat", milliseconds(4500)) == Duration::zero());
  }

  void new_usual_deadlines_replace_old_ones() {
    record(milliseconds(6000), 1000);
    record(milliseconds(3000), 5000);
    CPPUNIT_ASSERT(estimator.estimated_wait("chat", milliseconds(3000)) == Duration::zero());
    CPPUNIT_ASSERT(estimator.estimated_wait("chat", milliseconds(4500)) == Duration::zero());
  }

  void advised_retries_are_recognized_among_varying_deadlines() {
    int mistaken = 0;
    int recognized = 0;
    int returned = 0;
    for (int round = 0; round < 3000; ++round) {
      mistaken += first_attempt_is_mistaken(5000) ? 1 : 0;
      if (round % 4 != 0) continue;
      // One in four is refused here, and as many callers retry here after a refusal by any gateway.
      estimator.on_retry_advised("chat", between(3400, 4700), milliseconds(1400));
      if (round < 400) continue;
      const Duration stated = between(3400, 4700) - milliseconds(30);
      ++returned;
      recognized += estimator.estimated_wait("chat", stated) > milliseconds(1000) ? 1 : 0;
      estimator.on_request("chat", stated);
    }
    CPPUNIT_ASSERT_EQUAL(0, mistaken);
    std::printf("\nfigure recognized=%d of %d\n", recognized, returned);
    CPPUNIT_ASSERT(recognized * 10 >= returned * 9);
  }

  void two_groups_with_varying_deadlines_are_not_taken_for_retries() {
    int mistaken = 0;
    for (int round = 0; round < 3000; ++round) {
      mistaken += first_attempt_is_mistaken(5000) ? 1 : 0;
      mistaken += first_attempt_is_mistaken(2000) ? 1 : 0;
      // Some callers of either group are refused and retry.
      if (round % 10 != 0) continue;
      for (const std::int64_t least_ms : {3400, 1300}) {
        estimator.on_retry_advised("chat", between(least_ms, least_ms + 1000), milliseconds(1400));
        estimator.on_request("chat", between(least_ms, least_ms + 1000));
      }
    }
    // Where retries state the same deadlines as first attempts of the other group, they are the
    // minority: all count as first attempts.
    CPPUNIT_ASSERT_EQUAL(0, mistaken);
  }

  void advice_that_is_not_followed_creates_no_retries() {
    int mistaken = 0;
    for (int round = 0; round < 3000; ++round) {
      mistaken += first_attempt_is_mistaken(5000) ? 1 : 0;
      mistaken += first_attempt_is_mistaken(3400) ? 1 : 0;
      // One in five of the first group is told to retry at a moment when it will state a deadline
      // with which first attempts of the second group start.
      if (round % 5 == 0)
        estimator.on_retry_advised("chat", between(3400, 4400), milliseconds(1400));
    }
    // Chance mistakes: one in a thousand.
    CPPUNIT_ASSERT(mistaken <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryEstimatorTest);

}  // namespace pumicemast
