/// Computes when each engine may leave service to change over to new weights.
///
/// A decision core: no I/O. An engine that changes over first finishes its running requests and
/// accepts no new ones, so that changing all engines at once would leave the fleet without
/// capacity. Every agent computes its own start time from the same list; there is no coordinator.
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
  /// Start times are spread between these fractions of the changeover. The first is about when the
  /// earliest agents can have a complete version.
  double first_start_fraction = 0.45;
  double last_start_fraction = 0.86;
  /// Gateways know the start time this long in advance, so that they send the engine no requests
  /// with long responses.
  Duration notice = milliseconds(600);
  /// When the first version newer than the served one was named, if that is not the version to
  /// start.
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
/// @param now           when its weights are complete and verified.
/// @return when this engine starts the version: at once if its time in the schedule has passed.
inline TimePoint scheduled_start(PeerId self, const std::vector<PeerId>& participants,
                                 std::uint64_t version, TimePoint named_at, TimePoint now,
                                 const StartScheduleOptions& options) {
  const auto total = static_cast<double>(std::max<std::size_t>(1, participants.size()));
  const double position = static_cast<double>(changeover_rank(self, participants, version)) / total;
  const auto time_at_fraction = [&](TimePoint named, double fraction) {
    const double offset = static_cast<double>(options.changeover.count()) * fraction;
    return named + Duration(static_cast<Duration::rep>(offset));
  };
  // An engine on whose weights requests may no longer start has nothing to wait for.
  const TimePoint last_start =
      time_at_fraction(std::min(named_at, options.first_newer_named_at.value_or(named_at)),
                       options.last_start_fraction);
  const TimePoint first_start =
      std::min(last_start, time_at_fraction(named_at, options.first_start_fraction));
  const double offset = position * static_cast<double>((last_start - first_start).count());
  const TimePoint start = first_start + Duration(static_cast<Duration::rep>(offset));
  // The notice does not delay a start beyond the last one of the schedule.
  const TimePoint earliest = std::max(now, std::min(now + options.notice, last_start));
  return std::max(earliest, start);
}

}  // namespace pumicemast
