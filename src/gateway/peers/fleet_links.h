/// A gateway's connections to the agents beside the engines and to other gateways.
///
/// Agents tell the load of their engines and which other gateways there are. Gateways tell
/// each other which configuration is in force and which back ends leave, so that one that is
/// cut off from the platform's store still learns it. Those that read the store pass the list of
/// back ends on to the gateways and agents of their zone.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/event_loop.h"
#include "common/metrics.h"
#include "fleet/backend_list.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/backends/engine_subset.h"
#include "gateway/backends/weight_targets.h"
#include "gateway/peers/configuration_exchange.h"
#include "gateway/peers/gateway_digest.h"
#include "gateway/quarantine/crash_update.h"
#include "gateway/quarantine/verdict_pull.h"
#include "limits/permit_issuer.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// Agents exchange weights with those beside other engines; of plain services they need nothing.
enum class ListScope { all, engines };

class FleetLinksListener {
 public:
  virtual ~FleetLinksListener() = default;
  virtual void on_engine_report(const Address& engine, const LoadReport& report) = 0;
  virtual void on_others_backlog(const Address& engine, std::uint32_t unread_tokens) = 0;
  /// A message to the agent beside the engine and back took so long.
  virtual void on_path_delay(const Address& engine, Duration delay) = 0;
  virtual void on_engine_agent_lost(const Address& engine) = 0;
  virtual void on_other_knowledge(const GatewayKnowledge& knowledge) = 0;
  virtual void on_other_configuration(const FetchedConfiguration& fetched) = 0;
  /// A gateway of the zone tells whether it reads the store, and reaches it.
  virtual void on_near_gateway(PeerId gateway, bool reads) = 0;
  /// A gateway of the zone passes on what it read.
  virtual void on_backend_changes(PeerId gateway, const BackendChanges& changes) = 0;
  /// The list of a gateway of the zone is of that revision.
  virtual void on_list_revision_told(PeerId gateway, std::uint64_t revision) = 0;
  /// The list as it is known here, and its revision.
  virtual BackendChanges own_backend_list(ListScope scope) = 0;
  virtual GatewayKnowledge own_knowledge() = 0;
  virtual void on_crash_news(const CrashUpdate& news) = 0;
  /// The evidence of all verdicts on requests.
  virtual CrashUpdate own_verdicts() = 0;
  virtual void on_permit_request(PeerId gateway, const PermitRequest& request) = 0;
  virtual void on_permit_answer(PeerId issuer, const PermitAnswer& answer) = 0;
};

class FleetLinks {
 public:
  /// @param zone  where this gateway stands.
  FleetLinks(Address own_address, std::string zone, std::vector<Address> seeds, Metrics& metrics,
             FleetLinksListener& listener);

  /// @return false when the own address cannot be bound.
  bool start();
  /// The engines that this gateway is to hear of; an agent is thought beside each, on the port of
  /// the own address.
  void set_engines(const std::vector<EngineLocation>& engines);
  /// The list of back ends is of that revision here.
  void set_list_revision(std::uint64_t revision) { list_revision_ = revision; }
  /// Tells the gateways and agents of the zone what this gateway has read.
  void pass_on(const BackendChanges& to_gateways, const BackendChanges& to_agents);
  void ask_backend_list(PeerId gateway);
  /// How many first attempts for engines reach this gateway in a second; agents deal room by it.
  void set_demand(double requests_per_s) { demand_ = requests_per_s; }
  /// What agents are told of their engines; empty services have none.
  void set_descriptions(const std::map<Address, wire::EngineDescriptionT>& by_engine);
  /// Tells some gateways at once, after something changed; the others hear it from them, or from
  /// the next regular digests.
  void tell_others();
  /// Tells `gateway`, which stands in the own zone, what is known here; it answers with the same.
  void greet(const Address& gateway);
  /// Whether this gateway reads the store, for its zone.
  void set_reads_store(bool reads);
  /// Tells all gateways of the zone that this one is connected to.
  void tell_zone();
  /// Whether the platform's store answers this gateway.
  void set_store_reachable(bool reachable);
  /// `version` is in force here; other gateways may fetch `document`.
  void on_configuration_in_force(std::uint64_t version, const std::string& document) {
    configurations_.on_in_force(version, document);
  }
  /// For how long another gateway has been known to have `version` or a newer one.
  Duration known_elsewhere_for(std::uint64_t version) const {
    return configurations_.known_elsewhere_for(version);
  }
  /// Bytes to other gateways that the system has not taken yet.
  std::size_t bytes_queued_to_gateways() const;
  /// Tells the agent beside `engine` how many prompt tokens this gateway's requests wait to be
  /// read there; the agent tells other gateways.
  void tell_backlog(const Address& engine, double unread_tokens);
  void tell_weights_named(const std::string& model, std::uint64_t version);
  /// Tells some gateways under which requests back ends have ended; each tells others what was new
  /// to it.
  void tell_crashes(const CrashUpdate& news);
  void send(PeerId issuer, const PermitRequest& request);
  void send(PeerId gateway, const PermitAnswer& answer);
  /// The agent beside a back end, if this gateway hears from it.
  std::optional<PeerId> agent_of(const Address& backend) const;
  bool is_agent(PeerId peer) const { return agents_.contains(peer); }
  std::vector<PeerId> known_gateways() const;

 private:
  struct Gateway {
    Address address;
    std::string zone;  ///< Empty while it is not known.
  };
  void tick();
  bool near(PeerId gateway) const;
  /// "-" where it is not known.
  std::string address_text(PeerId gateway) const;
  /// Those that this one tells regularly.
  std::set<PeerId> regular_gateways() const;
  /// Those that hear of a change at once: the regular ones and some drawn by lot, if connected.
  std::set<PeerId> gateways_told_at_once();
  void on_agent_lost(PeerId peer);
  /// What was told on a link that was lost may not have arrived.
  void tell_weights_again(PeerId agent);
  void subscribe(PeerId peer);
  /// Of the list that this gateway reads for its zone; 0 when others do.
  std::uint64_t revision_read() const;
  void tell_descriptions();
  void send_digest(PeerId peer);
  std::vector<PeerId> chosen_gateways() const;
  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_report(const wire::EngineReport& message);
  void on_gateway_list(const wire::GatewayList& list);
  void on_list_request(PeerId peer, const wire::BackendListRequest& request);
  void on_digest(PeerId peer, const wire::GatewayDigest& digest);
  /// @return whether it was not known before.
  bool note_gateway(const std::string& address, const std::string& zone);
  /// A gateway of the zone that has just started knows no other one.
  void welcome(PeerId newcomer, std::uint64_t its_list_revision);

  Address own_address_;
  std::string zone_;
  double demand_ = 0;  ///< Requests a second.
  Metrics& metrics_;
  FleetLinksListener& listener_;
  PeerLinks links_;
  /// The engine beside each agent that this gateway hears from.
  std::map<PeerId, EngineLocation> agents_;
  std::set<PeerId> agents_to_tell_again_;  ///< Their links were lost since they were told.
  std::map<PeerId, Gateway> gateways_;
  std::set<PeerId> welcomed_;  ///< Gateways of the zone that have been told of the others.
  std::map<Address, wire::EngineDescriptionT> descriptions_;
  ConfigurationExchange configurations_;
  VerdictPull verdict_pull_;
  bool reads_store_ = false;
  bool store_reachable_ = false;
  std::uint64_t list_revision_ = 0;
  std::minstd_rand random_;
  std::uint64_t tick_count_ = 0;
  Timer timer_;
};

}  // namespace pumicemast
