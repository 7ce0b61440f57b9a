/// Exchanges permit requests and answers between this gateway and the issuers of permits.
///
/// The agent of an engine issues the engine's permits. For a back end without an agent, the gateway
/// that ranks first for it by hash issues them, or the next one while that one is unresponsive.
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
  /// @param on_permits_changed  called after an answer, whether or not a permit was granted:
  ///                            requests wait for either.
  PermitExchange(PeerId self, BackendPool& pool, FleetLinks& links,
                 std::function<void()> on_permits_changed);

  /// Schedules the messages that are due, to be sent from the loop. Call after each event that may
  /// have requested a permit.
  void schedule();
  /// Sends the back end's limit to its agent, if it has one.
  /// @return whether it has an agent.
  bool send_limit_to_agent(const std::string& backend);
  /// Another gateway requests or returns permits for a back end without an agent.
  void on_request(PeerId gateway, const PermitRequest& request);
  void on_answer(PeerId issuer, const PermitAnswer& answer);
  /// Drops issuers of back ends without recent requests. Call periodically.
  void sweep(TimePoint now);

 private:
  /// Issues permits for one process of a back end.
  struct Issuer {
    PermitIssuer permits;
    TimePoint last_request_at{};
  };
  void exchange();
  void send(const BackendRecord& record, const PermitMessage& call, TimePoint now);
  PermitAnswer issue(const PermitRequest& request, TimePoint now);

  PeerId self_;
  BackendPool& pool_;
  FleetLinks& links_;
  std::function<void()> on_permits_changed_;
  IssuerRanking ranking_;
  std::map<BackendIncarnation, Issuer> issuers_;
  Timer timer_;
};

}  // namespace pumicemast
