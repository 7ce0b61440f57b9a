/// Limits retries to a fraction of the first attempts, so that failures cannot multiply the load.
#pragma once

#include <algorithm>

namespace pumicemast {

/// Each first attempt adds `ratio` retries to the balance, which is at most `reserve`.
class RetryBudget {
 public:
  /// Starts with the full reserve, so that a process with little traffic can retry first failures.
  explicit RetryBudget(double ratio, double reserve = 50)
      : ratio_(ratio), reserve_(reserve), balance_(reserve) {}
  /// Starts with `advance` retries, which are deducted from the first earned retries.
  RetryBudget(double ratio, double reserve, double advance)
      : ratio_(ratio), reserve_(reserve), balance_(advance), unpaid_advance_(advance) {}

  /// Changes the reserve. A balance above the new reserve is reduced to it; nothing is added.
  void set_reserve(double reserve) {
    reserve_ = reserve;
    balance_ = std::min(balance_, reserve_);
  }
  /// Adds unearned retries, up to the reserve.
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
  double unpaid_advance_ = 0;  ///< Part of the advance that is not yet earned.
};

}  // namespace pumicemast
