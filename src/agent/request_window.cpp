#include "agent/request_window.h"

#include <algorithm>
#include <climits>

namespace pumicemast {
namespace {

/// Open requests of a transfer whose priority is not the highest.
constexpr std::uint32_t kBackgroundWindow = 1;

}  // namespace

std::vector<std::uint32_t> allocate_request_window(const std::vector<TransferDemand>& demands,
                                                   std::uint32_t window) {
  int highest = INT_MIN;
  for (const TransferDemand& demand : demands) {
    if (demand.active) highest = std::max(highest, demand.priority);
  }
  const auto highest_count = std::count_if(
      demands.begin(), demands.end(),
      [&](const TransferDemand& demand) { return demand.active && demand.priority == highest; });
  const auto divisor = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, highest_count));
  const std::uint32_t share = std::max(1U, window / divisor);
  std::vector<std::uint32_t> result;
  result.reserve(demands.size());
  for (const TransferDemand& demand : demands) {
    result.push_back(demand.priority >= highest ? share : kBackgroundWindow);
  }
  return result;
}

}  // namespace pumicemast
