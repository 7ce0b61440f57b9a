/// What goes wrong in one run, and when. Drawn from the seed before the run begins, so that
/// every strategy meets the same faults.
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
  std::vector<bool> corrupting;  ///< By machine.
  bool has_isolation = false;
  std::uint32_t isolated_region = 0;
  TimePoint isolated_from{};
  TimePoint isolated_until{};
  TimePoint api_down_from{};
  TimePoint api_down_until{};
  /// Machines and times of death, in order, up to the run's time limit.
  std::vector<std::pair<TimePoint, MachineNumber>> deaths;

  static FaultSchedule generate(const BurstSettings& settings);
  /// Lower bound of the time to all of `survived`, given that a stalled link carries nothing
  /// and that a region that is cut off receives nothing new: seconds.
  double blocked_bound_s(const BurstSettings& settings, const std::vector<bool>& survived) const;
  /// Tells the network of stalls and cuts.
  void apply_to(NetworkModel& network, const FaultSettings& faults) const;
};

}  // namespace pumicemast::simulation
