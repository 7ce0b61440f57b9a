/// A simulated machine and the simulated weights that machines exchange.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include "replica/replica_manager.h"
#include "simulation/burst_settings.h"
#include "simulation/network_model.h"
#include "swarm/swarm.h"

namespace pumicemast::simulation {

/// Number of versions in a burst: the first and the one that supersedes it.
constexpr std::uint32_t kVersions = 2;

/// Identifies the bytes of a chunk; equal bytes have equal ids. 0 means missing or corrupt.
using ContentId = std::uint32_t;

/// Production cores of a machine and the actual memory contents of its engine.
struct SimulatedMachine {
  explicit SimulatedMachine(const StateChart& chart) : replicas(chart) {}

  PeerId id = 0;
  MachineLocation location;
  bool alive = true;
  ReplicaManager replicas;
  std::array<std::unique_ptr<Swarm>, kVersions> swarms;
  std::array<std::vector<ContentId>, kVersions> staged;  ///< Chunks in the engine's memory.
  bool ticking = false;
  double live_at_s = -1;  ///< Time at which the target version became live; -1 before.
};

using SimulatedMachines = std::vector<std::unique_ptr<SimulatedMachine>>;

/// Chunk contents of the versions.
class SimulatedWeights {
 public:
  /// @param shared  for each chunk, whether both versions have the same bytes in it.
  SimulatedWeights(const BurstSettings& settings, std::vector<bool> shared)
      : settings_(settings), shared_(std::move(shared)) {}

  ContentId content_of(std::uint32_t version, ChunkIndex chunk) const {
    const bool own_content = version == 1 && !shared_[chunk];
    return 1 + chunk + (own_content ? settings_.chunk_count() : 0);
  }
  std::uint64_t chunk_size(ChunkIndex chunk) const {
    const std::uint64_t begin = std::uint64_t{chunk} * settings_.chunk_bytes;
    return std::min(settings_.chunk_bytes, settings_.model_bytes - begin);
  }

 private:
  const BurstSettings& settings_;
  std::vector<bool> shared_;
};

}  // namespace pumicemast::simulation
