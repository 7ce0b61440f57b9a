#include "limits/token_bucket.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class TokenBucketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenBucketTest);
  CPPUNIT_TEST(late_timers_lose_no_throughput_within_the_burst);
  CPPUNIT_TEST(without_a_burst_late_timers_reduce_throughput);
  CPPUNIT_TEST(idle_time_is_saved_up_only_to_the_burst);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kRate = 775000;  // Bytes per second: 0.85 of 7.3 Mbit/s.
  static constexpr double kChunk = 24576;

  /// Sends chunks into debt for one second, with each timer late by `lateness`, like the pacer of
  /// an uplink.
  /// @return the number of chunks sent.
  static int chunks_per_second(double burst, Duration lateness) {
    TokenBucket bucket(kRate, burst);
    TimePoint now{seconds(100)};
    bucket.take_into_debt(burst, now);
    const TimePoint end = now + seconds(1);
    int sent = 0;
    while (now < end) {
      bucket.take_into_debt(kChunk, now);
      ++sent;
      now += bucket.time_until(0, now) + lateness;
    }
    return sent;
  }

 public:
  void late_timers_lose_no_throughput_within_the_burst() {
    const int punctual = chunks_per_second(0, Duration::zero());
    CPPUNIT_ASSERT_EQUAL(32, punctual);
    CPPUNIT_ASSERT(chunks_per_second(kRate * 0.02, milliseconds(6)) >= punctual - 1);
  }

  void without_a_burst_late_timers_reduce_throughput() {
    CPPUNIT_ASSERT(chunks_per_second(0, milliseconds(6)) <= 27);
  }

  void idle_time_is_saved_up_only_to_the_burst() {
    TokenBucket bucket(kRate, kRate * 0.02);
    TimePoint now{seconds(100)};
    bucket.take_into_debt(kChunk, now);
    now += seconds(60);
    bucket.take_into_debt(kChunk, now);
    // A chunk occupies the link for 31.7 ms, of which 20 ms were saved up.
    CPPUNIT_ASSERT(bucket.time_until(0, now) >= milliseconds(11));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

}  // namespace pumicemast
