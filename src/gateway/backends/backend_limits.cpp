#include "gateway/backends/backend_limits.h"

namespace pumicemast {
namespace {

/// Answers overtake each other: one without a limit proves its end only so long after the last
/// that named it.
constexpr Duration kLiftDelay = seconds(1);

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

void BackendLimits::on_answer(const std::string& backend, const ResponseRateLimit& stated,
                              bool served, TimePoint asked_at, TimePoint now) {
  if (!stated.readable) {
    ++unreadable_;
    return;
  }
  if (stated.per_second) {
    note(backend, {stated.per_second, now}, LimitSource::answer);
    beliefs_[backend].confirm(now);
    return;
  }
  const RateLimit known = limit_of(backend);
  if (!known.is_limited() || !served) return;
  const bool asked_later = asked_at > known.observed_at;
  if (asked_later && now - known.observed_at >= kLiftDelay)
    note(backend, {{}, now}, LimitSource::answer);
}

void BackendLimits::on_told(const std::string& backend, const RateLimit& limit,
                            LimitSource source) {
  note(backend, limit, source);
}

void BackendLimits::note(const std::string& backend, const RateLimit& limit, LimitSource source) {
  if (!limit.is_limited() && !beliefs_.contains(backend)) return;
  if (beliefs_[backend].on_observed(limit)) changes_.push_back({backend, limit, source});
}

RateLimit BackendLimits::limit_of(const std::string& backend) const {
  const auto found = beliefs_.find(backend);
  return found == beliefs_.end() ? RateLimit{} : found->second.limit();
}

std::vector<std::string> BackendLimits::limited() const {
  std::vector<std::string> backends;
  for (const auto& [backend, belief] : beliefs_) {
    if (belief.limit().is_limited()) backends.push_back(backend);
  }
  return backends;
}

std::vector<LimitChange> BackendLimits::take_changes() {
  std::vector<LimitChange> changes = std::move(changes_);
  changes_.clear();
  return changes;
}

}  // namespace pumicemast
