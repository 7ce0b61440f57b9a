/// When each engine may leave service to change over to new weights.
///
/// A decision core: no I/O. An engine that changes over first finishes what it runs and takes
/// nothing new, so that all at once would leave the fleet without room. Every agent computes
/// its own turn from the same list; nobody hands turns out.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/hash.h"
#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct StartTurnOptions {
  /// From the naming of a version until requests may no longer start on older ones.
  Duration changeover = seconds(8);
  /// Turns are spread between these shares of the changeover. The first is about when the
  /// first agents can have all of a version.
  double first_turn_share = 0.45;
  double last_turn_share = 0.86;
  /// Gateways know of a turn this long before, so that they send no long answers' requests.
  Duration notice = milliseconds(600);
  /// When the first version was named that is newer than what the engine serves, if that is not
  /// the one whose turn is planned.
  std::optional<TimePoint> older_named_at;
};

/// Position of `self` in the order in which agents change over to `version`.
inline std::size_t turn_rank(PeerId self, const std::vector<PeerId>& participants,
                             std::uint64_t version) {
  const std::uint64_t own = stable_hash(self, version);
  return static_cast<std::size_t>(std::count_if(
      participants.begin(), participants.end(),
      [&](PeerId other) { return other != self && stable_hash(other, version) < own; }));
}

/// @param self          this engine's agent.
/// @param participants  all agents of the service.
/// @param named_at      when the version was named, as far as it is known here.
/// @param now           its weights are complete and verified from now on.
/// @return when this engine starts the version: at once when its turn has passed.
inline TimePoint start_turn(PeerId self, const std::vector<PeerId>& participants,
                            std::uint64_t version, TimePoint named_at, TimePoint now,
                            const StartTurnOptions& options) {
  const auto total = static_cast<double>(std::max<std::size_t>(1, participants.size()));
  const double position = static_cast<double>(turn_rank(self, participants, version)) / total;
  const auto share_of = [&](TimePoint named, double share) {
    const double offset = static_cast<double>(options.changeover.count()) * share;
    return named + Duration(static_cast<Duration::rep>(offset));
  };
  // An engine whose weights no request may start on any more has nothing to wait for.
  const TimePoint last_turn = share_of(
      std::min(named_at, options.older_named_at.value_or(named_at)), options.last_turn_share);
  const TimePoint first_turn = std::min(last_turn, share_of(named_at, options.first_turn_share));
  const double offset = position * static_cast<double>((last_turn - first_turn).count());
  const TimePoint turn = first_turn + Duration(static_cast<Duration::rep>(offset));
  // Notice is worth having only while there is time.
  const TimePoint earliest = std::max(now, std::min(now + options.notice, last_turn));
  return std::max(earliest, turn);
}

}  // namespace pumicemast
