/// Decides when a gateway requests the verdicts of another one on requests that crash back ends.
///
/// A decision core: no I/O. Reports of single crashes reach all gateways at once, except one that
/// has just started, was disconnected or was suspended. Differing digests reveal this. Two gateways
/// may differ for a long time without harm, for example when one of them evicted a record that the
/// other kept; in that case the interval between requests grows.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "common/time.h"

namespace pumicemast {

class VerdictPull {
 public:
  /// Compares the digest that a gateway reported with the own one.
  /// @return whether to request its verdicts now.
  bool should_request(std::uint64_t gateway, std::uint64_t peer_digest, std::uint64_t own_digest,
                      TimePoint now) {
    if (peer_digest == own_digest || peer_digest == 0) return false;
    LastRequest& last = last_requests_[gateway];
    const bool changed = last.peer_digest != peer_digest || last.own_digest != own_digest;
    if (changed) last.backoff = kInitialBackoff;
    if (now < last.at + last.backoff && last.at != TimePoint{}) return false;
    last = {peer_digest, own_digest, now, std::min(last.backoff * 2, kMaximumBackoff)};
    return true;
  }

 private:
  /// Time to wait before the verdicts are requested again. Digests arrive twice a second, so that
  /// the answer has time to arrive until the second digest after the request.
  static constexpr Duration kInitialBackoff = milliseconds(900);
  static constexpr Duration kMaximumBackoff = seconds(120);

  struct LastRequest {
    std::uint64_t peer_digest = 0;
    std::uint64_t own_digest = 0;
    TimePoint at{};
    Duration backoff = kInitialBackoff;
  };
  std::map<std::uint64_t, LastRequest> last_requests_;
};

}  // namespace pumicemast
