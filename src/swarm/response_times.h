/// How long peers usually take to answer a request for a chunk, and when one has failed.
///
/// A decision core: no I/O. The limits follow the link: chunks of any size on links of any rate.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace pumicemast {

struct ResponseLimits {
  Duration initial = seconds(10);  ///< Before any response was measured.
  Duration minimum = seconds(1);
  Duration maximum = seconds(120);
};

class ResponseTimes {
 public:
  explicit ResponseTimes(ResponseLimits limits) : limits_(limits) {}

  /// A request was answered after so long.
  void on_response(Duration took) {
    smoothed_ = smoothed_ == Duration::zero() ? took : smoothed_ + (took - smoothed_) / kSmoothing;
  }
  /// Chunks arrive.
  void on_arrival() { scale_ = std::max(1, scale_ / 2); }
  /// Requests failed; responses are then not measured, so that the limit grows by itself.
  void on_timeout() { scale_ = std::min(scale_ * 2, kMaximumScale); }

  /// A request without an answer for so long has failed.
  Duration timeout() const {
    const Duration typical = smoothed_ == Duration::zero()
                                 ? limits_.initial
                                 : std::max(smoothed_ * kTimeoutFactor, limits_.minimum);
    return std::min(typical * scale_, limits_.maximum);
  }
  /// The same once everything is asked for: one late answer is then all that is waited for.
  Duration end_game_timeout() const {
    return std::max(smoothed_ * kEndGameFactor, limits_.minimum);
  }

 private:
  /// Response times are smoothed over about this many answers.
  static constexpr int kSmoothing = 8;
  static constexpr int kTimeoutFactor = 6;
  static constexpr int kEndGameFactor = 3;
  static constexpr int kMaximumScale = 16;

  ResponseLimits limits_;
  Duration smoothed_ = Duration::zero();
  int scale_ = 1;
};

}  // namespace pumicemast
