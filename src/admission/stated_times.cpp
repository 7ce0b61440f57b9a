#include "admission/stated_times.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Stated times within one step count as equal: first attempts differ by the way from the caller.
constexpr Duration kStep = milliseconds(20);
/// A time that so large a share of a group's requests state is one that its callers begin with.
/// Callers that come back spread over a second, first attempts all fall into one step.
constexpr double kUsualShare = 0.1;
/// With fewer requests than this nothing is concluded. A gateway of 39 before 47 engines has seen
/// so many for a service within two seconds of its start; of one route it would take many more.
constexpr double kLeastHistory = 20;
/// When a group's history has grown to so many requests, half of its weight is forgotten.
constexpr double kLongestHistory = 1000;
constexpr double kNegligible = 0.5;
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
}

void StatedTimes::note(const std::string& group, Duration stated) {
  if (groups_.size() >= kMostGroups && !groups_.contains(group)) groups_.clear();
  History& history = groups_[group];
  history.weights[stated / kStep] += 1;
  history.total += 1;
  if (history.total >= kLongestHistory) forget_half(history);
}

Duration StatedTimes::already_waited(const std::string& group, Duration stated) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.total < kLeastHistory) return Duration::zero();
  const History& history = found->second;
  const double usual = history.total * kUsualShare;
  // The next of the usual times is the one that the caller began with.
  for (auto entry = history.weights.lower_bound(stated / kStep); entry != history.weights.end();
       ++entry) {
    if (entry->second < usual) continue;
    const Duration began_with = kStep * entry->first;
    return std::max(Duration::zero(), began_with - stated);
  }
  return Duration::zero();
}

}  // namespace pumicemast
