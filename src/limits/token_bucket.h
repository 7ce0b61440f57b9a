/// A token bucket. The caller passes the time of its event loop.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace pumicemast {

/// Holds up to `burst` tokens and gains `rate` tokens per second. Starts full.
class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

  /// Changes the limits and keeps the tokens in the bucket, up to the new burst.
  void configure(double rate, double burst, TimePoint now) {
    refill(now);
    rate_ = rate;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
  }

  /// Takes `amount` tokens if they are available.
  bool try_take(double amount, TimePoint now) {
    refill(now);
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
  }

  /// Takes `amount` tokens even if the balance becomes negative. For work that is already done,
  /// such as bytes received.
  void take_into_debt(double amount, TimePoint now) {
    refill(now);
    tokens_ -= amount;
  }

  /// The available tokens.
  double level(TimePoint now) {
    refill(now);
    return tokens_;
  }

  /// Returns tokens whose work did not happen.
  void put_back(double amount) { tokens_ = std::min(burst_, tokens_ + amount); }

  /// Time until `amount` tokens are available; zero when they are. A bucket without a rate returns
  /// one hour.
  Duration time_until(double amount, TimePoint now) {
    refill(now);
    if (tokens_ >= amount) return Duration::zero();
    if (rate_ <= 0) return std::chrono::hours(1);
    const double wait_s = (amount - tokens_) / rate_;
    return Duration(static_cast<Duration::rep>(wait_s * Duration::period::den) + 1);
  }

 private:
  void refill(TimePoint now) {
    if (now > refilled_) tokens_ = std::min(burst_, tokens_ + rate_ * to_seconds(now - refilled_));
    refilled_ = std::max(refilled_, now);
  }

  double rate_ = 0;
  double burst_ = 0;
  double tokens_ = 0;
  TimePoint refilled_{};
};

}  // namespace pumicemast
