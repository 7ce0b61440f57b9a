/// A gateway's view of its fleet: the configuration in force, back ends, named weights.
///
/// Merges the platform's feed, the reports of agents and the digests of other gateways, and relays
/// what other processes may lack. Where sources differ, the newer version or revision wins.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/feeds.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/backends/weight_targets.h"
#include "gateway/gateway_log.h"
#include "gateway/gateway_settings.h"
#include "gateway/peers/backend_list_holders.h"
#include "gateway/peers/backend_list_relay.h"
#include "gateway/peers/fleet_links.h"
#include "gateway/peers/permit_exchange.h"
#include "gateway/peers/slot_request_outbox.h"
#include "gateway/peers/store_reader_loop.h"
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/requests/retry_share.h"
#include "gateway/requests/route_table.h"

namespace pumicemast {

class FleetState : public FleetListener, public FleetLinksListener {
 public:
  struct Callbacks {
    /// A new configuration is in force.
    std::function<void(const RouteTablePointer& routes)> on_routes;
    /// Waiting requests may be able to start: an engine reported, or a permit request was answered.
    std::function<void()> on_report;
    /// An engine's agent has granted or denied slots to requests of this gateway.
    std::function<void(const Address& engine, const SlotDecisions& decisions)> on_slot_decisions;
    /// An engine's agent was lost, with the requests that waited there.
    std::function<void(const Address& engine)> on_slot_queue_lost;
    /// An engine's process has exited while its agent keeps running.
    std::function<void(const std::string& backend)> on_engine_ended;
  };

  FleetState(const GatewaySettings& settings, FleetFeed& feed, GatewayLog& log, Metrics& metrics,
             Callbacks callbacks);

  /// @return false when the internal address cannot be bound.
  bool start();
  void set_changeover(Duration changeover, Duration start_bound);
  /// Reports to agents how many prompt tokens of this gateway are pending at their engines, where
  /// that has changed.
  void send_backlogs();
  /// What the agents of engines are told about requests that wait for slots.
  SlotRequestOutbox& slot_requests() { return slot_requests_; }
  /// Logs what responses of back ends have changed: their announcements and pauses, and their rate
  /// limits. What other gateways need is sent to the agents or gossiped.
  void propagate_backend_changes();
  /// Requests the permits that are due. When no request waits, returns the unused ones.
  void exchange_permits(bool requests_wait);
  void set_demand(double requests_per_s) { links_.set_demand(requests_per_s); }
  /// Drops expired state and updates the number of gateways. Call periodically.
  void sweep(TimePoint now);
  /// Estimated number of gateways that share the retries; 0 while nothing is known.
  std::uint64_t gateways_sharing_retries(TimePoint now) { return retry_share_.gateways(now); }
  /// What this gateway's retry budgets may hold, given the known number of gateways.
  RetryAllowance retry_allowance(TimePoint now) { return retry_share_.allowance(now); }

  BackendPool& pool() { return pool_; }
  const WeightTargets& targets() const { return targets_; }
  RequestQuarantine& quarantine() { return quarantine_; }
  /// Gossips new evidence of requests that were running when back ends crashed.
  void gossip_crashes();
  /// Null before the first configuration.
  const RouteTablePointer& routes() const { return routes_; }
  std::uint64_t configuration_version() const { return routes_ ? routes_->version() : 0; }
  std::size_t bytes_queued_to_gateways() const { return links_.bytes_queued_to_gateways(); }

 private:
  // FleetListener
  void on_configuration(FleetConfiguration configuration, const std::string& document) override;
  void on_backend_list(const std::vector<BackendRecord>& records,
                       const StoreRevision& revision) override;
  void on_backend(const BackendRecord& record) override;
  void on_backend_removed(const std::string& id, const StoreRevision& revision) override;
  void on_backends_current(const StoreRevision& revision) override;
  void on_weights_named(const std::string& model, std::uint64_t version, Duration oldest) override;
  void on_evacuations(const EvacuationSnapshot& snapshot) override;
  void on_list_reachable(bool reachable) override;
  void on_store_reachable(bool reachable) override;
  // FleetLinksListener
  void on_engine_report(const Address& engine, const LoadReport& report) override;
  void on_round_trip_time(const Address& engine, Duration round_trip_time) override;
  void on_others_backlog(const Address& engine, std::uint32_t pending_tokens) override;
  void on_engine_agent_lost(const Address& engine) override;
  void on_gossip_state(const GossipState& state) override;
  void on_fetched_configuration(const FetchedConfiguration& fetched) override;
  void on_reader_status(PeerId gateway, bool reads) override;
  void on_backend_changes(PeerId gateway, const BackendChanges& changes) override;
  void on_list_revision_advertised(PeerId gateway, const StoreRevision& revision) override;
  BackendChanges own_backend_list(ListScope scope) override;
  GossipState own_gossip_state() override;
  void on_crash_update(const CrashUpdate& update) override;
  CrashUpdate own_verdicts() override;
  void on_slot_decisions(const Address& engine, const SlotDecisions& decisions) override;
  void on_permit_request(PeerId gateway, const PermitRequest& request) override;
  void on_permit_answer(PeerId issuer, const PermitAnswer& answer) override;

  void apply_evacuations(const EvacuationSnapshot& snapshot, const char* source);
  void log_evacuations(const char* source);
  /// Logs and counts the regions of the configuration in which no zone is.
  void report_unknown_regions(const FleetConfiguration& configuration);
  void report_locality_finding(const char* kind, const std::string& name);
  void on_reader_change(bool reads);
  /// The whole list of back ends is known, from the store or from another gateway.
  void on_list_known();
  /// Marks the store as reachable while other gateways of the zone read it.
  void assume_store_reachable();
  bool concerns_agents(const BackendChange& change) const;
  void apply_configuration(FleetConfiguration configuration, const std::string& document,
                           const char* source, const std::string& from);
  void apply_backend(const BackendRecord& record);
  void apply_backend_removal(const std::string& id, const StoreRevision& revision);
  void apply_backend_list(const std::vector<BackendRecord>& records, const StoreRevision& revision);
  /// Chooses again, from the current list, the engines that this gateway subscribes to and sends
  /// requests to.
  void update_engines();
  void apply_named_weights(const std::string& model, std::uint64_t version, TimePoint named_at,
                           bool assumed);

  void log_limit(const LimitChange& change);
  void log_notice(const NoticeChange& change);
  std::vector<AdvertisedLimit> limits_to_advertise() const;

  std::string zone_;
  PeerId self_;
  FleetFeed& feed_;
  GatewayLog& log_;
  Metrics& metrics_;
  Callbacks callbacks_;
  BackendPool pool_;
  WeightTargets targets_;
  RequestQuarantine quarantine_;
  FleetLinks links_;
  PermitExchange permits_;
  SlotRequestOutbox slot_requests_;
  RouteTablePointer routes_;
  BackendListRelay list_relay_;
  BackendListHolders backend_list_holders_;
  StoreReaderLoop store_reader_;
  bool list_known_ = false;
  bool store_reachable_ = false;
  RetryShare retry_share_;
  TimePoint backends_gossiped_at_{};
};

}  // namespace pumicemast
