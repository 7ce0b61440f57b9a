/// What a gateway knows of its fleet: the configuration in force, back ends, named weights.
///
/// Gathers it from the platform's feed, from agents and from other gateways, and passes on what
/// others may lack. Where they differ the newer version or revision goes first.
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
#include "gateway/peers/backend_list_relay.h"
#include "gateway/peers/fleet_links.h"
#include "gateway/peers/list_holders.h"
#include "gateway/peers/permit_exchange.h"
#include "gateway/peers/store_reading_loop.h"
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/requests/retry_share.h"
#include "gateway/requests/route_table.h"

namespace pumicemast {

class FleetState : public FleetListener, public FleetLinksListener {
 public:
  struct Callbacks {
    /// Another configuration is in force.
    std::function<void(const RouteTablePointer& routes)> on_routes;
    /// An engine may have room that it had not.
    std::function<void()> on_report;
    /// An engine's process has ended; the agent beside it lives on.
    std::function<void(const std::string& backend)> on_engine_ended;
  };

  FleetState(const GatewaySettings& settings, FleetFeed& feed, GatewayLog& log, Metrics& metrics,
             Callbacks callbacks);

  /// @return false when the internal address cannot be bound.
  bool start();
  void set_changeover(Duration changeover, Duration start_bound);
  /// Tells agents which of this gateway's prompts wait at their engines, where that has changed.
  void tell_backlogs();
  /// Tells and logs which back ends name other limits than before.
  void follow_limits();
  /// Asks for permits, or returns those that no request waits for.
  void exchange_permits(bool requests_wait);
  void set_demand(double requests_per_s) { links_.set_demand(requests_per_s); }
  /// Forgets back ends that are gone, counts the gateways. Call now and then.
  void sweep(TimePoint now);
  /// Gateways that are thought to share the retries; 0 while nothing is known.
  std::uint64_t retry_sharers(TimePoint now) { return retry_share_.gateways(now); }
  /// What this gateway's retry budgets may hold, by the gateways that are known.
  RetryAllowance retry_allowance(TimePoint now) { return retry_share_.allowance(now); }

  BackendPool& pool() { return pool_; }
  const WeightTargets& targets() const { return targets_; }
  RequestQuarantine& quarantine() { return quarantine_; }
  /// Tells other gateways what is new of requests under which back ends ended.
  void tell_crashes();
  /// Null before the first configuration.
  const RouteTablePointer& routes() const { return routes_; }
  std::uint64_t configuration_version() const { return routes_ ? routes_->version() : 0; }
  std::size_t bytes_queued_to_gateways() const { return links_.bytes_queued_to_gateways(); }

 private:
  // FleetListener
  void on_configuration(FleetConfiguration configuration, const std::string& document) override;
  void on_backend_list(const std::vector<BackendRecord>& records, std::uint64_t revision) override;
  void on_backend(const BackendRecord& record) override;
  void on_backend_removed(const std::string& id, std::uint64_t revision) override;
  void on_backends_current(std::uint64_t revision) override;
  void on_weights_named(const std::string& model, std::uint64_t version, Duration oldest) override;
  void on_list_reachable(bool reachable) override;
  void on_store_reachable(bool reachable) override;
  // FleetLinksListener
  void on_engine_report(const Address& engine, const LoadReport& report) override;
  void on_path_delay(const Address& engine, Duration delay) override;
  void on_others_backlog(const Address& engine, std::uint32_t unread_tokens) override;
  void on_engine_agent_lost(const Address& engine) override;
  void on_other_knowledge(const GatewayKnowledge& knowledge) override;
  void on_other_configuration(const FetchedConfiguration& fetched) override;
  void on_near_gateway(PeerId gateway, bool reads) override;
  void on_backend_changes(PeerId gateway, const BackendChanges& changes) override;
  void on_list_revision_told(PeerId gateway, std::uint64_t revision) override;
  BackendChanges own_backend_list(ListScope scope) override;
  GatewayKnowledge own_knowledge() override;
  void on_crash_news(const CrashNews& news) override;
  CrashNews own_verdicts() override;
  void on_permit_request(PeerId gateway, const PermitRequest& request) override;
  void on_permit_answer(PeerId issuer, const PermitAnswer& answer) override;

  void on_store_reader(bool reads);
  /// The list of back ends is as its reader knows it, here or elsewhere.
  void on_list_known();
  void on_read_by_others();
  bool concerns_agents(const BackendChange& change) const;
  void apply_configuration(FleetConfiguration configuration, const std::string& document,
                           const char* source, const std::string& from);
  void note_backend(const BackendRecord& record);
  void note_gone(const std::string& id, std::uint64_t revision);
  void note_backend_list(const std::vector<BackendRecord>& records, std::uint64_t revision);
  /// Which engines this gateway hears of and sends to, as the list now is.
  void update_engines();
  void note_weights(const std::string& model, std::uint64_t version, TimePoint named_at,
                    bool assumed);

  void log_limit(const LimitChange& change);
  std::vector<ToldLimit> limits_to_tell() const;

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
  RouteTablePointer routes_;
  BackendListRelay list_relay_;
  ListHolders list_holders_;
  StoreReadingLoop reading_;
  bool list_known_ = false;
  bool store_reachable_ = false;
  RetryShare retry_share_;
  TimePoint limits_told_at_{};
};

}  // namespace pumicemast
