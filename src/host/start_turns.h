/// When each engine may leave service to change over to new weights.
///
/// A decision core: no I/O. An engine that changes over first finishes what it runs and takes
/// nothing new, so that all at once would leave the fleet without room. Every agent computes
/// its own turn from the same list; nobody hands turns out.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "common/hash.h"
#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct StartTurnOptions {
  /// From the naming of a version until requests may no longer start on older ones.
  Duration changeover = seconds(8);
  /// Turns are spread over what is left until this share of the changeover.
  double last_turn_share = 0.8;
};

/// @param self          this engine's agent.
/// @param participants  all agents of the service.
/// @param named_at      when the version was named, as far as it is known here.
/// @param now           its weights are complete and verified from now on.
/// @return when this engine starts the version: at once when the changeover is nearly over.
inline TimePoint start_turn(PeerId self, const std::vector<PeerId>& participants,
                            std::uint64_t version, TimePoint named_at, TimePoint now,
                            const StartTurnOptions& options) {
  const std::uint64_t own = stable_hash(self, version);
  const auto before = std::count_if(participants.begin(), participants.end(), [&](PeerId other) {
    return other != self && stable_hash(other, version) < own;
  });
  const auto total = std::max<std::size_t>(1, participants.size());
  const auto span = static_cast<Duration::rep>(static_cast<double>(options.changeover.count()) *
                                               options.last_turn_share);
  const TimePoint last = named_at + Duration(span);
  if (last <= now) return now;
  const double share = static_cast<double>(before) / static_cast<double>(total);
  return now +
         Duration(static_cast<Duration::rep>(static_cast<double>((last - now).count()) * share));
}

}  // namespace pumicemast
