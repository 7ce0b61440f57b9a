/// Chooses the next chunk to ask a neighbour for: the one that fewest neighbours hold.
///
/// Rarest first keeps every chunk spreading, so that towards the end each agent still has
/// something that its neighbours lack. Ties are broken at random, since agents that all
/// prefer the same chunk would leave the others' uplinks idle.
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
  /// Chunks that are neither held nor on their way.
  const ChunkSet& open() const { return open_; }
  std::uint32_t availability(ChunkIndex chunk) const { return availability_[chunk]; }

  void on_neighbour_has(ChunkIndex chunk) { ++availability_[chunk]; }
  void on_neighbour_lost(const ChunkSet& held);
  /// `chunk` was asked for: it is not open until it arrives or fails.
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
