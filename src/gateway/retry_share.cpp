#include "gateway/retry_share.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// For longer than regions usually lose each other.
constexpr Duration kGatewaysRemembered = seconds(600);

}  // namespace

RetryShare::RetryShare(const RetryShareOptions& options, TimePoint started)
    : options_(options), started_(started), told_(kGatewaysRemembered) {}

void RetryShare::on_gateways_told(std::uint64_t gateways, TimePoint now) {
  told_.note(gateways, now);
}

void RetryShare::on_largest_zone_told(std::uint64_t /*gateways*/, TimePoint /*now*/) {}

RetryAllowance RetryShare::allowance(TimePoint now) {
  const std::uint64_t sharers = std::max(options_.least_gateways, told(now));
  return {options_.extra / static_cast<double>(sharers), true};
}

}  // namespace pumicemast
