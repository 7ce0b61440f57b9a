/// The clocks of the daemons, and detection of a suspended machine.
///
/// CLOCK_MONOTONIC stops while the machine is suspended; CLOCK_BOOTTIME does not. Durations such as
/// leases, report ages, limits on outdated weights and retry windows include the suspension, so
/// daemons read CLOCK_BOOTTIME. The system's timers and poll use CLOCK_MONOTONIC: the difference
/// between the two clocks is the delay that a suspension adds to them.
#pragma once

#include "common/time.h"

namespace pumicemast {

/// Both clocks at one moment.
struct ClockReading {
  TimePoint elapsed{};  ///< Includes time in suspension.
  TimePoint awake{};    ///< Excludes time in suspension.
};

/// Time that includes suspensions of the machine.
TimePoint read_elapsed();

/// Reads both clocks. Without CLOCK_BOOTTIME both readings come from CLOCK_MONOTONIC.
ClockReading read_clocks();

/// Detects that the machine was suspended.
class SuspensionDetector {
 public:
  explicit SuspensionDetector(const ClockReading& now) : suspended_(now.elapsed - now.awake) {}

  /// @return for how long the machine was suspended since the last detected suspension; zero
  ///         when for less than kMinimumSuspension.
  Duration on_reading(const ClockReading& now) {
    const Duration suspended = now.elapsed - now.awake;
    const Duration since = suspended - suspended_;
    if (since < kMinimumSuspension) return Duration::zero();
    suspended_ = suspended;
    return since;
  }

 private:
  /// Differences below this are ignored: the clocks are read one after the other, and the process
  /// may be descheduled in between.
  static constexpr Duration kMinimumSuspension = milliseconds(20);

  Duration suspended_;
};

}  // namespace pumicemast
