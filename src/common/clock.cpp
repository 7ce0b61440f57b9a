#include "common/clock.h"

#include <ctime>

namespace pumicemast {
namespace {

TimePoint to_time_point(const timespec& time) {
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

TimePoint read_awake() {
  timespec time{};
  clock_gettime(CLOCK_MONOTONIC, &time);
  return to_time_point(time);
}

}  // namespace

TimePoint read_elapsed() {
  timespec time{};
  return clock_gettime(CLOCK_BOOTTIME, &time) == 0 ? to_time_point(time) : read_awake();
}

ClockReading read_clocks() { return {read_elapsed(), read_awake()}; }

}  // namespace pumicemast
