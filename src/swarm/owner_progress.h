/// Finds owners that fetch their chunks much more slowly than the other owners do.
///
/// A pure function: no I/O, no time. A machine that crashed, stalled or has a narrow link delays a
/// whole rollout by the few chunks it owns, long before chunks stop appearing altogether.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "swarm/swarm_membership.h"

namespace pumicemast {

/// How many of an owner's chunks have appeared in the neighbourhood.
struct OwnerProgress {
  std::uint32_t owned = 0;
  std::uint32_t appeared = 0;
};

/// @param owners  progress by owner; each chunk counts for one owner.
/// @return owners with so little progress, compared with the others, that chance is an unlikely
///         cause.
std::set<PeerId> find_lagging_owners(const std::map<PeerId, OwnerProgress>& owners);

}  // namespace pumicemast
