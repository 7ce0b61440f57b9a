/// When an agent asks the origin for a manifest that no other agent has given it yet.
///
/// A decision core: no I/O. The origin's link is narrow, and a manifest that one agent has reaches
/// the others within a moment. So two agents ask at once and the others one after the other; while
/// the origin fails, few ask often and many rarely. Guards against two losses: all agents' calls at
/// once take the origin's link for as long as a copy of the weights, and pauses that grow while the
/// origin is away go on after its return.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

class OriginAsking {
 public:
  void begin(TimePoint now) {
    since_ = now;
    under_way_ = false;
    failed_ = false;
  }
  /// @param rank  how many agents come before this one.
  bool due(std::uint32_t rank, TimePoint now) const {
    return !under_way_ && now - since_ >= (failed_ ? retry_pause(rank) : patience(rank));
  }
  void on_asked() { under_way_ = true; }
  /// The origin gave nothing.
  void on_failed(TimePoint now) {
    since_ = now;
    under_way_ = false;
    failed_ = true;
  }

 private:
  static constexpr std::uint32_t kFirstAtOrigin = 2;
  static constexpr Duration kPatience = milliseconds(250);
  static constexpr Duration kPatiencePerRank = milliseconds(40);
  static constexpr Duration kRetryPause = milliseconds(150);
  static constexpr Duration kRetryPausePerRank = milliseconds(100);
  static constexpr Duration kLongestPause = seconds(3);

  static Duration patience(std::uint32_t rank) {
    if (rank < kFirstAtOrigin) return Duration::zero();
    return std::min<Duration>(kLongestPause, kPatience + kPatiencePerRank * rank);
  }
  static Duration retry_pause(std::uint32_t rank) {
    return std::min<Duration>(kLongestPause, kRetryPause + kRetryPausePerRank * rank);
  }

  bool under_way_ = false;
  bool failed_ = false;
  TimePoint since_{};  ///< The beginning, or the last failure.
};

}  // namespace pumicemast
