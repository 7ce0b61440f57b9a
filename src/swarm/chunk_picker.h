/// Chooses the next chunk to request from a neighbour: the one that the fewest neighbours hold.
///
/// Rarest first keeps all chunks spreading, so that each agent still holds chunks that its
/// neighbours lack towards the end of a download. Ties are broken at random: if all agents
/// preferred the same chunk, the uplinks of the holders of other chunks would be idle.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "swarm/chunk_set.h"

namespace pumicemast {

enum class PickPolicy { rarest_first, random, sequential };

class ChunkPicker {
 public:
  ChunkPicker(ChunkSet have, PickPolicy policy, std::uint64_t seed);

  const ChunkSet& have() const { return have_; }
  /// Chunks that are neither held nor requested.
  const ChunkSet& open() const { return open_; }
  std::uint32_t availability(ChunkIndex chunk) const { return availability_[chunk]; }

  void on_neighbour_has(ChunkIndex chunk) { ++availability_[chunk]; }
  void on_neighbour_lost(const ChunkSet& held);
  /// `chunk` has been requested: it is not open until the request fails.
  void on_requested(ChunkIndex chunk) { open_.erase(chunk); }
  void on_request_failed(ChunkIndex chunk);
  /// @return whether `chunk` was new.
  bool on_received(ChunkIndex chunk);

  /// The best open chunk that `held` contains, or nullopt.
  std::optional<ChunkIndex> pick(const ChunkSet& held);

 private:
  ChunkSet have_;
  ChunkSet open_;
  std::vector<std::uint16_t> availability_;
  PickPolicy policy_;
  std::minstd_rand random_;
};

}  // namespace pumicemast
