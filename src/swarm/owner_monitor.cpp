#include "swarm/owner_monitor.h"

#include <map>

namespace pumicemast {
namespace {

/// Whether owners of better ranks exist and all lag, and `self` is the first owner that does not.
template <class OwnerOfRank>
bool is_first_healthy_successor(PeerId self, const std::set<PeerId>& lagging,
                                OwnerOfRank owner_of_rank) {
  std::size_t rank = 0;
  const SwarmParticipant* owner = owner_of_rank(rank);
  while (owner != nullptr && lagging.contains(owner->id)) owner = owner_of_rank(++rank);
  return rank > 0 && owner != nullptr && owner->id == self;
}

}  // namespace

void OwnerMonitor::compare(const SwarmMembership& membership,
                           const std::function<bool(ChunkIndex)>& appeared) {
  const std::uint32_t region = membership.find(self_)->region;
  std::map<PeerId, OwnerProgress> overall;
  std::map<PeerId, OwnerProgress> regional;
  const auto count = [](std::map<PeerId, OwnerProgress>& owners, const SwarmParticipant* owner,
                        bool has_appeared) {
    if (owner == nullptr) return;
    OwnerProgress& progress = owners[owner->id];
    ++progress.owned;
    if (has_appeared) ++progress.appeared;
  };
  for (ChunkIndex chunk = 0; chunk < initially_held_.size(); ++chunk) {
    if (initially_held_.contains(chunk)) continue;
    const bool has_appeared = appeared(chunk);
    count(overall, membership.owner(chunk, 0), has_appeared);
    count(regional, membership.region_owner(chunk, region, 0), has_appeared);
  }
  lagging_ = find_lagging_owners(overall);
  lagging_.merge(find_lagging_owners(regional));
  lagging_.erase(self_);
}

bool OwnerMonitor::takes_over_origin_fetch(const SwarmMembership& membership,
                                           ChunkIndex chunk) const {
  return is_first_healthy_successor(
      self_, lagging_, [&](std::size_t rank) { return membership.owner(chunk, rank); });
}

bool OwnerMonitor::takes_over_region_fetch(const SwarmMembership& membership,
                                           ChunkIndex chunk) const {
  const std::uint32_t region = membership.find(self_)->region;
  return is_first_healthy_successor(self_, lagging_, [&](std::size_t rank) {
    return membership.region_owner(chunk, region, rank);
  });
}

}  // namespace pumicemast
