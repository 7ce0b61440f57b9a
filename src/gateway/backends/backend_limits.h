/// Tracks the back ends that limit the requests of all gateways together, as known to this gateway.
///
/// A decision core: no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "fleet/rate_limit.h"

namespace pumicemast {

/// Where an observation of a limit came from: a response to this gateway, the back end's agent, or
/// another gateway.
enum class LimitSource { answer, agent, gateway };
const char* to_string(LimitSource source);

/// A change of the limit of a back end.
struct LimitChange {
  std::string backend;
  RateLimit limit;
  LimitSource source = LimitSource::answer;
};

class BackendLimits {
 public:
  /// Handles a response from the back end.
  /// @param served   whether the back end ran the request: a refusal that states no limit does not
  ///                 show that a limit has ended.
  /// @param sent_at  when the request was sent.
  void on_response(const std::string& backend, const ResponseRateLimit& stated, bool served,
                   TimePoint sent_at, TimePoint now);
  /// Handles an observation by the back end's agent or by another gateway: a limit, or none.
  void on_reported(const std::string& backend, const RateLimit& limit, LimitSource source);
  /// Call when the back end was removed or restarted.
  void forget(const std::string& backend) { trackers_.erase(backend); }

  bool limited(const std::string& backend) const { return limit_of(backend).is_limited(); }
  RateLimit limit_of(const std::string& backend) const;
  /// Back ends that currently state a limit.
  std::vector<std::string> limited() const;
  /// The limits known by id, including those of back ends whose limit has ended.
  const std::map<std::string, RateLimitTracker>& trackers() const { return trackers_; }
  /// Returns the changes since the last call.
  std::vector<LimitChange> take_changes();
  /// Number of responses whose stated limit is not a number of requests; these are ignored.
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  void update_limit(const std::string& backend, const RateLimit& limit, LimitSource source);

  std::map<std::string, RateLimitTracker> trackers_;
  std::vector<LimitChange> changes_;
  std::uint64_t unreadable_ = 0;
};

}  // namespace pumicemast
