#include "gateway/requests/retry_share.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// For longer than regions usually lose each other.
constexpr Duration kGatewayCountRetention = seconds(600);
/// Of a gateway that has just started, or knows of no other. Enough for a failure now and then;
/// 100 gateways that know nothing of each other hold fewer than the 232 retries that 40 may.
constexpr double kMinimumReserve = 2;
/// Retries a service has at the start: the first stream that breaks can go on. Of the share, this
/// is kept for the process that may come after this one.
constexpr double kAdvance = 1;
/// What the process before this one sent may arrive so late; links under load hold packets up for
/// half a second.
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
  // Behind a cut agents know the gateways on their own side only; the settings know all zones.
  return std::max(reported_gateways(now), largest_zone_gateway_count_.value(now) * options_.zones);
}

RetryAllowance RetryShare::allowance(TimePoint now) {
  const std::uint64_t known = gateways(now);
  const std::uint64_t sharing_gateways = std::max(options_.min_gateways, known);
  const double share = options_.extra / static_cast<double>(sharing_gateways);
  // The process before this one may have spent its share a moment ago.
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
