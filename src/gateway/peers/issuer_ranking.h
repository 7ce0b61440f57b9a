/// Which gateway issues the permits for a back end that has no agent.
///
/// A decision core: no I/O. Gateways that know the same others choose the same one.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

class IssuerRanking {
 public:
  /// The gateway that ranks first by hash, this one among them, of those that are not silent.
  PeerId choose(const std::string& backend, PeerId self, const std::vector<PeerId>& gateways,
                TimePoint now);
  /// An answer of that gateway is awaited.
  void on_asked(PeerId gateway, TimePoint now) { unanswered_since_.try_emplace(gateway, now); }
  void on_answered(PeerId gateway) { unanswered_since_.erase(gateway); }

 private:
  bool unresponsive(PeerId gateway, TimePoint now) const;

  std::map<PeerId, TimePoint> unanswered_since_;
};

}  // namespace pumicemast
