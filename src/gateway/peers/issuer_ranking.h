/// Chooses the gateway that issues the permits for a back end without an agent.
///
/// A decision core: no I/O. Gateways that know the same gateways choose the same issuer.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

class IssuerRanking {
 public:
  /// The first by hash rank of this gateway and the others, without those that are unresponsive.
  PeerId choose(const std::string& backend, PeerId self, const std::vector<PeerId>& gateways,
                TimePoint now);
  /// A request that expects an answer was sent to `gateway`.
  void on_asked(PeerId gateway, TimePoint now) { unanswered_since_.try_emplace(gateway, now); }
  void on_answered(PeerId gateway) { unanswered_since_.erase(gateway); }

 private:
  bool unresponsive(PeerId gateway, TimePoint now) const;

  std::map<PeerId, TimePoint> unanswered_since_;
};

}  // namespace pumicemast
