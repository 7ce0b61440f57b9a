/// How much may be under way on a link at once, from how long exchanges on it take.
///
/// A decision core: no I/O. Weights share their link with the engine's requests and streams.
/// A link that has become narrow shows by slow exchanges; then less is put on it, so that what
/// shares it is not held up behind weights.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

class LinkGauge {
 public:
  /// @param widest  exchanges at once on a link that is well.
  explicit LinkGauge(std::uint32_t widest) : widest_(widest), allowed_(std::max(1U, widest / 2)) {}

  /// One exchange took so long.
  void on_exchange(Duration took) {
    smoothed_ = measured_ ? smoothed_ + (took - smoothed_) / kSmoothing : took;
    measured_ = true;
    // On a narrow link one exchange alone may pass soon; several at once would not.
    if (smoothed_ >= kSlow) {
      allowed_ = 1;
    } else if (smoothed_ >= kUnhurried) {
      allowed_ = std::min(allowed_, std::max(1U, widest_ / 2));
    } else if (took <= kQuick) {
      allowed_ = std::min(widest_, allowed_ * 2);
    }
  }
  /// How many exchanges may be open.
  /// @param oldest  how long the oldest open one has been under way; zero when there is none.
  std::uint32_t window(Duration oldest) const {
    const Duration seen = std::max(smoothed_, oldest);
    if (seen >= kSlow) return 1;
    if (seen >= kUnhurried) return std::min(allowed_, std::max(1U, widest_ / 2));
    return allowed_;
  }

 private:
  static constexpr int kSmoothing = 4;
  static constexpr Duration kQuick = milliseconds(150);
  static constexpr Duration kUnhurried = milliseconds(350);
  static constexpr Duration kSlow = milliseconds(600);

  std::uint32_t widest_;
  /// Grows by what passes quickly. Before anything was measured the link may be narrow already.
  std::uint32_t allowed_;
  Duration smoothed_ = Duration::zero();
  bool measured_ = false;
};

}  // namespace pumicemast
