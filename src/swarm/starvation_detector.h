/// Tells when missing chunks have stopped appearing in the neighbourhood.
///
/// A decision core: no I/O. While owners work, new chunks appear all the time. Long before the
/// neighbourhood has exchanged what it has, their absence tells that an owner died, stalled or is
/// cut off.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace pumicemast {

class StarvationDetector {
 public:
  /// @param interval  least time without an appearance that counts as starvation.
  explicit StarvationDetector(Duration interval) : interval_(interval) {}

  /// Begins, or goes on after a pause that says nothing.
  void restart(TimePoint now) { last_ = now; }
  /// A missing chunk appeared nearby for the first time.
  void on_chunk_appeared(TimePoint now) {
    const Duration gap = now - last_;
    // Counting an outage as usual would make each next takeover wait longer.
    if (gap > Duration::zero() && !interrupted_) {
      average_gap_ = average_gap_ == Duration::zero()
                         ? gap
                         : average_gap_ + (gap - average_gap_) / kGapSmoothing;
    }
    interrupted_ = false;
    last_ = now;
  }
  /// How long a draw from the origin takes now, as far as it is known. Behind a narrow link all
  /// chunks come late and at once: whoever stepped in earlier would only make them later.
  void set_origin_fetch_time(Duration origin_fetch_time) { origin_fetch_time_ = origin_fetch_time; }
  /// Others have stepped in: the next rank follows after another interval.
  void on_takeover(TimePoint now) {
    last_ = now;
    interrupted_ = true;
  }
  /// Nothing appears for longer than is usual.
  bool starved(TimePoint now) const { return now - last_ >= takeover_interval(); }
  Duration takeover_interval() const {
    // Slow links and large chunks make chunks rare without anything being wrong.
    const Duration fetch_based_interval = origin_fetch_time_ * kTakeoverFetchFactor;
    if (average_gap_ == Duration::zero()) {
      return std::max(interval_ * kFirstTakeoverScale, fetch_based_interval);
    }
    return std::max({interval_, average_gap_ * kTakeoverGapFactor, fetch_based_interval});
  }

 private:
  static constexpr int kGapSmoothing = 8;
  static constexpr int kTakeoverGapFactor = 16;
  static constexpr int kTakeoverFetchFactor = 2;
  /// Before any chunk appeared, the origin may just be slow to send the first.
  static constexpr int kFirstTakeoverScale = 4;

  Duration interval_;
  TimePoint last_{};
  Duration average_gap_ = Duration::zero();
  Duration origin_fetch_time_ = Duration::zero();
  bool interrupted_ = false;  ///< The next gap is an outage, not usual.
};

}  // namespace pumicemast
