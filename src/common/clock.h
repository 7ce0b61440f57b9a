/// The time that all daemons go by, and how long the machine has slept.
///
/// A suspended machine's CLOCK_MONOTONIC stands still; CLOCK_BOOTTIME does not. Whatever holds for
/// a span (a lease, a report's age, a bound on old weights, a retry window) has run on meanwhile,
/// so that time is read from CLOCK_BOOTTIME. The system's timers and poll go by CLOCK_MONOTONIC:
/// the difference between the two tells how late they would be.
#pragma once

#include "common/time.h"

namespace pumicemast {

/// Both clocks at one moment.
struct ClockReading {
  TimePoint elapsed{};  ///< With the time that the machine was suspended.
  TimePoint awake{};    ///< Without it.
};

/// With the time that the machine was suspended.
TimePoint read_elapsed();

/// Reads both clocks. Where there is no CLOCK_BOOTTIME, they are the same.
ClockReading read_clocks();

/// Notices that the machine was suspended.
class SuspensionDetector {
 public:
  explicit SuspensionDetector(const ClockReading& now) : suspended_(now.elapsed - now.awake) {}

  /// @return for how long the machine was suspended since the last call; zero when it was not.
  Duration on_reading(const ClockReading& now) {
    const Duration suspended = now.elapsed - now.awake;
    const Duration since = suspended - suspended_;
    if (since < kMinimumSuspension) return Duration::zero();
    suspended_ = suspended;
    return since;
  }

 private:
  /// The two clocks are read one after the other, and a process may have to wait in between.
  static constexpr Duration kMinimumSuspension = milliseconds(20);

  Duration suspended_;
};

}  // namespace pumicemast
