/// One retry budget per service, all with the same bounds.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "gateway/requests/retry_share.h"
#include "routing/retry_budget.h"

namespace pumicemast {

class RetryBudgets {
 public:
  /// @param ratio    retries that each first attempt earns.
  /// @param reserve  retries that a service may save up; budgets start with the full reserve.
  RetryBudgets(double ratio, double reserve) : ratio_(ratio), allowance_{reserve, 0, true} {}

  RetryBudget& for_service(const std::string& service) {
    if (allowance_.reserve_granted) {
      return by_service_.try_emplace(service, ratio_, allowance_.reserve).first->second;
    }
    return by_service_.try_emplace(service, ratio_, allowance_.reserve, allowance_.advance)
        .first->second;
  }
  /// When the reserve becomes granted, existing budgets get only the increase of the reserve, not
  /// the whole of it: they may have spent what they could save up before in the same window.
  void set_allowance(const RetryAllowance& allowance) {
    const bool becomes_granted = allowance.reserve_granted && !allowance_.reserve_granted;
    const double granted =
        becomes_granted ? std::max(0.0, allowance.reserve - allowance_.reserve) : 0;
    allowance_ = allowance;
    for (auto& [service, budget] : by_service_) {
      budget.set_reserve(allowance.reserve);
      budget.grant(granted);
    }
  }
  const RetryAllowance& allowance() const { return allowance_; }
  const std::map<std::string, RetryBudget>& by_service() const { return by_service_; }

 private:
  double ratio_;
  RetryAllowance allowance_;
  std::map<std::string, RetryBudget> by_service_;
};

}  // namespace pumicemast
