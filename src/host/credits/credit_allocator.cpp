#include "host/credits/credit_allocator.h"

#include <algorithm>
#include <cmath>

namespace pumicemast {
namespace {

/// New prompts are admitted while the engine can read all pending ones in this many prefill passes.
constexpr double kMaximumBacklogPasses = 2;
/// A gateway's weight is at least this fraction of the mean: it may be new, or its report of demand
/// may be late.
constexpr double kMinimumDemandFraction = 0.1;

}  // namespace

std::uint32_t CreditAllocator::pending_tokens() const {
  std::uint32_t tokens = 0;
  for (const auto& [gateway, pending] : pending_tokens_) tokens += pending;
  return tokens;
}

std::uint32_t CreditAllocator::pending_tokens_of_others(PeerId gateway) const {
  const auto own = pending_tokens_.find(gateway);
  return pending_tokens() - (own == pending_tokens_.end() ? 0 : own->second);
}

std::uint32_t CreditAllocator::prompt_allowance(const EngineCapacity& capacity) const {
  const double readable = kMaximumBacklogPasses * capacity.prefill_chunk_tokens;
  const double pending = pending_tokens();
  if (pending >= readable) return 0;
  return static_cast<std::uint32_t>((readable - pending) /
                                    std::max(1.0, capacity.usual_prompt_tokens)) +
         1;
}

std::map<PeerId, std::uint32_t> CreditAllocator::allocate(const EngineCapacity& capacity,
                                                          const std::vector<PeerId>& gateways) {
  std::map<PeerId, std::uint32_t> credits;
  for (const PeerId gateway : gateways) credits[gateway] = 0;
  if (gateways.empty() || capacity.occupied >= capacity.slots) return credits;
  const std::uint32_t count =
      std::min(capacity.slots - capacity.occupied, prompt_allowance(capacity));
  const std::map<PeerId, double> share_of = shares(gateways);
  const auto smaller_deficit = [this](const auto& left, const auto& right) {
    return deficits_[left.first] < deficits_[right.first];
  };
  for (std::uint32_t allocated = 0; allocated < count; ++allocated) {
    for (const auto& [gateway, share] : share_of) deficits_[gateway] += share;
    const PeerId recipient =
        std::max_element(share_of.begin(), share_of.end(), smaller_deficit)->first;
    deficits_[recipient] -= 1;
    ++credits[recipient];
  }
  return credits;
}

// Proportional to the square root of the demand: a gateway may reuse the slot of a finished request
// at once, so that gateways with more callers hold more slots than they got credits for. Shares
// proportional to the demand itself would have callers of small gateways refused more often, equal
// shares those of large ones.
std::map<PeerId, double> CreditAllocator::shares(const std::vector<PeerId>& gateways) const {
  std::map<PeerId, double> weights;
  double known_total = 0;
  for (const PeerId gateway : gateways) {
    const auto known = demand_.find(gateway);
    weights[gateway] = known == demand_.end() ? 0 : std::sqrt(known->second);
    known_total += weights[gateway];
  }
  const double mean = known_total / static_cast<double>(gateways.size());
  const double floor = mean > 0 ? mean * kMinimumDemandFraction : 1;
  double total = 0;
  for (auto& [gateway, weight] : weights) {
    weight = std::max(weight, floor);
    total += weight;
  }
  for (auto& [gateway, weight] : weights) weight /= total;
  return weights;
}

void CreditAllocator::remove_gateway(PeerId gateway) {
  pending_tokens_.erase(gateway);
  demand_.erase(gateway);
  deficits_.erase(gateway);
}

}  // namespace pumicemast
