/// Tells when missing chunks have stopped appearing in the neighbourhood.
///
/// A decision core: no I/O. While owners work, new chunks appear all the time. Long before the
/// neighbourhood has exchanged what it has, their absence tells that an owner died, stalled or is
/// cut off.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace pumicemast {

class AppearanceWatch {
 public:
  /// @param interval  least time without an appearance that counts as starvation.
  explicit AppearanceWatch(Duration interval) : interval_(interval) {}

  /// Begins, or goes on after a pause that says nothing.
  void restart(TimePoint now) { last_ = now; }
  /// A missing chunk appeared nearby for the first time.
  void on_appearance(TimePoint now) {
    const Duration gap = now - last_;
    // Counting an outage as usual would make each next takeover wait longer.
    if (gap > Duration::zero() && !interrupted_) {
      usual_gap_ =
          usual_gap_ == Duration::zero() ? gap : usual_gap_ + (gap - usual_gap_) / kGapSmoothing;
    }
    interrupted_ = false;
    last_ = now;
  }
  /// How long a draw from the origin takes now, as far as it is known. Behind a narrow link all
  /// chunks come late and at once: whoever stepped in earlier would only make them later.
  void set_draw_time(Duration draw_time) { draw_time_ = draw_time; }
  /// Others have stepped in: the next rank follows after another interval.
  void on_takeover(TimePoint now) {
    last_ = now;
    interrupted_ = true;
  }
  /// Nothing appears for longer than is usual.
  bool starved(TimePoint now) const { return now - last_ >= takeover_interval(); }
  Duration takeover_interval() const {
    // Slow links and large chunks make chunks rare without anything being wrong.
    const Duration several_draws = draw_time_ * kTakeoverDraws;
    if (usual_gap_ == Duration::zero()) {
      return std::max(interval_ * kFirstTakeoverScale, several_draws);
    }
    return std::max({interval_, usual_gap_ * kTakeoverGaps, several_draws});
  }

 private:
  static constexpr int kGapSmoothing = 8;
  static constexpr int kTakeoverGaps = 16;
  static constexpr int kTakeoverDraws = 2;
  /// Before any chunk appeared, the origin may just be slow to send the first.
  static constexpr int kFirstTakeoverScale = 4;

  Duration interval_;
  TimePoint last_{};
  Duration usual_gap_ = Duration::zero();
  Duration draw_time_ = Duration::zero();
  bool interrupted_ = false;  ///< The next gap is an outage, not usual.
};

}  // namespace pumicemast
