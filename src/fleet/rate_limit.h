/// The request rate that a back end accepts from all gateways together, as it names it itself.
#pragma once

#include <algorithm>
#include <optional>

#include "common/time.h"

namespace pumicemast {

/// What the head of one answer says of the limit.
struct ResponseRateLimit {
  bool readable = true;              ///< False: a limit is stated, but is no number of requests.
  std::optional<double> per_second;  ///< Empty: none is stated.
};

/// A limit, or that there is none, and when that was learnt.
struct RateLimit {
  std::optional<double> per_second;  ///< Empty: none is named.
  TimePoint observed_at{};           ///< When the answer came, by the clock of this process.

  bool is_limited() const { return per_second.has_value(); }
};

/// The newest of several observations of one back end.
class RateLimitTracker {
 public:
  /// Observations may come out of order and by several ways; the newest one holds.
  /// @return whether the limit is another one now.
  bool on_observed(const RateLimit& limit) {
    // Its age grows less exact with each process that passes it on: the first time counts.
    if (limit.per_second == limit_.per_second) return false;
    if (limit.observed_at <= limit_.observed_at) return false;
    limit_ = limit;
    return true;
  }
  /// An answer to this process has named the same limit again.
  void confirm(TimePoint at) { limit_.observed_at = std::max(limit_.observed_at, at); }
  const RateLimit& limit() const { return limit_; }

 private:
  RateLimit limit_;
};

}  // namespace pumicemast
