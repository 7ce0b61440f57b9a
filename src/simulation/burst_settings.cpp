#include "simulation/burst_settings.h"

#include "simulation/fluid_bound.h"

namespace pumicemast::simulation {
namespace {

void read_network(Settings& settings, BurstSettings& burst) {
  NetworkOptions& network = burst.network;
  network.duplex = settings.choice("network", "duplex", {"full", "half"}) == "full" ? Duplex::full
                                                                                    : Duplex::half;
  burst.allowed_s = settings.number_or("network", "allowed_seconds", 240, 1, 86400);
  burst.origin_copies_allowed = settings.number_or("network", "origin_copies", 4, 0.1, 1000);
  burst.machine_copies_allowed = settings.number_or("network", "machine_copies", 2, 0.1, 1000);
  const double bytes = static_cast<double>(burst.model_bytes);
  network.origin_bytes_per_second = burst.origin_copies_allowed * bytes / burst.allowed_s;
  network.machine_bytes_per_second = burst.machine_copies_allowed * bytes / burst.allowed_s;
  const double ingress = settings.number_or("network", "region_ingress_copies", 0, 0, 1000);
  network.region_ingress_bytes_per_second = ingress * bytes / burst.allowed_s;
  const auto latency = [&](const char* key, double fallback_ms) {
    const double value_ms = settings.number_or("network", key, fallback_ms, 0, 10000);
    return Duration(static_cast<Duration::rep>(value_ms * 1000));
  };
  network.latency_in_zone = latency("latency_in_zone_ms", 0.25);
  network.latency_between_zones = latency("latency_between_zones_ms", 1.5);
  network.latency_between_regions = latency("latency_between_regions_ms", 3);
  network.latency_to_origin = latency("latency_to_origin_ms", 3);
  network.latency_jitter = settings.number_or("network", "latency_jitter", 0.2, 0, 1);
}

void read_swarm(Settings& settings, BurstSettings& burst) {
  constexpr Range kSmall{1, 4096};
  SwarmOptions& swarm = burst.swarm;
  const std::string objective = settings.choice("rollout", "objective", {"time", "origin_bytes"});
  apply_objective(objective == "time" ? SwarmObjective::time : SwarmObjective::origin_bytes, swarm);
  const auto read = [&](const char* key, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(settings.integer_or("swarm", key, fallback, kSmall));
  };
  swarm.origin_copies = read("origin_copies", swarm.origin_copies);
  swarm.window = read("window", swarm.window);
  swarm.window_per_peer = read("window_per_peer", swarm.window_per_peer);
  swarm.origin_window = read("origin_window", swarm.origin_window);
  swarm.upload_slots = read("upload_slots", swarm.upload_slots);
  swarm.upload_queue_limit = read("upload_queue_limit", swarm.upload_queue_limit);
  swarm.announce_interval =
      settings.milliseconds_or("swarm", "announce_interval_ms", 50, {1, 60000});
  swarm.takeover_interval = settings.milliseconds_or(
      "swarm", "takeover_interval_ms", to_milliseconds(swarm.takeover_interval), {1, 3600000});
  const std::string policy =
      settings.choice("swarm", "pick_policy", {"rarest_first", "random", "sequential"});
  swarm.pick_policy = policy == "random"       ? PickPolicy::random
                      : policy == "sequential" ? PickPolicy::sequential
                                               : PickPolicy::rarest_first;
}

void read_faults(Settings& settings, FaultSettings& faults) {
  const auto fraction = [&](const char* key) { return settings.number_or("faults", key, 0, 0, 1); };
  faults.deaths_per_minute = fraction("deaths_per_minute");
  faults.stall_fraction = fraction("stall_share");
  faults.stall_duration =
      settings.milliseconds_or("faults", "stall_duration_ms", 30000, {1, 3600000});
  faults.corrupt_fraction = fraction("corrupt_share");
  faults.region_isolation_fraction = fraction("region_cut_share");
  faults.api_down_fraction = fraction("api_down_share");
  faults.corrupting_peers = fraction("corrupting_peers");
}

}  // namespace

const char* to_string(Strategy strategy) {
  switch (strategy) {
    case Strategy::swarm:
      return "swarm";
    case Strategy::origin_only:
      return "origin_only";
    case Strategy::tree:
      return "tree";
    case Strategy::pipeline:
      return "pipeline";
    case Strategy::random:
      return "random";
  }
  return "swarm";
}

BurstSettings BurstSettings::read(Settings& settings) {
  constexpr std::int64_t kTebibyte = 1LL << 40U;
  BurstSettings result;
  result.machines =
      static_cast<std::uint32_t>(settings.integer_or("fleet", "machines", 330, {2, 100000}));
  result.regions =
      static_cast<std::uint32_t>(settings.integer_or("fleet", "regions", 3, {1, 1000}));
  result.zones_per_region =
      static_cast<std::uint32_t>(settings.integer_or("fleet", "zones_per_region", 3, {1, 1000}));
  result.model_bytes = static_cast<std::uint64_t>(
      settings.integer_or("model", "bytes", 16LL << 30U, {1, 64 * kTebibyte}));
  result.chunk_bytes = static_cast<std::uint64_t>(
      settings.integer_or("model", "chunk_bytes", 16LL << 20U, {1024, 1LL << 30U}));
  read_network(settings, result);
  read_swarm(settings, result);
  read_faults(settings, result.faults);
  result.supersede.at_fraction = settings.number_or("supersede", "at_share", 0, 0, 10);
  result.supersede.shared_chunks = settings.number_or("supersede", "shared_chunks", 0.5, 0, 1);
  const std::string strategy = settings.choice(
      "rollout", "strategy", {"swarm", "origin_only", "tree", "pipeline", "random"});
  for (const Strategy candidate : {Strategy::swarm, Strategy::origin_only, Strategy::tree,
                                   Strategy::pipeline, Strategy::random}) {
    if (strategy == to_string(candidate)) result.strategy = candidate;
  }
  result.seed = static_cast<std::uint64_t>(settings.integer_or("run", "seed", 1, {0, INT64_MAX}));
  result.time_limit_factor = settings.number_or("run", "time_limit_share", 20, 0.1, 10000);
  return result;
}

double BurstSettings::bound_s(double live_machines) const {
  return fluid_bound_s(network.duplex, live_machines, static_cast<double>(model_bytes),
                       network.origin_bytes_per_second, network.machine_bytes_per_second);
}

}  // namespace pumicemast::simulation
