/// Decides how many retries a gateway may save up for each service.
///
/// A decision core: no I/O. All gateways together may save up `extra` retries for each service, but
/// no gateway knows for certain how many gateways there are.
///
/// Invariant: while no more gateways run than gateways() estimates, and each process starts at most
/// once per window, all gateways together spend at most `extra` retries per window beyond those
/// that they earn in it. A gateway that restarts more often spends its advance each time and pays
/// it back while it runs.
#pragma once

#include <cstdint>

#include "common/recent_maximum.h"
#include "common/time.h"

namespace pumicemast {

struct RetryShareOptions {
  double extra = 100;              ///< Unearned retries per service, of all gateways together.
  std::uint64_t min_gateways = 1;  ///< Fewest gateways among which `extra` is divided.
  std::uint64_t zones = 1;         ///< Number of zones of the whole deployment.
  Duration window = seconds(10);   ///< Period in which `extra` may be spent once.
};

/// Bounds of a gateway's retry budgets.
struct RetryAllowance {
  double reserve = 0;            ///< Retries that a service may save up.
  double advance = 0;            ///< Retries that a new budget starts with and pays back.
  bool reserve_granted = false;  ///< Budgets get the reserve without having earned it.

  bool operator==(const RetryAllowance&) const = default;
};

class RetryShare {
 public:
  /// @param started  start of this process.
  RetryShare(const RetryShareOptions& options, TimePoint started);

  /// An agent reports the number of gateways that it knows.
  void on_gateway_count(std::uint64_t gateways, TimePoint now);
  /// An agent reports the number of gateways in the zone that has the most.
  void on_largest_zone_gateway_count(std::uint64_t gateways, TimePoint now);

  /// Largest gateway count that an agent reported in the last minutes; 0 before any report.
  std::uint64_t reported_gateways(TimePoint now) { return gateway_count_.value(now); }
  /// Estimated number of gateways that share the retries; 0 before any report.
  std::uint64_t gateways(TimePoint now);
  RetryAllowance allowance(TimePoint now);

 private:
  RetryShareOptions options_;
  TimePoint started_;
  /// Maxima, because gateways hidden by a network partition still share the retries.
  RecentMaximum gateway_count_;
  RecentMaximum largest_zone_gateway_count_;
};

}  // namespace pumicemast
