/// A gateway's connections to the agents of engines and to other gateways.
///
/// Agents report the load of their engines and which other gateways exist. Gateways gossip which
/// configuration is in force and which back ends leave, so that a gateway that is cut off from the
/// platform's store still learns it. Store readers relay the list of back ends to the gateways and
/// agents of their zone.
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
#include "scheduling/slot_messages.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// The part of the back-end list that is sent: gateways get all of it, agents the engines only.
/// Agents exchange weights with the agents of other engines and have no use for plain services.
enum class ListScope { all, engines };

class FleetLinksListener {
 public:
  virtual ~FleetLinksListener() = default;
  virtual void on_engine_report(const Address& engine, const LoadReport& report) = 0;
  virtual void on_others_backlog(const Address& engine, std::uint32_t pending_tokens) = 0;
  /// The round-trip time of a message to the engine's agent.
  virtual void on_round_trip_time(const Address& engine, Duration round_trip_time) = 0;
  /// The link to the engine's agent was lost, or this gateway no longer subscribes to its reports.
  virtual void on_engine_agent_lost(const Address& engine) = 0;
  virtual void on_gossip_state(const GossipState& state) = 0;
  virtual void on_fetched_configuration(const FetchedConfiguration& fetched) = 0;
  /// A gateway of the zone advertises whether it is a store reader and reaches the store.
  virtual void on_reader_status(PeerId gateway, bool reads) = 0;
  /// A gateway of the zone relays the changes that it read, or sends its whole list.
  virtual void on_backend_changes(PeerId gateway, const BackendChanges& changes) = 0;
  /// A gateway of the zone advertises the revision of its list of back ends.
  virtual void on_list_revision_advertised(PeerId gateway, const StoreRevision& revision) = 0;
  /// The list of back ends as known here, and its revision.
  virtual BackendChanges own_backend_list(ListScope scope) = 0;
  virtual GossipState own_gossip_state() = 0;
  virtual void on_crash_update(const CrashUpdate& update) = 0;
  /// The evidence behind all requests in quarantine here.
  virtual CrashUpdate own_verdicts() = 0;
  /// The agent of an engine has granted or denied slots to requests of this gateway.
  virtual void on_slot_decisions(const Address& engine, const SlotDecisions& decisions) = 0;
  virtual void on_permit_request(PeerId gateway, const PermitRequest& request) = 0;
  virtual void on_permit_answer(PeerId issuer, const PermitAnswer& answer) = 0;
};

class FleetLinks {
 public:
  /// @param zone  of this gateway.
  FleetLinks(Address own_address, std::string zone, std::vector<Address> seeds, Metrics& metrics,
             FleetLinksListener& listener);

