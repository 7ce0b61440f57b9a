/// Issues the permits for one back end that limits the requests of all gateways together.
///
/// A decision core: no I/O. Gateways don't see each other's requests: if each enforced the limit by
/// itself, the back end would receive it once from every gateway. One issuer enforces the sum, and
/// a gateway asks it before it sends a request.
///
/// Invariant: within any W seconds, at most rate * W + 2 permits are issued and not given back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "fleet/rate_limit.h"
#include "limits/token_bucket.h"

namespace pumicemast {

/// A gateway's message to the issuer: a request for a permit, or only information.
struct PermitRequest {
  std::string backend;             ///< Id of the back end.
  std::int64_t started_at_ms = 0;  ///< Start time of the back end's process; 0 if not reported.
  TimePoint asked_at{};            ///< By the gateway's clock; the answer repeats it.
  bool wanted = false;             ///< A permit is requested.
  std::uint32_t returned = 0;      ///< Number of held permits that will not be used.
  RateLimit limit;                 ///< As known to the gateway.
  /// Earlier requests, identified by their asked_at: if their permits were granted, they will not
  /// be used. May be sent more than once.
  std::vector<TimePoint> given_back{};
  std::uint64_t gateway = 0;  ///< The sender; distinguishes requests with the same asked_at.
  /// As known to the gateway. The issuer may not know it: an agent that has just started has not
  /// received the list of back ends yet.
  std::optional<ColdLimit> cold_limit{};
};

struct PermitAnswer {
  std::string backend;
  TimePoint asked_at{};
  bool granted = false;
  Duration retry_after = Duration::zero();  ///< Until a permit is available; zero if granted.
  RateLimit limit;                          ///< As known to the issuer.
};

class PermitIssuer {
 public:
  /// Applies the gateway's information and answers its request.
  PermitAnswer on_request(const PermitRequest& request, TimePoint now);
  /// The back end's process was restarted: it has advertised no limit yet.
  void on_restarted(TimePoint now);
  /// The back end is cold. A limit that has ended already is ignored.
  void set_cold_limit(const ColdLimit& limit, TimePoint now);

  /// The limit that the back end advertises.
  const RateLimit& limit() const { return limit_tracker_.limit(); }
  /// Whether requests need permits: the back end advertises a limit, or is cold.
  bool limited(TimePoint now) const;
  /// Whether the advertised limit has changed, or a cold phase has begun or ended, since the last
  /// call.
  bool take_changed(TimePoint now);

 private:
  using RequestKey = std::pair<std::uint64_t, TimePoint>;  ///< The gateway and its asked_at.
  struct Grant {
    TimePoint granted_at{};
    double highest_level = 0;  ///< Highest level of the bucket since the grant.
  };
  void on_limit(const RateLimit& limit, TimePoint now);
  void end_expired_cold_limit(TimePoint now);
  void reset_bucket();
  /// Applies the lowest of the limits in force.
  void configure_bucket(TimePoint now);
  void update_grants(TimePoint now);
  void reclaim(const RequestKey& key);

  RateLimitTracker limit_tracker_;
  std::optional<ColdLimit> cold_limit_;
  TokenBucket bucket_;
  std::map<RequestKey, Grant> grants_;  ///< Grants of the last kGrantRetention.
  TimePoint restarted_at_{};
  bool changed_ = false;
};

}  // namespace pumicemast
