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
  bool should_ask(std::uint64_t gateway, std::uint64_t theirs, std::uint64_t own, TimePoint now) {
    if (theirs == own || theirs == 0) return false;
    Asked& asked = asked_[gateway];
    const bool changed = asked.theirs != theirs || asked.own != own;
    if (changed) asked.pause = kFirstPause;
    if (now < asked.at + asked.pause && asked.at != TimePoint{}) return false;
    asked = {theirs, own, now, std::min(asked.pause * 2, kLongestPause)};
    return true;
  }

 private:
  /// Digests come twice a second: the answer is to have arrived by the next but one.
  static constexpr Duration kFirstPause = milliseconds(900);
  static constexpr Duration kLongestPause = seconds(120);

  struct Asked {
    std::uint64_t theirs = 0;
    std::uint64_t own = 0;
    TimePoint at{};
    Duration pause = kFirstPause;
  };
  std::map<std::uint64_t, Asked> asked_;
};

}  // namespace pumicemast
