/// One retry budget a service, with the same bounds.
#pragma once

#include <map>
#include <string>

#include "gateway/retry_share.h"
#include "routing/retry_budget.h"

namespace pumicemast {

class RetryBudgets {
 public:
  /// @param ratio    retries that each first attempt earns.
  /// @param reserve  retries a service may save up.
  RetryBudgets(double ratio, double reserve) : ratio_(ratio), reserve_(reserve) {}

  RetryBudget& of(const std::string& service) {
    return by_service_.try_emplace(service, ratio_, reserve_).first->second;
  }
  void set_allowance(const RetryAllowance& allowance) {
    reserve_ = allowance.reserve;
    for (auto& [service, budget] : by_service_) budget.set_reserve(reserve_);
  }

 private:
  double ratio_;
  double reserve_;
  std::map<std::string, RetryBudget> by_service_;
};

}  // namespace pumicemast
