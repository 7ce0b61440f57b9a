#include "simulation/fault_schedule.h"

#include <algorithm>
#include <random>

#include "simulation/fleet_layout.h"

namespace pumicemast::simulation {
namespace {

constexpr double kSecondsPerMinute = 60;

}  // namespace

FaultSchedule FaultSchedule::generate(const BurstSettings& settings) {
  FaultSchedule schedule;
  const FaultSettings& faults = settings.faults;
  std::mt19937_64 random(settings.seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  const double run_s = settings.bound_s(settings.machines);
  for (MachineNumber machine = 0; machine < settings.machines; ++machine) {
    schedule.corrupting.push_back(uniform(random) < faults.corrupting_peers);
    const bool stalls = uniform(random) < faults.stall_fraction;
    const TimePoint from(from_seconds(uniform(random) * run_s));
    if (stalls) schedule.stalls.push_back({machine, from});
  }
  schedule.has_isolation = faults.region_isolation_fraction > 0;
  schedule.isolated_region = static_cast<std::uint32_t>(random() % settings.regions);
  schedule.isolated_from = TimePoint(from_seconds(uniform(random) * run_s / 2));
  schedule.isolated_until =
      schedule.isolated_from + from_seconds(faults.region_isolation_fraction * run_s);
  schedule.api_down_from = TimePoint(from_seconds(uniform(random) * run_s / 2));
  schedule.api_down_until = schedule.api_down_from + from_seconds(faults.api_down_fraction * run_s);
  if (faults.deaths_per_minute <= 0) return schedule;
  const double per_second = faults.deaths_per_minute * settings.machines / kSecondsPerMinute;
  std::exponential_distribution<double> interval_s(per_second);
  const TimePoint limit(from_seconds(settings.allowed_s * settings.time_limit_factor));
  TimePoint at(from_seconds(interval_s(random)));
  while (at < limit) {
    schedule.deaths.emplace_back(at, static_cast<MachineNumber>(random() % settings.machines));
    at += from_seconds(interval_s(random));
  }
  return schedule;
}

double FaultSchedule::blocked_bound_s(const BurstSettings& settings,
                                      const std::vector<bool>& survived) const {
  const double bytes = static_cast<double>(settings.model_bytes);
  const double link_s = bytes / settings.network.machine_bytes_per_second;
  const double origin_s = bytes / settings.network.origin_bytes_per_second;
  const double isolated_from_s = to_seconds(isolated_from.time_since_epoch());
  const double isolated_until_s = to_seconds(isolated_until.time_since_epoch());
  const std::vector<MachineLocation> locations = assign_locations(settings);
  std::vector<double> stalled_s(settings.machines, 0);
  std::vector<double> stalled_after_isolation_s(settings.machines, 0);
  for (const ScheduledStall& stall : stalls) {
    const double duration_s = to_seconds(settings.faults.stall_duration);
    stalled_s[stall.machine] = duration_s;
    if (stall.from >= isolated_until) stalled_after_isolation_s[stall.machine] = duration_s;
  }
  const double free_s = settings.bound_s(settings.machines);
  double latest_s = 0;
  for (MachineNumber machine = 0; machine < settings.machines; ++machine) {
    if (machine < survived.size() && !survived[machine]) continue;
    double at_s = std::max(free_s, link_s + stalled_s[machine]);
    if (has_isolation && locations[machine].region == isolated_region) {
      // While isolated, the region can exchange only chunks that the origin sent before.
      const double held = std::min(1.0, isolated_from_s / origin_s);
      at_s = std::max(at_s,
                      isolated_until_s + (1 - held) * link_s + stalled_after_isolation_s[machine]);
    }
    latest_s = std::max(latest_s, at_s);
  }
  return latest_s;
}

void FaultSchedule::apply_to(NetworkModel& network, const FaultSettings& faults) const {
  for (const ScheduledStall& stall : stalls) {
    network.stall(stall.machine, stall.from, stall.from + faults.stall_duration);
  }
  if (has_isolation) network.isolate_region(isolated_region, isolated_from, isolated_until);
}

}  // namespace pumicemast::simulation
