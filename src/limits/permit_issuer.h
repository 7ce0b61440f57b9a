/// Issues the permits for one back end that limits the requests of all gateways together.
///
/// A decision core: no I/O. Gateways don't see each other's requests: were each to keep the limit
/// by itself, the back end would get it once from every gateway. One issuer holds the sum: who
/// wants to send asks it first.
///
/// Invariant: within any W seconds, no more than rate * W + 2 permits are issued and not given
/// back.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "fleet/rate_limit.h"
#include "limits/token_bucket.h"

namespace pumicemast {

/// What a gateway asks of the issuer, or only tells it.
struct PermitRequest {
  std::string backend;             ///< Its id.
  std::int64_t started_at_ms = 0;  ///< Of the back end's process; 0 when it did not say.
  TimePoint asked_at{};            ///< By the gateway's clock; the answer repeats it.
  bool wanted = false;             ///< A permit is asked for.
  std::uint32_t returned = 0;      ///< Permits that were not used, and never will be.
  RateLimit limit;                 ///< As the gateway knows it.
  /// Earlier requests by their asked_at: their permits, if any were granted, were not used and
  /// never will be. May be told more than once.
  std::vector<TimePoint> given_back{};
  std::uint64_t gateway = 0;  ///< Who asks; sets apart requests of one moment.
};

struct PermitAnswer {
  std::string backend;
  TimePoint asked_at{};
  bool granted = false;
  Duration retry_after = Duration::zero();  ///< Until one may be had; zero when this one is.
  RateLimit limit;                          ///< As the issuer knows it.
};

class PermitIssuer {
 public:
  /// Takes what the gateway tells, and answers what it asks.
  PermitAnswer on_request(const PermitRequest& request, TimePoint now);
  /// The back end's process was started anew: it has named nothing yet.
  void on_restarted(TimePoint now);

  const RateLimit& limit() const { return limit_tracker_.limit(); }
  /// Whether the limit has changed since the last call.
  bool take_changed();

 private:
  using RequestKey = std::pair<std::uint64_t, TimePoint>;  ///< The gateway, and its asked_at.
  struct Grant {
    TimePoint granted_at{};
    double highest_level = 0;  ///< Of the bucket since then.
  };
  void on_limit(const RateLimit& limit, TimePoint now);
  void update_grants(TimePoint now);
  void reclaim(const RequestKey& key);

  RateLimitTracker limit_tracker_;
  TokenBucket bucket_;
  std::map<RequestKey, Grant> grants_;  ///< Those of the last seconds.
  TimePoint restarted_at_{};
  bool changed_ = false;
};

}  // namespace pumicemast
