/// Which back ends name a limit for the requests of all gateways together, as far as is known here.
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

/// Who told of a limit.
enum class LimitSource { answer, agent, gateway };
const char* to_string(LimitSource source);

/// Another limit holds for a back end.
struct LimitChange {
  std::string backend;
  RateLimit limit;
  LimitSource source = LimitSource::answer;
};

class BackendLimits {
 public:
  /// An answer came from the back end.
  /// @param served    it ran the request: a refusal without a limit proves no end of one.
  /// @param asked_at  when the request was sent.
  void on_answer(const std::string& backend, const ResponseRateLimit& stated, bool served,
                 TimePoint asked_at, TimePoint now);
  /// Its agent or another gateway has observed a limit, or that there is none.
  void on_told(const std::string& backend, const RateLimit& limit, LimitSource source);
  /// The back end has gone, or was started anew.
  void forget(const std::string& backend) { beliefs_.erase(backend); }

  bool limited(const std::string& backend) const { return limit_of(backend).is_limited(); }
  RateLimit limit_of(const std::string& backend) const;
  /// Back ends that name a limit now.
  std::vector<std::string> limited() const;
  /// All that is known, also of back ends whose limit has ended.
  const std::map<std::string, RateLimitTracker>& beliefs() const { return beliefs_; }
  /// What has changed since the last call.
  std::vector<LimitChange> take_changes();
  /// Answers that stated a limit which is no number of requests; they change nothing.
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  void note(const std::string& backend, const RateLimit& limit, LimitSource source);

  std::map<std::string, RateLimitTracker> beliefs_;
  std::vector<LimitChange> changes_;
  std::uint64_t unreadable_ = 0;
};

}  // namespace pumicemast
