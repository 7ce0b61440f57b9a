/// Monotonic time of the decision cores.
///
/// Cores never read a clock: the owning loop passes the current TimePoint in.
/// Daemons take it from common/clock.h, the simulator from virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace pumicemast {

/// Tag clock. It has no now(): time always arrives as a parameter.
struct LoopClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<LoopClock>;
  static constexpr bool is_steady = true;
};

using Duration = LoopClock::duration;
using TimePoint = LoopClock::time_point;

constexpr Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }
constexpr Duration seconds(std::int64_t count) { return std::chrono::seconds(count); }

/// Converts to whole milliseconds, rounded down.
constexpr std::int64_t to_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Converts to fractional seconds, the unit of every exported histogram.
constexpr double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts to fractional milliseconds, the unit of predictions.
constexpr double to_fractional_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts from fractional seconds, rounded towards zero to whole microseconds.
constexpr Duration from_seconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

}  // namespace pumicemast
