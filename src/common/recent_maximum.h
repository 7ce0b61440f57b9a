/// The largest value noted within a recent time window.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

/// Each value counts for at least `window` and at most twice as long.
class RecentMaximum {
 public:
  explicit RecentMaximum(Duration window) : window_(window) {}

  void note(std::uint64_t value, TimePoint now) {
    rotate(now);
    current_ = std::max(current_, value);
  }
  /// 0 when nothing was noted.
  std::uint64_t value(TimePoint now) {
    rotate(now);
    return std::max(current_, previous_);
  }

 private:
  void rotate(TimePoint now) {
    if (now - rotated_at_ < window_) return;
    previous_ = now - rotated_at_ < 2 * window_ ? current_ : 0;
    current_ = 0;
    rotated_at_ = now;
  }

  Duration window_;
  TimePoint rotated_at_{};
  std::uint64_t current_ = 0;
  std::uint64_t previous_ = 0;
};

}  // namespace pumicemast
