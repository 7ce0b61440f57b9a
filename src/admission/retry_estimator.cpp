#include "admission/retry_estimator.h"

#include <algorithm>
#include <cmath>

namespace pumicemast {
namespace {

/// Deadlines within one step count as equal: those of first attempts differ by the network delay
/// from the caller.
constexpr Duration kStep = milliseconds(20);
/// A deadline stated by at least this share of a group's requests is one that its callers start
/// with. The deadlines of retries spread over a second, while those of first attempts fall into one
/// step.
constexpr double kUsualShare = 0.1;
/// A smaller number of requests within one step may be coincidence.
constexpr double kMinimumUsualCount = 6;
/// Nothing is concluded from fewer requests. One of 39 gateways in front of 47 engines has seen
/// this many for a service within two seconds of its start; for a single route it would take much
/// longer.
constexpr double kMinimumHistory = 20;
/// At this weight of a group's history all its weights are halved.
constexpr double kMaximumHistory = 1000;
constexpr double kNegligible = 0.5;
/// Retries come a little later than advised, because of network delay and the callers' own clocks.
constexpr std::int64_t kNeighbouringSteps = 4;
/// Minimum share of advised retries among all requests that state such a deadline. Callers also
/// retry at gateways that did not refuse them, and not every caller retries.
constexpr double kAdvisedShare = 0.3;
/// Fewer advised retries are not conclusive.
constexpr double kMinimumAdvice = 3;
/// Groups change with configurations; at this number of groups all history is discarded.
constexpr std::size_t kMaximumGroups = 1000;

}  // namespace

void RetryEstimator::halve_weights(History& history) {
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
  for (auto& [step, advised] : history.advised) {
    advised.weight /= 2;
    advised.waited_ms /= 2;
  }
  std::erase_if(history.advised,
                [](const auto& entry) { return entry.second.weight < kNegligible; });
}

void RetryEstimator::on_request(const std::string& group, Duration stated) {
  if (groups_.size() >= kMaximumGroups && !groups_.contains(group)) groups_.clear();
  History& history = groups_[group];
  history.weights[stated / kStep] += 1;
  history.total += 1;
  if (history.total >= kMaximumHistory) halve_weights(history);
}

void RetryEstimator::on_retry_advised(const std::string& group, Duration left, Duration waited) {
  const auto found = groups_.find(group);
  if (found == groups_.end() || left <= Duration::zero()) return;
  AdvisedRetries& advised = found->second.advised[left / kStep];
  advised.weight += 1;
  advised.waited_ms += to_fractional_milliseconds(waited);
}

bool RetryEstimator::is_usual(const History& history, std::int64_t step) {
  const auto entry = history.weights.find(step);
  return entry != history.weights.end() &&
         entry->second >= std::max(kMinimumUsualCount, history.total * kUsualShare);
}

Duration RetryEstimator::wait_from_usual_time(const History& history, Duration stated) {
  // The next higher usual deadline is the one that the caller started with.
  for (auto entry = history.weights.lower_bound(stated / kStep); entry != history.weights.end();
       ++entry) {
    if (!is_usual(history, entry->first)) continue;
    const Duration initial = kStep * entry->first;
    return std::max(Duration::zero(), initial - stated);
  }
  return Duration::zero();
}

Duration RetryEstimator::wait_from_advised(const History& history, Duration stated) {
  const std::int64_t step = stated / kStep;
  double observed = 0;
  AdvisedRetries advised;
  for (std::int64_t neighbour = step - kNeighbouringSteps; neighbour <= step + kNeighbouringSteps;
       ++neighbour) {
    const auto weight = history.weights.find(neighbour);
    if (weight != history.weights.end()) observed += weight->second;
    const auto entry = history.advised.find(neighbour);
    if (entry == history.advised.end()) continue;
    advised.weight += entry->second.weight;
    advised.waited_ms += entry->second.waited_ms;
  }
  // Lower estimate that allows for chance: one standard deviation below the count.
  const double lowest = advised.weight - std::sqrt(advised.weight);
  if (advised.weight < kMinimumAdvice || lowest < observed * kAdvisedShare) return Duration::zero();
  return from_seconds(advised.waited_ms / advised.weight / 1000);
}

Duration RetryEstimator::estimated_wait(const std::string& group, Duration stated) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.total < kMinimumHistory) return Duration::zero();
  const History& history = found->second;
  if (is_usual(history, stated / kStep)) return Duration::zero();
  const Duration waited = wait_from_usual_time(history, stated);
  return waited > Duration::zero() ? waited : wait_from_advised(history, stated);
}

}  // namespace pumicemast
