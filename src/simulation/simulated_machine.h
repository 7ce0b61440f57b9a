/// One simulated machine, and the weights that move between them.
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

/// Versions that a burst may move: the first, and the one that supersedes it.
constexpr std::uint32_t kVersions = 2;

/// Stands for the bytes of one chunk; chunks with equal bytes have equal ids. 0: nothing, or
/// spoilt.
using ContentId = std::uint32_t;

/// The production cores of a machine, and what its engine really holds.
struct SimulatedMachine {
  explicit SimulatedMachine(const StateChart& chart) : replicas(chart) {}

  PeerId id = 0;
  MachineLocation location;
  bool alive = true;
  ReplicaManager replicas;
  std::array<std::unique_ptr<Swarm>, kVersions> swarms;
  std::array<std::vector<ContentId>, kVersions> staged;  ///< What the engine's memory holds.
  bool ticking = false;
  double live_at_s = -1;  ///< Of the wanted version.
};

using SimulatedMachines = std::vector<std::unique_ptr<SimulatedMachine>>;

/// What the versions consist of.
class SimulatedWeights {
 public:
  /// @param shared  by chunk, whether both versions have the same bytes there.
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
