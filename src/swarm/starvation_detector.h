/// Detects that missing chunks have stopped appearing in the neighbourhood.
///
/// A decision core: no I/O. While owners work, new chunks appear continually. When none does, an
/// owner crashed, stalled or is cut off; this shows long before the neighbours have exchanged all
/// chunks that they hold.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace pumicemast {

class StarvationDetector {
 public:
  /// @param interval  minimum time without a new chunk that counts as starvation.
  explicit StarvationDetector(Duration interval) : interval_(interval) {}

  /// Starts the detection, also after a pause during which no chunks were expected.
  void restart(TimePoint now) { last_ = now; }
  /// A missing chunk appeared in the neighbourhood for the first time.
  void on_chunk_appeared(TimePoint now) {
    const Duration gap = now - last_;
    // If outages counted towards the average, each takeover would wait longer than the last.
    if (gap > Duration::zero() && !interrupted_) {
      average_gap_ = average_gap_ == Duration::zero()
                         ? gap
                         : average_gap_ + (gap - average_gap_) / kGapSmoothing;
    }
    interrupted_ = false;
    last_ = now;
  }
  /// Sets the current duration of a fetch from the origin, as far as known. Behind a narrow link
  /// all chunks arrive late and at about the same time; earlier takeovers would only delay them.
  void set_origin_fetch_time(Duration origin_fetch_time) { origin_fetch_time_ = origin_fetch_time; }
  /// Other owners have taken over: the next rank follows after another interval.
  void on_takeover(TimePoint now) {
    last_ = now;
    interrupted_ = true;
  }
  /// Whether no new chunk has appeared for the takeover interval.
  bool starved(TimePoint now) const { return now - last_ >= takeover_interval(); }
  Duration takeover_interval() const {
    // On slow links or with large chunks, new chunks are rare without any fault.
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
  /// Before the first chunk appears, the origin may just be slow to send it.
  static constexpr int kFirstTakeoverScale = 4;

  Duration interval_;
  TimePoint last_{};
  Duration average_gap_ = Duration::zero();
  Duration origin_fetch_time_ = Duration::zero();
  bool interrupted_ = false;  ///< The next gap includes an outage and is left out of the average.
};

}  // namespace pumicemast
