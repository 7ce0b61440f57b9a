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

struct StartScheduleOptions {
  /// From the naming of a version until requests may no longer start on older ones.
  Duration changeover = seconds(8);
  /// Turns are spread between these shares of the changeover. The first is about when the
  /// first agents can have all of a version.
  double first_start_fraction = 0.45;
  double last_start_fraction = 0.86;
  /// Gateways know of a turn this long before, so that they send no long answers' requests.
  Duration notice = milliseconds(600);
  /// When the first version was named that is newer than what the engine serves, if that is not
  /// the one whose turn is planned.
  std::optional<TimePoint> first_newer_named_at;
};

/// Position of `self` in the order in which agents change over to `version`.
inline std::size_t changeover_rank(PeerId self, const std::vector<PeerId>& participants,
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
inline TimePoint scheduled_start(PeerId self, const std::vector<PeerId>& participants,
                                 std::uint64_t version, TimePoint named_at, TimePoint now,
                                 const StartScheduleOptions& options) {
  const auto total = static_cast<double>(std::max<std::size_t>(1, participants.size()));
  const double position = static_cast<double>(changeover_rank(self, participants, version)) / total;
  const auto time_at_fraction = [&](TimePoint named, double fraction) {
    const double offset = static_cast<double>(options.changeover.count()) * fraction;
    return named + Duration(static_cast<Duration::rep>(offset));
  };
  // An engine whose weights no request may start on any more has nothing to wait for.
  const TimePoint last_start =
      time_at_fraction(std::min(named_at, options.first_newer_named_at.value_or(named_at)),
                       options.last_start_fraction);
  const TimePoint first_start =
      std::min(last_start, time_at_fraction(named_at, options.first_start_fraction));
  const double offset = position * static_cast<double>((last_start - first_start).count());
  const TimePoint start = first_start + Duration(static_cast<Duration::rep>(offset));
  // Notice is worth having only while there is time.
  const TimePoint earliest = std::max(now, std::min(now + options.notice, last_start));
  return std::max(earliest, start);
}

}  // namespace pumicemast
