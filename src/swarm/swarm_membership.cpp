#include "swarm/swarm_membership.h"

#include <algorithm>
#include <cassert>
#include <set>

#include "common/hash.h"

namespace pumicemast {
namespace {

/// More points even out the owners' shares; with 16 the largest share is about twice the mean.
constexpr std::uint64_t kPointsPerMember = 16;
/// Regions up to this size form a full mesh.
constexpr std::size_t kFullMeshSize = 12;

}  // namespace

SwarmMembership::Ring SwarmMembership::build_ring(const std::vector<PeerId>& ids,
                                                  std::uint64_t seed) {
  Ring ring;
  for (const PeerId id : ids) {
    for (std::uint64_t point = 0; point < kPointsPerMember; ++point) {
      ring.points.emplace_back(stable_hash(id ^ seed, point), id);
    }
  }
  std::sort(ring.points.begin(), ring.points.end());
  std::set<PeerId> seen;
  for (const auto& [position, id] : ring.points) {
    if (seen.insert(id).second) ring.members.push_back(id);
  }
  return ring;
}

SwarmMembership::SwarmMembership(std::vector<SwarmParticipant> participants, std::uint64_t seed,
                                 ChunkIndex chunk_count)
    : seed_(seed) {
  std::vector<PeerId> all;
  std::map<std::uint32_t, std::vector<PeerId>> per_region;
  for (const SwarmParticipant& participant : participants) {
    if (!by_id_.emplace(participant.id, participant).second) continue;
    all.push_back(participant.id);
    per_region[participant.region].push_back(participant.id);
  }
  ring_ = build_ring(all, seed);
  for (const auto& [region, ids] : per_region) region_rings_[region] = build_ring(ids, seed);
  if (!by_id_.empty()) assign_even_shares(chunk_count);
}

void SwarmMembership::assign_even_shares(ChunkIndex chunk_count) {
  const auto share_of = [&](std::size_t members) { return (chunk_count + members - 1) / members; };
  std::map<PeerId, std::size_t> owned;
  std::map<PeerId, std::size_t> origin_fetches;
  first_owners_.reserve(chunk_count);
  for (ChunkIndex chunk = 0; chunk < chunk_count; ++chunk) {
    FirstOwners owners;
    for (const auto& [region, ring] : region_rings_) {
      const std::size_t share = share_of(ring.members.size());
      const PeerId candidate =
          ring.first_from(position(chunk), [&](PeerId id) { return owned[id] < share; });
      assert(candidate != 0);
      ++owned[candidate];
      owners.by_region[region] = candidate;
    }
    // The overall owner is one of the regional owners; this saves one transfer to its own region.
    const auto least_loaded = std::min_element(
        owners.by_region.begin(), owners.by_region.end(), [&](const auto& left, const auto& right) {
          return std::pair(origin_fetches[left.second], stable_hash(seed_ ^ left.second, chunk)) <
                 std::pair(origin_fetches[right.second], stable_hash(seed_ ^ right.second, chunk));
        });
    owners.overall = least_loaded->second;
    ++origin_fetches[owners.overall];
    first_owners_.push_back(std::move(owners));
  }
}

const SwarmParticipant* SwarmMembership::find(PeerId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &found->second;
}

std::vector<PeerId> SwarmMembership::neighbours(PeerId self) const {
  const SwarmParticipant* participant = find(self);
  if (participant == nullptr) return {};
  const std::vector<PeerId>& members = region_rings_.at(participant->region).members;
  const std::size_t count = members.size();
  const auto own =
      static_cast<std::size_t>(std::find(members.begin(), members.end(), self) - members.begin());
  std::vector<PeerId> neighbours;
  const auto add = [&](std::size_t index) {
    const PeerId id = members[index % count];
    if (id == self) return;
    if (std::find(neighbours.begin(), neighbours.end(), id) == neighbours.end()) {
      neighbours.push_back(id);
    }
  };
  if (count <= kFullMeshSize) {
    for (std::size_t index = 0; index < count; ++index) add(index);
    return neighbours;
  }
  for (std::size_t distance = 1; distance <= count / 2; distance *= 2) {
    add(own + distance);
    add(own + count - distance);
  }
  return neighbours;
}

template <class Accepts>
PeerId SwarmMembership::Ring::first_from(std::uint64_t position, Accepts accepts) const {
  auto point = std::lower_bound(points.begin(), points.end(), std::pair{position, PeerId{0}});
  for (std::size_t step = 0; step < points.size(); ++step, ++point) {
    if (point == points.end()) point = points.begin();
    if (accepts(point->second)) return point->second;
  }
  return 0;
}

PeerId SwarmMembership::Ring::at(std::uint64_t position, std::size_t rank) const {
  if (rank >= members.size()) return 0;
  std::vector<PeerId> passed;
  return first_from(position, [&](PeerId id) {
    if (std::find(passed.begin(), passed.end(), id) != passed.end()) return false;
    passed.push_back(id);
    return passed.size() > rank;
  });
}

std::uint64_t SwarmMembership::position(ChunkIndex chunk) const {
  return stable_hash(seed_, std::uint64_t{chunk});
}

const SwarmParticipant* SwarmMembership::ranked(const Ring& ring, ChunkIndex chunk,
                                                std::size_t rank, PeerId first) const {
  if (rank >= ring.members.size()) return nullptr;
  if (first == 0) return find(ring.at(position(chunk), rank));
  if (rank == 0) return find(first);
  // Members before `first` in the ring's order move back by one rank.
  std::size_t ring_rank = 0;
  while (ring_rank < rank && ring.at(position(chunk), ring_rank) != first) ++ring_rank;
  return find(ring.at(position(chunk), ring_rank < rank ? rank : rank - 1));
}

const SwarmParticipant* SwarmMembership::owner(ChunkIndex chunk, std::size_t rank) const {
  const bool bounded = chunk < first_owners_.size();
  return ranked(ring_, chunk, rank, bounded ? first_owners_[chunk].overall : 0);
}

const SwarmParticipant* SwarmMembership::region_owner(ChunkIndex chunk, std::uint32_t region,
                                                      std::size_t rank) const {
  const auto found = region_rings_.find(region);
  if (found == region_rings_.end()) return nullptr;
  // Both rings use the same points for a member, so the overall owner also comes first in its
  // region.
  const bool bounded = chunk < first_owners_.size();
  return ranked(found->second, chunk, rank,
                bounded ? first_owners_[chunk].by_region.at(region) : 0);
}

}  // namespace pumicemast
