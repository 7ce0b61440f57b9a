#include "gateway/backends/backend_pushbacks.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Shortest time between two requests after a pause, until one is accepted. A refusal arrives
/// within a few milliseconds, also from another region.
constexpr Duration kTrialInterval = milliseconds(100);
/// A back end without requests for this time after a pause is used like any other again.
constexpr Duration kTrialPeriod = seconds(30);

}  // namespace

bool BackendPushbacks::on_pushback(const BackendIncarnation& backend, Duration pause,
                                   TimePoint now) {
  const bool was_paused = paused(backend, now);
  TimePoint& until = pauses_[backend].until;
  until = std::max(until, now + pause);
  return !was_paused;
}

void BackendPushbacks::on_accepted(const BackendIncarnation& backend, TimePoint sent_at) {
  const auto found = pauses_.find(backend);
  // Responses to requests from before the pause say nothing about its end.
  if (found != pauses_.end() && sent_at >= found->second.until) pauses_.erase(found);
}

void BackendPushbacks::on_sent(const BackendIncarnation& backend, TimePoint now) {
  const auto found = pauses_.find(backend);
  if (found != pauses_.end()) found->second.next_trial_at = now + kTrialInterval;
}

TimePoint BackendPushbacks::admits_from(const BackendIncarnation& backend) const {
  const auto found = pauses_.find(backend);
  if (found == pauses_.end()) return TimePoint{};
  return std::max(found->second.until, found->second.next_trial_at);
}

bool BackendPushbacks::admits(const BackendIncarnation& backend, TimePoint now) const {
  return now >= admits_from(backend);
}

bool BackendPushbacks::paused(const BackendIncarnation& backend, TimePoint now) const {
  const auto found = pauses_.find(backend);
  return found != pauses_.end() && now < found->second.until;
}

std::size_t BackendPushbacks::paused_count(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(pauses_.begin(), pauses_.end(),
                    [now](const auto& entry) { return now < entry.second.until; }));
}

void BackendPushbacks::sweep(TimePoint now) {
  std::erase_if(pauses_,
                [now](const auto& entry) { return now >= entry.second.until + kTrialPeriod; });
}

}  // namespace pumicemast
