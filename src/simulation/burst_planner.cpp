#include "simulation/burst_planner.h"

#include <algorithm>
#include <cmath>

namespace pumicemast::simulation {
namespace {

/// Average fraction of the request window that is still in transfer when the last chunks are
/// requested (docs/design/swarm.md, experiments/burst-330.ini).
constexpr double kTailWindowFraction = 0.5;

std::string limiting_link(const BurstSettings& settings) {
  const double bytes = static_cast<double>(settings.model_bytes);
  const NetworkOptions& network = settings.network;
  const double origin_s = bytes / network.origin_bytes_per_second;
  const double bound_s = settings.bound_s(settings.machines);
  if (network.region_ingress_bytes_per_second > 0 &&
      bytes / network.region_ingress_bytes_per_second > bound_s) {
    return "the link into each region";
  }
  if (origin_s >= bound_s) return "the origin's link";
  if (network.duplex == Duplex::half) return "each machine's link, in and out together";
  const bool uplinks = bound_s > bytes / network.machine_bytes_per_second;
  return uplinks ? "the machines' uplinks together" : "each machine's downlink";
}

}  // namespace

BurstPlan plan_burst(const BurstSettings& settings) {
  BurstPlan plan;
  const NetworkOptions& network = settings.network;
  const double chunk = static_cast<double>(settings.chunk_bytes);
  const double chunk_s = chunk / network.machine_bytes_per_second;
  const double hop_s = chunk_s + to_seconds(settings.swarm.announce_interval) / 2 +
                       2 * to_seconds(network.latency_between_zones);
  const double per_region =
      std::max(1.0, static_cast<double>(settings.machines) / settings.regions);
  // The number of holders of the first chunk doubles with every hop until all uplinks are in use.
  const double start_s = chunk / network.origin_bytes_per_second +
                         std::log2(per_region + 1) * hop_s + (settings.regions > 1 ? chunk_s : 0);
  const double tail_s = kTailWindowFraction * settings.swarm.window * chunk_s;
  plan.bound_s = settings.bound_s(settings.machines);
  if (network.region_ingress_bytes_per_second > 0 && settings.regions > 1) {
    plan.bound_s = std::max(plan.bound_s, static_cast<double>(settings.model_bytes) /
                                              network.region_ingress_bytes_per_second);
  }
  plan.time_to_all_live_s = plan.bound_s + start_s + tail_s;
  plan.time_to_half_live_s = plan.bound_s + start_s + tail_s / 2;
  plan.origin_copies = std::min<double>(settings.swarm.origin_copies, settings.machines);
  // Each region except the owner's receives one copy from another region. Further copies from the
  // origin reach regions at random.
  const double regions = settings.regions;
  const double extra = plan.origin_copies - 1;
  const double covered = 1 - std::pow(1 - 1 / regions, extra);
  plan.inter_region_copies = (regions - 1) * (1 - covered);
  plan.agent_memory_bytes =
      (settings.swarm.window + settings.swarm.origin_window + settings.swarm.upload_slots) *
      settings.chunk_bytes;
  plan.limiting_link = limiting_link(settings);
  return plan;
}

}  // namespace pumicemast::simulation
