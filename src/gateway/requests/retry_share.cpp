#include "gateway/requests/retry_share.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// For longer than regions usually lose each other.
constexpr Duration kGatewaysRemembered = seconds(600);
/// Of a gateway that has just started, or knows of no other. Enough for a failure now and then;
/// 100 gateways that know nothing of each other hold fewer than the 232 retries that 40 may.
constexpr double kLeastReserve = 2;
/// Retries a service has at the start: the first stream that breaks can go on. Of the share, this
/// is kept for the process that may come after this one.
constexpr double kAdvance = 1;
/// What the process before this one sent may arrive so late; links under load hold packets up for
/// half a second.
constexpr Duration kLongestTransit = seconds(1);

}  // namespace

RetryShare::RetryShare(const RetryShareOptions& options, TimePoint started)
    : options_(options),
      started_(started),
      told_(kGatewaysRemembered),
      largest_zone_(kGatewaysRemembered) {}

void RetryShare::on_gateways_told(std::uint64_t gateways, TimePoint now) {
  told_.note(gateways, now);
}

void RetryShare::on_largest_zone_told(std::uint64_t gateways, TimePoint now) {
  largest_zone_.note(gateways, now);
}

std::uint64_t RetryShare::gateways(TimePoint now) {
  // Behind a cut agents know the gateways on their own side only; the settings know all zones.
  return std::max(told(now), largest_zone_.value(now) * options_.zones);
}

RetryAllowance RetryShare::allowance(TimePoint now) {
  const std::uint64_t known = gateways(now);
  const std::uint64_t sharers = std::max(options_.least_gateways, known);
  const double share = options_.extra / static_cast<double>(sharers);
  // The process before this one may have spent its share a moment ago.
  const bool full = now - started_ >= options_.window + kLongestTransit;
  RetryAllowance allowance;
  allowance.reserve = std::min(share, kLeastReserve);
  if (full && known > 0) allowance.reserve = std::max(allowance.reserve, share - kAdvance);
  allowance.advance = std::min(share, kAdvance);
  allowance.full = full;
  return allowance;
}

}  // namespace pumicemast
