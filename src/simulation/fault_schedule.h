/// Faults of one run and their times. Generated from the seed before the run, so that all
/// strategies are tested with the same faults.
#pragma once

#include <vector>

#include "simulation/burst_settings.h"

namespace pumicemast::simulation {

struct ScheduledStall {
  MachineNumber machine = 0;
  TimePoint from{};
};

struct FaultSchedule {
  std::vector<ScheduledStall> stalls;
  std::vector<bool> corrupting;  ///< Indexed by machine.
  bool has_isolation = false;
  std::uint32_t isolated_region = 0;
  TimePoint isolated_from{};
  TimePoint isolated_until{};
  TimePoint api_down_from{};
  TimePoint api_down_until{};
  /// Times of death and machines, ordered by time, up to the run's time limit.
  std::vector<std::pair<TimePoint, MachineNumber>> deaths;

  static FaultSchedule generate(const BurstSettings& settings);
  /// Lower bound in seconds of the time until all `survived` machines are live, given that a
  /// stalled link carries nothing and an isolated region receives nothing new.
  double blocked_bound_s(const BurstSettings& settings, const std::vector<bool>& survived) const;
  /// Applies link stalls and the region's isolation to the network.
  void apply_to(NetworkModel& network, const FaultSettings& faults) const;
};

}  // namespace pumicemast::simulation
