/// Peers of other regions that wait for chunks which this agent has to fetch from the origin.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "swarm/chunk_set.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

class ChunkSubscribers {
 public:
  void add(ChunkIndex chunk, PeerId peer) { waiting_[chunk].push_back(peer); }
  void cancel(ChunkIndex chunk, PeerId peer) {
    const auto found = waiting_.find(chunk);
    if (found != waiting_.end()) std::erase(found->second, peer);
  }
  /// Returns and removes the peers that wait for `chunk`, which is held now.
  std::vector<PeerId> take(ChunkIndex chunk) {
    auto node = waiting_.extract(chunk);
    return node.empty() ? std::vector<PeerId>{} : std::move(node.mapped());
  }

 private:
  std::map<ChunkIndex, std::vector<PeerId>> waiting_;
};

}  // namespace pumicemast
