/// Decides when an agent requests a manifest from the origin that it has not got from a peer yet.
///
/// A decision core: no I/O. The origin's link is narrow, and a manifest that one agent has soon
/// reaches the others. So two agents call the origin at once and the others one after the other;
/// while the origin fails, few agents retry often and many rarely. Guards against two delays: calls
/// of all agents at once occupy the origin's link for as long as a copy of the weights, and delays
/// that grow while the origin is unavailable continue after its return.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

class OriginRequestSchedule {
 public:
  void begin(TimePoint now) {
    waiting_since_ = now;
    in_flight_ = false;
    failed_ = false;
  }
  /// @param rank  number of agents that call before this one.
  bool due(std::uint32_t rank, TimePoint now) const {
    return !in_flight_ &&
           now - waiting_since_ >= (failed_ ? retry_delay(rank) : first_request_delay(rank));
  }
  void on_request_sent() { in_flight_ = true; }
  /// The origin refused or failed.
  void on_failed(TimePoint now) {
    waiting_since_ = now;
    in_flight_ = false;
    failed_ = true;
  }

 private:
  static constexpr std::uint32_t kImmediateRanks = 2;
  static constexpr Duration kFirstRequestDelay = milliseconds(250);
  static constexpr Duration kFirstRequestDelayPerRank = milliseconds(40);
  static constexpr Duration kRetryDelay = milliseconds(150);
  static constexpr Duration kRetryDelayPerRank = milliseconds(100);
  static constexpr Duration kMaximumDelay = seconds(3);

  static Duration first_request_delay(std::uint32_t rank) {
    if (rank < kImmediateRanks) return Duration::zero();
    return std::min<Duration>(kMaximumDelay, kFirstRequestDelay + kFirstRequestDelayPerRank * rank);
  }
  static Duration retry_delay(std::uint32_t rank) {
    return std::min<Duration>(kMaximumDelay, kRetryDelay + kRetryDelayPerRank * rank);
  }

  bool in_flight_ = false;
  bool failed_ = false;
  TimePoint waiting_since_{};  ///< The start, or the last failure.
};

}  // namespace pumicemast
