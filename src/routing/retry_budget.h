/// Bounds retries to a share of the first attempts, so that failures cannot multiply load.
#pragma once

#include <algorithm>

namespace pumicemast {

/// Each first attempt earns `ratio` of a retry, up to `reserve` retries.
class RetryBudget {
 public:
  /// Starts full, so that a quiet entry may retry the first failures.
  explicit RetryBudget(double ratio, double reserve = 50)
      : ratio_(ratio), reserve_(reserve), balance_(reserve) {}
  /// Starts with `advance` retries, which the first that are earned pay back.
  RetryBudget(double ratio, double reserve, double advance)
      : ratio_(ratio), reserve_(reserve), balance_(advance), unpaid_advance_(advance) {}

  /// Another reserve; what is left of a larger one is cut to it, nothing is added.
  void set_reserve(double reserve) {
    reserve_ = reserve;
    balance_ = std::min(balance_, reserve_);
  }
  /// Retries that no first attempt has earned, up to the reserve.
  void grant(double retries) { balance_ = std::min(reserve_, balance_ + retries); }
  void on_first_attempt() {
    const double paid_back = std::min(unpaid_advance_, ratio_);
    unpaid_advance_ -= paid_back;
    grant(ratio_ - paid_back);
  }
  bool try_spend() {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }
  double balance() const { return balance_; }

 private:
  double ratio_;
  double reserve_;
  double balance_;
  double unpaid_advance_ = 0;  ///< Of the advance.
};

}  // namespace pumicemast
