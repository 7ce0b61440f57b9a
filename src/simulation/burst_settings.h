/// Settings of a burst experiment (experiments/*.ini).
#pragma once

#include <cstdint>
#include <string>

#include "common/settings.h"
#include "simulation/network_model.h"
#include "swarm/swarm.h"

namespace pumicemast::simulation {

enum class Strategy { swarm, origin_only, tree, pipeline, random };
const char* to_string(Strategy strategy);

struct FaultSettings {
  double deaths_per_minute = 0;  ///< Fraction of the machines.
  double stall_fraction = 0;     ///< Fraction of the machines whose link stalls once.
  Duration stall_duration = seconds(30);
  double corrupt_fraction = 0;  ///< Fraction of the chunks that arrive corrupt.
  // Durations as fractions of the fluid bound of the fleet without faults.
  double region_isolation_fraction = 0;  ///< Isolation of one region.
  double api_down_fraction = 0;          ///< Outage of the object API.
  double corrupting_peers = 0;           ///< Fraction of machines that send only corrupt chunks.
};

struct SupersedeSettings {
  double at_fraction = 0;      ///< Fraction of the allowed time; 0 for never.
  double shared_chunks = 0.5;  ///< Fraction of chunks that both versions have in common.
};

struct BurstSettings {
  std::uint32_t machines = 330;
  std::uint32_t regions = 3;
  std::uint32_t zones_per_region = 3;
  std::uint64_t model_bytes = 16ULL << 30U;
  std::uint64_t chunk_bytes = 16ULL << 20U;
  double allowed_s = 240;
  /// Copies of the model that the origin's link and a machine's link can carry in the allowed time.
  double origin_copies_allowed = 4;
  double machine_copies_allowed = 2;
  NetworkOptions network;
  SwarmOptions swarm;
  Strategy strategy = Strategy::swarm;
  FaultSettings faults;
  SupersedeSettings supersede;
  std::uint64_t seed = 1;
  double time_limit_factor = 20;  ///< Multiple of the allowed time after which the run ends.

  static BurstSettings read(Settings& settings);

  std::uint32_t chunk_count() const {
    return static_cast<std::uint32_t>((model_bytes + chunk_bytes - 1) / chunk_bytes);
  }
  double bound_s(double live_machines) const;
};

}  // namespace pumicemast::simulation
