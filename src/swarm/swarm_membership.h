/// Participants in the distribution of one version, their neighbours and the owners of chunks.
///
/// Every agent computes the same result from the same list, so no coordinator is needed. Immutable;
/// each change of the list creates a new object.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "weights/manifest.h"

namespace pumicemast {

/// Stable hash of a machine's name.
using PeerId = std::uint64_t;

struct SwarmParticipant {
  PeerId id = 0;
  std::uint32_t region = 0;
  std::uint32_t zone = 0;
  bool operator==(const SwarmParticipant&) const = default;
};

class SwarmMembership {
 public:
  /// @param seed         hash of the version's digest, so that each version has different owners.
  /// @param chunk_count  if not 0, no member owns more than an even share of this many chunks, both
  ///                     in its region and of the fetches from the origin. With few chunks per
  ///                     member, hashing alone gives the largest owner about twice the mean, and
  ///                     all members wait for its link. The drawback: when a member is removed,
  ///                     some chunks of the remaining members move too. Use 0 when there are many
  ///                     chunks per member.
  SwarmMembership(std::vector<SwarmParticipant> participants, std::uint64_t seed,
                  ChunkIndex chunk_count = 0);

  const SwarmParticipant* find(PeerId id) const;
  std::size_t size() const { return by_id_.size(); }
  std::size_t region_count() const { return region_rings_.size(); }
  /// Members of `self`'s region that exchange chunks with it: about 2·log2(region size), chosen by
  /// distance on the region's ring, so that the relation is symmetric.
  std::vector<PeerId> neighbours(PeerId self) const;
  /// The `rank`-th owner of `chunk` among all members; rank 0 fetches it from the origin. Null when
  /// there are not enough members.
  const SwarmParticipant* owner(ChunkIndex chunk, std::size_t rank) const;
  /// The `rank`-th owner of `chunk` within `region`; rank 0 fetches it into the region. In the
  /// overall owner's region, rank 0 is the overall owner.
  const SwarmParticipant* region_owner(ChunkIndex chunk, std::uint32_t region,
                                       std::size_t rank) const;

 private:
  /// A consistent-hash ring; several points per member even out the shares.
  struct Ring {
    std::vector<std::pair<std::uint64_t, PeerId>> points;
    std::vector<PeerId> members;  ///< In the order of their first points on the ring.
    PeerId at(std::uint64_t position, std::size_t rank) const;
    /// The first member at or after `position` that `accepts` returns true for; 0 if there is none.
    template <class Accepts>
    PeerId first_from(std::uint64_t position, Accepts accepts) const;
  };
  /// First owners of one chunk when shares are bounded.
  struct FirstOwners {
    PeerId overall = 0;
    std::map<std::uint32_t, PeerId> by_region;
  };
  static Ring build_ring(const std::vector<PeerId>& ids, std::uint64_t seed);
  std::uint64_t position(ChunkIndex chunk) const;
  /// The `rank`-th member of `ring` for `chunk`. If `first` is not 0, it has rank 0 and the other
  /// members follow in the ring's order.
  const SwarmParticipant* ranked(const Ring& ring, ChunkIndex chunk, std::size_t rank,
                                 PeerId first) const;
  void assign_even_shares(ChunkIndex chunk_count);

  std::uint64_t seed_;
  std::map<PeerId, SwarmParticipant> by_id_;
  Ring ring_;
  std::map<std::uint32_t, Ring> region_rings_;
  std::vector<FirstOwners> first_owners_;  ///< By chunk; empty when shares are not bounded.
};

}  // namespace pumicemast
