#include "experiment/burst_experiment.h"

#include <algorithm>

#include "simulation/burst_planner.h"
#include "simulation/tree_baseline.h"

namespace pumicemast {
namespace {

using simulation::BurstResult;
using simulation::BurstSettings;
using simulation::Strategy;

/// Seconds from the last order until `fraction` of the survivors was live; -1 when it never was.
double time_to_fraction(const BurstResult& result, double fraction) {
  if (result.survivors == 0) return -1;
  const auto required = static_cast<std::size_t>(fraction * result.survivors + 0.999999);
  const std::size_t index = std::max<std::size_t>(1, required) - 1;
  if (index >= result.live_times_s.size()) return -1;
  return result.live_times_s[index] - result.last_order_s;
}

/// The settings with which the simulator runs a baseline.
BurstSettings baseline_settings(BurstSettings settings, Strategy strategy) {
  settings.strategy = strategy;
  if (strategy == Strategy::origin_only) {
    settings.swarm.origin_for_all = true;
    settings.swarm.use_peers = false;
    settings.swarm.announce_interval = seconds(5);  // No peer uses announcements.
    // Time limits are long, since queues at the origin grow with the size of the fleet.
    settings.swarm.origin_timeout = std::chrono::hours(24);
    settings.swarm.subscription_timeout = std::chrono::hours(24);
    settings.swarm.takeover_interval = std::chrono::hours(24);
    settings.time_limit_factor = 10.0 * settings.machines;
  }
  if (strategy == Strategy::random) settings.swarm.pick_policy = PickPolicy::random;
  return settings;
}

}  // namespace

BurstResult run_burst(const BurstSettings& settings, const StateChart& replica_chart) {
  const bool fixed = settings.strategy == Strategy::tree || settings.strategy == Strategy::pipeline;
  if (fixed) return simulation::run_tree_baseline(settings);
  if (settings.strategy == Strategy::swarm) {
    return simulation::BurstSimulation(settings, replica_chart).run();
  }
  const BurstSettings baseline = baseline_settings(settings, settings.strategy);
  return simulation::BurstSimulation(baseline, replica_chart).run();
}

Figures burst_figures(const BurstSettings& settings, const BurstResult& result) {
  Figures figures;
  const double bytes = static_cast<double>(settings.model_bytes);
  const double bound_s = settings.bound_s(result.survivors);
  const simulation::BurstPlan plan = simulation::plan_burst(settings);
  figures.add("machines", settings.machines, "machines");
  figures.add("survivors", result.survivors, "machines");
  figures.add("never_live", result.never_live, "machines");
  figures.add("bound", bound_s, "s");
  figures.add("time_to_first_live", time_to_fraction(result, 0), "s");
  figures.add("time_to_half_live", time_to_fraction(result, 0.5), "s");
  figures.add("time_to_90_percent_live", time_to_fraction(result, 0.9), "s");
  figures.add("time_to_99_percent_live", time_to_fraction(result, 0.99), "s");
  figures.add("time_to_all_live", time_to_fraction(result, 1), "s");
  figures.add("time_to_half_live_ratio", time_to_fraction(result, 0.5) / bound_s, "x");
  figures.add("time_to_all_live_ratio", time_to_fraction(result, 1) / bound_s, "x");
  const auto faults = simulation::FaultSchedule::generate(settings);
  const double blocked_s = faults.blocked_bound_s(settings, result.survived);
  figures.add("blocked_bound", blocked_s, "s");
  figures.add("time_to_all_live_over_blocked_bound", time_to_fraction(result, 1) / blocked_s, "x");
  figures.add("planned_time_to_all_live", plan.time_to_all_live_s, "s");
  figures.add("measured_over_planned", time_to_fraction(result, 1) / plan.time_to_all_live_s, "x");
  figures.add("origin_copies", static_cast<double>(result.origin_bytes) / bytes, "copies");
  figures.add("inter_region_copies", static_cast<double>(result.inter_region_bytes) / bytes,
              "copies");
  figures.add("inter_region_copies_per_region",
              settings.regions < 2
                  ? 0
                  : static_cast<double>(result.inter_region_bytes) / bytes / (settings.regions - 1),
              "copies");
  figures.add(
      "duplicate_bytes_ratio",
      static_cast<double>(result.duplicate_bytes) / (bytes * std::max(1U, result.survivors)), "x");
  figures.add("corrupt_chunks", static_cast<double>(result.corrupt_chunks), "chunks");
  figures.add("request_timeouts", static_cast<double>(result.request_timeouts), "requests");
  figures.add("takeovers", static_cast<double>(result.takeovers), "chunks");
  figures.add("peak_agent_memory", static_cast<double>(result.peak_agent_memory), "bytes");
  figures.add("messages_per_agent_second",
              static_cast<double>(result.messages) / settings.machines /
                  std::max(1.0, time_to_fraction(result, 1) + result.last_order_s),
              "messages/s");
  figures.add("partial_or_mixed_served", result.partial_or_mixed_served, "activations");
  return figures;
}

void add_baseline_figures(const BurstSettings& settings, const BurstResult& result,
                          const StateChart& replica_chart, Figures& figures) {
  const double own_s = time_to_fraction(result, 1);
  for (const Strategy strategy :
       {Strategy::origin_only, Strategy::tree, Strategy::pipeline, Strategy::random}) {
    BurstSettings baseline = settings;
    baseline.strategy = strategy;
    const BurstResult other = run_burst(baseline, replica_chart);
    const std::string name = std::string("baseline_") + to_string(strategy);
    const double other_s = time_to_fraction(other, 1);
    figures.add(name + "_time_to_all_live", other_s, "s");
    figures.add(name + "_never_live", other.never_live, "machines");
    figures.add(name + "_origin_copies",
                static_cast<double>(other.origin_bytes) / static_cast<double>(settings.model_bytes),
                "copies");
    if (other_s > 0 && own_s > 0) figures.add(name + "_time_over_ours", other_s / own_s, "x");
  }
}

}  // namespace pumicemast
