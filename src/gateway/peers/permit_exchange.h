/// Carries requests for permits between this gateway and those who issue them.
///
/// The agent beside an engine issues its permits. A plain service has no agent: of all gateways the
/// one that ranks first for it by hash does, and another one while that one is silent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/event_loop.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/peers/fleet_links.h"
#include "gateway/peers/issuer_ranking.h"
#include "limits/permit_issuer.h"

namespace pumicemast {

class PermitExchange {
 public:
  /// @param on_room  a permit may be had, or the answer that none can: requests wait for either.
  PermitExchange(PeerId self, BackendPool& pool, FleetLinks& links, std::function<void()> on_room);

  /// Sends what is due, from the loop. Call after each event that may have asked for a permit.
  void schedule();
  /// Tells the back end's agent what its limit is, if it has an agent.
  /// @return whether it has.
  bool tell_agent(const std::string& backend);
  /// Another gateway asks for a permit for a back end without an agent.
  void on_request(PeerId gateway, const PermitRequest& request);
  void on_answer(PeerId issuer, const PermitAnswer& answer);
  /// Forgets what was issued for back ends that nobody has asked for lately. Call now and then.
  void sweep(TimePoint now);

 private:
  /// Of one life of a back end.
  struct Issuer {
    PermitIssuer permits;
    TimePoint asked_at{};
  };
  void exchange();
  void send(const BackendRecord& record, const PermitCall& call, TimePoint now);
  PermitAnswer issue(const PermitRequest& request, TimePoint now);

  PeerId self_;
  BackendPool& pool_;
  FleetLinks& links_;
  std::function<void()> on_room_;
  IssuerRanking ranking_;
  std::map<BackendIncarnation, Issuer> issuers_;
  Timer timer_;
};

}  // namespace pumicemast