  /// @return false when the own address cannot be bound.
  bool start();
  /// Sets the engines whose load this gateway subscribes to. Each is assumed to have an agent on
  /// its host, at the port of the own address.
  void set_engines(const std::vector<EngineLocation>& engines);
  /// Sets the revision of the list of back ends as known here.
  void set_list_revision(const StoreRevision& revision) { list_revision_ = revision; }
  /// Relays changes that this gateway read from the store to the gateways and agents of the zone.
  void relay_changes(const BackendChanges& to_gateways, const BackendChanges& to_agents);
  void request_backend_list(PeerId gateway);
  /// Sets the rate of first attempts for engines at this gateway; agents divide the capacity of
  /// their engines among gateways by it.
  void set_demand(double requests_per_s) { demand_ = requests_per_s; }
  /// Sets the descriptions that agents of engines get when they need one.
  void set_descriptions(const std::map<Address, wire::EngineDescriptionT>& by_engine);
  /// Sends a digest to some gateways at once, after a change; the change reaches the others through
  /// them or with the next regular digests.
  void gossip_now();
  /// Sends a digest to `gateway`, which is in the own zone; it answers with its own digest and a
  /// list of gateways when this gateway is new to it or has no list of back ends.
  void exchange_digests(const Address& gateway);
  /// Sets whether this gateway reads the store for its zone.
  void set_reads_store(bool reads);
  /// Sends a digest to all connected gateways of the zone.
  void send_digest_to_zone();
  /// Sets whether the platform's store answers this gateway.
  void set_store_reachable(bool reachable);
  /// `version` is in force here now; other gateways may fetch `document`.
  void on_configuration_in_force(std::uint64_t version, const std::string& document) {
    configurations_.on_in_force(version, document);
  }
  /// Time since another gateway first advertised `version` or a newer one; zero if none did.
  Duration time_since_advertised(std::uint64_t version) const {
    return configurations_.time_since_advertised(version);
  }
  /// Bytes to other gateways that wait in this process for the operating system to take them.
  std::size_t bytes_queued_to_gateways() const;
  /// Reports to the engine's agent how many prompt tokens of this gateway's requests are pending
  /// there; the agent reports them to the other gateways.
  void send_backlog(const Address& engine, double pending_tokens);
  /// Tells the engine's agent which requests of this gateway wait for a slot, or do not any more.
  void send_slot_requests(const Address& engine, const SlotRequests& requests);
  /// Sends a newly named version of a model's weights to the agents of all subscribed engines.
  void announce_weights(const std::string& model, std::uint64_t version);
  /// Sends to some gateways which requests were running when back ends crashed; each forwards what
  /// was new to it.
  void gossip_crashes(const CrashUpdate& update);
  void send(PeerId issuer, const PermitRequest& request);
  void send(PeerId gateway, const PermitAnswer& answer);
  /// The agent of a back end, if this gateway subscribes to its reports.
  std::optional<PeerId> agent_of(const Address& backend) const;
  bool is_agent(PeerId peer) const { return agents_.contains(peer); }
  std::vector<PeerId> known_gateways() const;

 private:
  struct Gateway {
    Address address;
    std::string zone;  ///< Empty while it is not known.
  };
  void tick();
  bool same_zone(PeerId gateway) const;
  /// The gateway's address, or "-" when it is unknown.
  std::string address_text(PeerId gateway) const;
  /// Gateways that get each regular digest.
  std::set<PeerId> regular_recipients() const;
  /// Gateways that get a change at once: those regular recipients that are connected, and some
  /// connected ones drawn at random.
  std::set<PeerId> immediate_recipients();
  void on_agent_lost(PeerId peer);
  /// Sends all known weight versions again: those sent on a link that was lost may not have
  /// arrived.
  void resend_weights(PeerId agent);
  void subscribe(PeerId peer);
  /// Revision of the list while this gateway reads it from the store; otherwise unknown.
  StoreRevision revision_as_reader() const;
  void send_description(PeerId agent, const Address& engine);
  void send_digest(PeerId peer);
  std::vector<PeerId> ring_successors() const;
  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_report(PeerId agent, const wire::EngineReport& message);
  void on_slot_decisions(PeerId agent, const wire::SlotDecisions& message);
  void on_gateway_list(const wire::GatewayList& list);
  void on_list_request(PeerId peer, const wire::BackendListRequest& request);
  void on_digest(PeerId peer, const wire::GatewayDigest& digest);
  /// Adds a gateway, or updates its zone.
  /// @return whether it was unknown before.
  bool add_gateway(const std::string& address, const std::string& zone);
  /// Sends the known gateways of the zone and a digest to a gateway of the zone that has just
  /// started, which knows no other gateways.
  void bootstrap_gateway(PeerId newcomer, const StoreRevision& newcomer_list_revision);

  Address own_address_;
  std::string zone_;
  double demand_ = 0;  ///< First attempts for engines, per second.
  Metrics& metrics_;
  FleetLinksListener& listener_;
  PeerLinks links_;
  /// The engine of each agent whose reports this gateway subscribes to.
  std::map<PeerId, EngineLocation> agents_;
  /// Agents whose links were lost since weights were announced to them.
  std::set<PeerId> agents_to_resend_to_;
  std::map<PeerId, Gateway> gateways_;
  std::set<PeerId> bootstrapped_;  ///< Gateways of the zone that got the gateway list.
  std::map<Address, wire::EngineDescriptionT> descriptions_;
  ConfigurationExchange configurations_;
  VerdictPull verdict_pull_;
  bool reads_store_ = false;
  bool store_reachable_ = false;
  StoreRevision list_revision_;
  std::minstd_rand random_;
  Timer timer_;
};

}  // namespace pumicemast
