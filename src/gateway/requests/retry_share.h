/// Decides how many retries beyond its share of requests a gateway may save up.
///
/// A decision core: no I/O. All gateways together may save up `extra` for each service; how many
/// they are, no gateway knows for certain.
///
/// Invariant: as long as no more gateways run than are thought to, and each starts at most once in
/// a window, all of them together spend at most `extra` retries in it that they have not earned in
/// it. One that starts more often spends its advance each time, and pays it back while it runs.
#pragma once

#include <cstdint>

#include "common/recent_maximum.h"
#include "common/time.h"

namespace pumicemast {

struct RetryShareOptions {
  double extra = 100;              ///< Retries for a service, of all gateways together.
  std::uint64_t min_gateways = 1;  ///< That share `extra`.
  std::uint64_t zones = 1;         ///< Of the whole deployment.
  Duration window = seconds(10);   ///< In which `extra` may be spent once.
};

/// What a gateway's retry budgets may hold.
struct RetryAllowance {
  double reserve = 0;            ///< Retries that a service may save up.
  double advance = 0;            ///< Retries that a service has from the start, and pays back.
  bool reserve_granted = false;  ///< Services may have the reserve without having earned it.

  bool operator==(const RetryAllowance&) const = default;
};

class RetryShare {
 public:
  /// @param started  when this process began.
  RetryShare(const RetryShareOptions& options, TimePoint started);

  /// An agent knows so many gateways.
  void on_gateway_count(std::uint64_t gateways, TimePoint now);
  /// The zone with the most gateways has so many, as an agent tells.
  void on_largest_zone_gateway_count(std::uint64_t gateways, TimePoint now);

  /// The most gateways that an agent told of in the last minutes; 0 while none has told.
  std::uint64_t reported_gateways(TimePoint now) { return gateway_count_.value(now); }
  /// Gateways that are thought to share the retries; 0 while nothing is known.
  std::uint64_t gateways(TimePoint now);
  RetryAllowance allowance(TimePoint now);

 private:
  RetryShareOptions options_;
  TimePoint started_;
  /// Gateways that a cut hides for a while still share the retries.
  RecentMaximum gateway_count_;
  RecentMaximum largest_zone_gateway_count_;
};

}  // namespace pumicemast
