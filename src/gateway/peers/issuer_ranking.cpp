#include "gateway/peers/issuer_ranking.h"

#include "common/hash.h"

namespace pumicemast {
namespace {

/// An issuer that has left a request unanswered for this time is skipped: its process may have
/// exited, or it may be cut off.
constexpr Duration kResponseTimeout = seconds(1);
/// A skipped issuer is asked again after this time, as it may be reachable again.
constexpr Duration kSkipPeriod = seconds(5);

}  // namespace

bool IssuerRanking::unresponsive(PeerId gateway, TimePoint now) const {
  const auto asked = unanswered_since_.find(gateway);
  return asked != unanswered_since_.end() && now - asked->second > kResponseTimeout;
}

PeerId IssuerRanking::choose(const std::string& backend, PeerId self,
                             const std::vector<PeerId>& gateways, TimePoint now) {
  std::erase_if(unanswered_since_, [now](const auto& entry) {
    return now - entry.second > kResponseTimeout + kSkipPeriod;
  });
  const auto rank = [&backend](PeerId gateway) {
    return stable_hash(backend + "/" + std::to_string(gateway));
  };
  PeerId best = self;
  for (const PeerId gateway : gateways) {
    if (!unresponsive(gateway, now) && rank(gateway) > rank(best)) best = gateway;
  }
  return best;
}

}  // namespace pumicemast
