#include "gateway/backends/backend_pushbacks.h"

#include <algorithm>

namespace pumicemast {

bool BackendPushbacks::on_pushback(const BackendIncarnation& backend, Duration pause,
                                   TimePoint now) {
  const bool was_paused = paused(backend, now);
  TimePoint& until = paused_until_[backend];
  until = std::max(until, now + pause);
  return !was_paused;
}

bool BackendPushbacks::paused(const BackendIncarnation& backend, TimePoint now) const {
  const auto found = paused_until_.find(backend);
  return found != paused_until_.end() && now < found->second;
}

std::size_t BackendPushbacks::paused_count(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(paused_until_.begin(), paused_until_.end(),
                    [now](const auto& entry) { return now < entry.second; }));
}

void BackendPushbacks::sweep(TimePoint now) {
  std::erase_if(paused_until_, [now](const auto& entry) { return now >= entry.second; });
}

}  // namespace pumicemast
