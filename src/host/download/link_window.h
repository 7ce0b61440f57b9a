/// Limits the number of concurrent exchanges on a link by the time that they take.
///
/// A decision core: no I/O. Weights share their link with the engine's requests and streams. When
/// exchanges become slow, fewer are allowed at once, so that weights do not delay the other traffic
/// on a link that has become narrow.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

class LinkWindow {
 public:
  /// @param max_exchanges  limit of concurrent exchanges on a fast link.
  explicit LinkWindow(std::uint32_t max_exchanges)
      : max_exchanges_(max_exchanges), allowed_exchanges_(std::max(1U, max_exchanges / 2)) {}

  /// One exchange completed after `latency`.
  void on_completed(Duration latency) {
    smoothed_latency_ =
        measured_ ? smoothed_latency_ + (latency - smoothed_latency_) / kSmoothing : latency;
    measured_ = true;
    // A single exchange may be quick even on a narrow link, but several at once would not.
    if (smoothed_latency_ >= kSlow) {
      allowed_exchanges_ = 1;
    } else if (smoothed_latency_ >= kModerate) {
      allowed_exchanges_ = std::min(allowed_exchanges_, std::max(1U, max_exchanges_ / 2));
    } else if (latency <= kFast) {
      allowed_exchanges_ = std::min(max_exchanges_, allowed_exchanges_ * 2);
    }
  }
  /// Number of exchanges that may be in flight.
  /// @param oldest  age of the oldest exchange in flight; zero when there is none.
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
  /// Doubled by each fast exchange. Starts at half, because the link may be narrow already.
  std::uint32_t allowed_exchanges_;
  Duration smoothed_latency_ = Duration::zero();
  bool measured_ = false;
};

}  // namespace pumicemast
