#include "gateway/requests/retry_share.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Longer than network partitions between regions usually last.
constexpr Duration kGatewayCountRetention = seconds(600);
/// Reserve of a gateway that has just started or has no gateway count. It covers occasional
/// failures. 100 gateways without a count hold 200 retries in total, fewer than the 232 that a
/// fleet of 40 may save up.
constexpr double kMinimumReserve = 2;
/// Retries that a budget starts with, so that the first broken stream can be resumed. This part of
/// the share is held back from the reserve, for a process that may replace this one.
constexpr double kAdvance = 1;
/// Latest arrival of requests that the previous process of this gateway sent. Links under load can
/// delay packets by half a second.
constexpr Duration kMaximumNetworkDelay = seconds(1);

}  // namespace

RetryShare::RetryShare(const RetryShareOptions& options, TimePoint started)
    : options_(options),
      started_(started),
      gateway_count_(kGatewayCountRetention),
      largest_zone_gateway_count_(kGatewayCountRetention) {}

void RetryShare::on_gateway_count(std::uint64_t gateways, TimePoint now) {
  gateway_count_.note(gateways, now);
}

void RetryShare::on_largest_zone_gateway_count(std::uint64_t gateways, TimePoint now) {
  largest_zone_gateway_count_.note(gateways, now);
}

std::uint64_t RetryShare::gateways(TimePoint now) {
  // During a network partition agents know only the gateways on their own side, but the settings
  // contain the number of all zones.
  return std::max(reported_gateways(now), largest_zone_gateway_count_.value(now) * options_.zones);
}

RetryAllowance RetryShare::allowance(TimePoint now) {
  const std::uint64_t known = gateways(now);
  const std::uint64_t sharing_gateways = std::max(options_.min_gateways, known);
  const double share = options_.extra / static_cast<double>(sharing_gateways);
  // The previous process of this gateway may have spent its share just before this one started.
  const bool reserve_granted = now - started_ >= options_.window + kMaximumNetworkDelay;
  RetryAllowance allowance;
  allowance.reserve = std::min(share, kMinimumReserve);
  if (reserve_granted && known > 0)
    allowance.reserve = std::max(allowance.reserve, share - kAdvance);
  allowance.advance = std::min(share, kAdvance);
  allowance.reserve_granted = reserve_granted;
  return allowance;
}

}  // namespace pumicemast
