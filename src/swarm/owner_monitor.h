/// Knows which owners of chunks lag far behind the others, and who steps in for them.
///
/// A decision core: no I/O. A machine that died, stands still or has a narrow link holds up a
/// whole rollout by the few chunks it owns, long before chunks stop appearing altogether.
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
  /// @param self             this agent; it is not judged.
  /// @param initially_held    chunks that came from elsewhere and are no owner's work.
  OwnerMonitor(PeerId self, ChunkSet initially_held)
      : self_(self), initially_held_(std::move(initially_held)) {}

  /// Compares the owners anew.
  /// @param appeared  whether a chunk is here or at a neighbour.
  void compare(const SwarmMembership& membership, const std::function<bool(ChunkIndex)>& appeared);
  const std::set<PeerId>& lagging() const { return lagging_; }

  /// Whether this agent is the first overall owner of `chunk` that does not lag, in place of one
  /// that does.
  bool takes_over_origin_fetch(const SwarmMembership& membership, ChunkIndex chunk) const;
  /// The same within this agent's region.
  bool takes_over_region_fetch(const SwarmMembership& membership, ChunkIndex chunk) const;

 private:
  PeerId self_;
  ChunkSet initially_held_;
  std::set<PeerId> lagging_;
};

}  // namespace pumicemast
