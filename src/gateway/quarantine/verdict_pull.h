/// Decides when a gateway asks another one for its verdicts on requests that end back ends.
///
/// A decision core: no I/O. News of single ends reach all gateways at once, but for one that has
/// just begun, or was cut off or stood still. Digests that differ show it. Two gateways may differ
/// for long without harm (one forgot what the other has room for): then they ask ever more rarely.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "common/time.h"

namespace pumicemast {

class VerdictPull {
 public:
  /// A gateway told its digest; `own` is the digest here.
  /// @return whether to ask it now.
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
  /// Digests come twice a second: the answer is to have arrived by the next but one.
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
