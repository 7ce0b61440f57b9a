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

class LinkWindow {
 public:
  /// @param widest  exchanges at once on a link that is well.
  explicit LinkWindow(std::uint32_t max_exchanges)
      : max_exchanges_(max_exchanges), allowed_exchanges_(std::max(1U, max_exchanges / 2)) {}

  /// One exchange took so long.
  void on_completed(Duration latency) {
    smoothed_latency_ =
        measured_ ? smoothed_latency_ + (latency - smoothed_latency_) / kSmoothing : latency;
    measured_ = true;
    // On a narrow link one exchange alone may pass soon; several at once would not.
    if (smoothed_latency_ >= kSlow) {
      allowed_exchanges_ = 1;
    } else if (smoothed_latency_ >= kModerate) {
      allowed_exchanges_ = std::min(allowed_exchanges_, std::max(1U, max_exchanges_ / 2));
    } else if (latency <= kFast) {
      allowed_exchanges_ = std::min(max_exchanges_, allowed_exchanges_ * 2);
    }
  }
  /// How many exchanges may be open.
  /// @param oldest  how long the oldest open one has been under way; zero when there is none.
  std::uint32_t limit(Duration oldest) const {
    const Duration latency = std::max(smoothed_latency_, oldest);
    if (latency >= kSlow) return 1;
    if (latency >= kModerate) return std::min(allowed_exchanges_, std::max(1U, max_exchanges_ / 2));
    return allowed_exchanges_;
  }

 private:
  static constexpr int kSmoothing = 4;
  static constexpr Duration kFast = milliseconds(150);
  static constexpr Duration kModerate = milliseconds(350);
  static constexpr Duration kSlow = milliseconds(600);

  std::uint32_t max_exchanges_;
  /// Grows by what passes quickly. Before anything was measured the link may be narrow already.
  std::uint32_t allowed_exchanges_;
  Duration smoothed_latency_ = Duration::zero();
  bool measured_ = false;
};

}  // namespace pumicemast
