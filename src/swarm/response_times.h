/// Measures how long peers take to answer chunk requests and derives the request timeout.
///
/// A decision core: no I/O. The timeout adapts to the link, so that it suits any chunk size and
/// link rate.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace pumicemast {

struct ResponseLimits {
  Duration initial = seconds(10);  ///< Used before any response was measured.
  Duration minimum = seconds(1);
  Duration maximum = seconds(120);
};

class ResponseTimes {
 public:
  explicit ResponseTimes(ResponseLimits limits) : limits_(limits) {}

  /// A request was answered after `took`.
  void on_response(Duration took) {
    smoothed_ = smoothed_ == Duration::zero() ? took : smoothed_ + (took - smoothed_) / kSmoothing;
  }
  /// A chunk arrived from a peer.
  void on_arrival() { scale_ = std::max(1, scale_ / 2); }
  /// Requests timed out. Their response times are not measured, so the timeout is doubled instead.
  void on_timeout() { scale_ = std::min(scale_ * 2, kMaximumScale); }

  /// Time without a response after which a request has failed.
  Duration timeout() const {
    const Duration typical = smoothed_ == Duration::zero()
                                 ? limits_.initial
                                 : std::max(smoothed_ * kTimeoutFactor, limits_.minimum);
    return std::min(typical * scale_, limits_.maximum);
  }
  /// The timeout once all chunks are held or requested, when a single late response delays
  /// completion.
  Duration end_game_timeout() const {
    return std::max(smoothed_ * kEndGameFactor, limits_.minimum);
  }

 private:
  /// Number of responses over which response times are smoothed, approximately.
  static constexpr int kSmoothing = 8;
  static constexpr int kTimeoutFactor = 6;
  static constexpr int kEndGameFactor = 3;
  static constexpr int kMaximumScale = 16;

  ResponseLimits limits_;
  Duration smoothed_ = Duration::zero();
  int scale_ = 1;
};

}  // namespace pumicemast
