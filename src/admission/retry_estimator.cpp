#include "admission/stated_times.h"

#include <algorithm>
#include <cmath>

namespace pumicemast {
namespace {

/// Stated times within one step count as equal: first attempts differ by the way from the caller.
constexpr Duration kStep = milliseconds(20);
/// A time that so large a share of a group's requests state is one that its callers begin with.
/// Callers that come back spread over a second, first attempts all fall into one step.
constexpr double kUsualShare = 0.1;
/// Fewer within one step may be there by chance.
constexpr double kLeastUsual = 6;
/// With fewer requests than this nothing is concluded. A gateway of 39 before 47 engines has seen
/// so many for a service within two seconds of its start; of one route it would take many more.
constexpr double kLeastHistory = 20;
/// When a group's history has grown to so many requests, half of its weight is forgotten.
constexpr double kLongestHistory = 1000;
constexpr double kNegligible = 0.5;
/// Callers come back a little later than they were told, by the way and by their own clocks.
constexpr std::int64_t kStepsAround = 4;
/// Of all that state such a time, those that were told to state it by then. Others come back to
/// this gateway than it has told, and not all that were told come.
constexpr double kToldShare = 0.3;
/// Fewer that were told say nothing.
constexpr double kLeastTold = 3;
/// Groups come and go with configurations; beyond so many all are learnt anew.
constexpr std::size_t kMostGroups = 1000;

}  // namespace

void StatedTimes::forget_half(History& history) {
  for (auto entry = history.weights.begin(); entry != history.weights.end();) {
    entry->second /= 2;
    history.total -= entry->second;
    if (entry->second >= kNegligible) {
      ++entry;
      continue;
    }
    history.total -= entry->second;
    entry = history.weights.erase(entry);
  }
  for (auto& [step, told] : history.told) {
    told.weight /= 2;
    told.waited_ms /= 2;
  }
  std::erase_if(history.told, [](const auto& entry) { return entry.second.weight < kNegligible; });
}

void StatedTimes::note(const std::string& group, Duration stated) {
  if (groups_.size() >= kMostGroups && !groups_.contains(group)) groups_.clear();
  History& history = groups_[group];
  history.weights[stated / kStep] += 1;
  history.total += 1;
  if (history.total >= kLongestHistory) forget_half(history);
}

void StatedTimes::note_told(const std::string& group, Duration left, Duration waited) {
  const auto found = groups_.find(group);
  if (found == groups_.end() || left <= Duration::zero()) return;
  Told& told = found->second.told[left / kStep];
  told.weight += 1;
  told.waited_ms += to_fractional_milliseconds(waited);
}

bool StatedTimes::usual(const History& history, std::int64_t step) {
  const auto entry = history.weights.find(step);
  return entry != history.weights.end() &&
         entry->second >= std::max(kLeastUsual, history.total * kUsualShare);
}

Duration StatedTimes::since_usual_time(const History& history, Duration stated) {
  // The next of the usual times is the one that the caller began with.
  for (auto entry = history.weights.lower_bound(stated / kStep); entry != history.weights.end();
       ++entry) {
    if (!usual(history, entry->first)) continue;
    const Duration began_with = kStep * entry->first;
    return std::max(Duration::zero(), began_with - stated);
  }
  return Duration::zero();
}

Duration StatedTimes::since_told(const History& history, Duration stated) {
  const std::int64_t step = stated / kStep;
  double observed = 0;
  Told told;
  for (std::int64_t near = step - kStepsAround; near <= step + kStepsAround; ++near) {
    const auto weight = history.weights.find(near);
    if (weight != history.weights.end()) observed += weight->second;
    const auto entry = history.told.find(near);
    if (entry == history.told.end()) continue;
    told.weight += entry->second.weight;
    told.waited_ms += entry->second.waited_ms;
  }
  // So many at least, but for chance.
  const double certain = told.weight - std::sqrt(told.weight);
  if (told.weight < kLeastTold || certain < observed * kToldShare) return Duration::zero();
  return from_seconds(told.waited_ms / told.weight / 1000);
}

Duration StatedTimes::already_waited(const std::string& group, Duration stated) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.total < kLeastHistory) return Duration::zero();
  const History& history = found->second;
  if (usual(history, stated / kStep)) return Duration::zero();
  const Duration waited = since_usual_time(history, stated);
  return waited > Duration::zero() ? waited : since_told(history, stated);
}

}  // namespace pumicemast
