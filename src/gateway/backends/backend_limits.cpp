#include "gateway/backends/backend_limits.h"

namespace pumicemast {
namespace {

/// A response without a limit ends a known limit only if it arrives at least this long after the
/// last response that stated the limit, because responses may overtake each other.
constexpr Duration kLimitRemovalDelay = seconds(1);

}  // namespace

const char* to_string(LimitSource source) {
  switch (source) {
    case LimitSource::answer:
      return "answer";
    case LimitSource::agent:
      return "agent";
    case LimitSource::gateway:
      return "gateway";
  }
  return "unknown";
}

void BackendLimits::on_response(const std::string& backend, const ResponseRateLimit& stated,
                                bool served, TimePoint sent_at, TimePoint now) {
  if (!stated.readable) {
    ++unreadable_;
    return;
  }
  if (stated.per_second) {
    update_limit(backend, {stated.per_second, now}, LimitSource::answer);
    trackers_[backend].confirm(now);
    return;
  }
  const RateLimit known = limit_of(backend);
  if (!known.is_limited() || !served) return;
  const bool sent_later = sent_at > known.observed_at;
  if (sent_later && now - known.observed_at >= kLimitRemovalDelay)
    update_limit(backend, {{}, now}, LimitSource::answer);
}

void BackendLimits::on_reported(const std::string& backend, const RateLimit& limit,
                                LimitSource source) {
  update_limit(backend, limit, source);
}

void BackendLimits::update_limit(const std::string& backend, const RateLimit& limit,
                                 LimitSource source) {
  if (!limit.is_limited() && !trackers_.contains(backend)) return;
  if (trackers_[backend].on_observed(limit)) changes_.push_back({backend, limit, source});
}

RateLimit BackendLimits::limit_of(const std::string& backend) const {
  const auto found = trackers_.find(backend);
  return found == trackers_.end() ? RateLimit{} : found->second.limit();
}

std::vector<std::string> BackendLimits::limited() const {
  std::vector<std::string> backends;
  for (const auto& [backend, tracker] : trackers_) {
    if (tracker.limit().is_limited()) backends.push_back(backend);
  }
  return backends;
}

std::vector<LimitChange> BackendLimits::take_changes() {
  std::vector<LimitChange> changes = std::move(changes_);
  changes_.clear();
  return changes;
}

}  // namespace pumicemast
