/// Whether a gateway has seen enough complete responses to judge what was running in a crash.
#pragma once

#include <algorithm>
#include <optional>

#include "common/time.h"

namespace pumicemast {

class ObserverKnowledge {
 public:
  /// @param started    start of this process; TimePoint::min() skips the warm-up.
  /// @param retention  how long what was learned from a complete response is kept.
  ObserverKnowledge(TimePoint started, Duration retention)
      : started_(started), retention_(retention) {
    if (started == TimePoint::min()) warmed_up_at_ = started;
  }

  void on_completed(TimePoint now) {
    const TimePoint warmed_up_at =
        std::max(started_ + kWarmUpAfterStart, now + kWarmUpAfterFirstResponse);
    if (!warmed_up_at_) warmed_up_at_ = warmed_up_at;
    if (!last_completion_ || now - *last_completion_ > retention_) current_from_ = warmed_up_at;
    last_completion_ = now;
  }
  /// Whether it had seen enough by then at any time since the start.
  bool warmed_up(TimePoint at) const { return warmed_up_at_ && at >= *warmed_up_at_; }
  /// Whether it had seen enough by then, without a gap that is longer than the retention.
  bool current(TimePoint at) const {
    if (!last_completion_) return started_ == TimePoint::min();
    return at >= current_from_ && at - *last_completion_ <= retention_;
  }

 private:
  /// Minimum time after the start: by then most requests that were in flight at the start have been
  /// answered.
  static constexpr Duration kWarmUpAfterStart = seconds(2);
  /// Minimum time after the first complete response, because engines may come back later than
  /// gateways.
  static constexpr Duration kWarmUpAfterFirstResponse = seconds(1);

  TimePoint started_;
  Duration retention_;
  std::optional<TimePoint> warmed_up_at_;  ///< End of the warm-up; empty until a response.
  TimePoint current_from_{};
  std::optional<TimePoint> last_completion_;
};

}  // namespace pumicemast
