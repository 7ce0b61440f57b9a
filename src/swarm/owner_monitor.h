/// Detects chunk owners that lag far behind the others and decides which agent takes over.
///
/// A decision core: no I/O. A machine that crashed, stalled or has a narrow link delays a whole
/// rollout by the few chunks it owns, long before chunks stop appearing altogether.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "swarm/chunk_set.h"
#include "swarm/owner_progress.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

class OwnerMonitor {
 public:
  /// @param self            this agent; it never counts as lagging.
  /// @param initially_held  chunks that were held before the download; they say nothing about their
  ///                        owners.
  OwnerMonitor(PeerId self, ChunkSet initially_held)
      : self_(self), initially_held_(std::move(initially_held)) {}

  /// Recomputes which owners lag.
  /// @param appeared  whether a chunk is held by this agent or a neighbour.
  void compare(const SwarmMembership& membership, const std::function<bool(ChunkIndex)>& appeared);
  const std::set<PeerId>& lagging() const { return lagging_; }

  /// Whether this agent is the first overall owner of `chunk` that does not lag, while all owners
  /// of better rank do.
  bool takes_over_origin_fetch(const SwarmMembership& membership, ChunkIndex chunk) const;
  /// The same for the owners within this agent's region.
  bool takes_over_region_fetch(const SwarmMembership& membership, ChunkIndex chunk) const;

 private:
  PeerId self_;
  ChunkSet initially_held_;
  std::set<PeerId> lagging_;
};

}  // namespace pumicemast
