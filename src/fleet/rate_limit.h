/// The request rate that a back end accepts from all gateways together, as it advertises it.
#pragma once

#include <algorithm>
#include <optional>

#include "common/time.h"

namespace pumicemast {

/// What the headers of one response say about the limit.
struct ResponseRateLimit {
  bool readable = true;              ///< False when a limit is advertised that is not a valid rate.
  std::optional<double> per_second;  ///< Empty when none is advertised.
};

/// A limit, or the fact that there is none, and the time when this was observed.
struct RateLimit {
  std::optional<double> per_second;  ///< Empty when there is no limit.
  TimePoint observed_at{};           ///< Arrival time of the response, by this process's clock.

  bool is_limited() const { return per_second.has_value(); }
};

/// A limit that applies while a back end is cold.
struct ColdLimit {
  double per_second = 0;
  TimePoint until{};

  bool operator==(const ColdLimit&) const = default;
};

/// Keeps the newest observation of one back end's limit.
class RateLimitTracker {
 public:
  /// Observations may arrive out of order and by several paths; the newest one applies.
  /// @return whether the limit has changed.
  bool on_observed(const RateLimit& limit) {
    // The age of an observation becomes less accurate with each process that relays it, so the
    // first time at which a limit was observed is kept.
    if (limit.per_second == limit_.per_second) return false;
    if (limit.observed_at <= limit_.observed_at) return false;
    limit_ = limit;
    return true;
  }
  /// A response to this process has advertised the same limit again.
  void confirm(TimePoint at) { limit_.observed_at = std::max(limit_.observed_at, at); }
  const RateLimit& limit() const { return limit_; }

 private:
  RateLimit limit_;
};

}  // namespace pumicemast
