#include "host/credits/credit_dealer.h"

#include <algorithm>
#include <cmath>

namespace pumicemast {
namespace {

/// Prompts are let in ahead while they can be read in so many passes of the engine.
constexpr double kPassesAhead = 2;
/// A gateway counts with at least this share of the mean demand: it may be new, or its word be
/// late.
constexpr double kLeastDemandShare = 0.1;

}  // namespace

std::uint32_t CreditDealer::unread() const {
  std::uint32_t tokens = 0;
  for (const auto& [gateway, unread] : unread_) tokens += unread;
  return tokens;
}

std::uint32_t CreditDealer::unread_of_others(PeerId gateway) const {
  const auto own = unread_.find(gateway);
  return unread() - (own == unread_.end() ? 0 : own->second);
}

std::uint32_t CreditDealer::prompts_ahead(const EngineRoom& room) const {
  const double readable = kPassesAhead * room.prompt_chunk;
  const double waiting = unread();
  if (waiting >= readable) return 0;
  return static_cast<std::uint32_t>((readable - waiting) / std::max(1.0, room.usual_prompt)) + 1;
}

std::map<PeerId, std::uint32_t> CreditDealer::deal(const EngineRoom& room,
                                                   const std::vector<PeerId>& gateways) {
  std::map<PeerId, std::uint32_t> credits;
  for (const PeerId gateway : gateways) credits[gateway] = 0;
  if (gateways.empty() || room.taken >= room.slots) return credits;
  const std::uint32_t count = std::min(room.slots - room.taken, prompts_ahead(room));
  const std::map<PeerId, double> share_of = shares(gateways);
  const auto owed_least = [this](const auto& left, const auto& right) {
    return owed_[left.first] < owed_[right.first];
  };
  for (std::uint32_t dealt = 0; dealt < count; ++dealt) {
    for (const auto& [gateway, share] : share_of) owed_[gateway] += share;
    const PeerId next = std::max_element(share_of.begin(), share_of.end(), owed_least)->first;
    owed_[next] -= 1;
    ++credits[next];
  }
  return credits;
}

// By the root of the demand: whoever finishes a request may use its place again at once, so that
// gateways with more callers keep more places than they are dealt. Dealt by the demand itself the
// callers of small gateways would be refused more often, dealt equally those of large ones.
std::map<PeerId, double> CreditDealer::shares(const std::vector<PeerId>& gateways) const {
  std::map<PeerId, double> weights;
  double told = 0;
  for (const PeerId gateway : gateways) {
    const auto known = demand_.find(gateway);
    weights[gateway] = known == demand_.end() ? 0 : std::sqrt(known->second);
    told += weights[gateway];
  }
  const double mean = told / static_cast<double>(gateways.size());
  const double least = mean > 0 ? mean * kLeastDemandShare : 1;
  double total = 0;
  for (auto& [gateway, weight] : weights) {
    weight = std::max(weight, least);
    total += weight;
  }
  for (auto& [gateway, weight] : weights) weight /= total;
  return weights;
}

void CreditDealer::forget(PeerId gateway) {
  unread_.erase(gateway);
  demand_.erase(gateway);
  owed_.erase(gateway);
}

}  // namespace pumicemast
