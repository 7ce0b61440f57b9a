/// The agent beside an engine: brings weights to it and tells gateways how loaded it is.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/event_loop.h"
#include "common/log_budget.h"
#include "common/metrics.h"
#include "common/state_chart.h"
#include "host/credits/credit_allocator.h"
#include "host/credits/report_schedule.h"
#include "host/engine_control.h"
#include "host/engine_list.h"
#include "host/host_settings.h"
#include "host/staging/model_stager.h"
#include "http1/status_server.h"
#include "limits/permit_issuer.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// Makes the origin's client once its address is known.
class WeightOriginFactory {
 public:
  virtual ~WeightOriginFactory() = default;
  virtual std::unique_ptr<WeightOrigin> make(const OriginProfile& origin) = 0;
};

class HostDaemon : private HostListener {
 public:
  HostDaemon(HostSettings settings, const StateChart& chart, EventLoop& loop,
             std::unique_ptr<EngineControl> engine,
             std::unique_ptr<WeightOriginFactory> origin_factory, std::unique_ptr<HostFeed> feed);
  ~HostDaemon() override;

  /// Fails with ErrorCode::unavailable when an address cannot be bound.
  leaf::result<void> start();
  /// Ends the process, once no order to the engine may still be carried out.
  void terminate();
  /// Takes over what may change while running; addresses and names may not.
  void reload(const HostSettings& settings);

 private:
  struct Subscriber {
    TimePoint renewed_at{};
    std::string address;
    std::string zone;
    bool same_zone = true;                     ///< It stands in the agent's zone.
    std::uint64_t ping = 0;                    ///< Its last one that was not sent back yet; or 0.
    std::uint32_t reported_others_tokens = 0;  ///< What it was told of the others'.
  };
  /// Another gateway of the zone at each call; agents begin at different ones.
  PeerId next_zone_gateway(PeerId fallback);
  /// New requests that each gateway may send until its next report; only for those that get one.
  std::map<PeerId, std::uint32_t> allocate_credits(const LoadReport& report,
                                                   ReportAudience audience);

  void on_engine_profile(const EngineProfile& profile, const OriginProfile& origin) override;
  void on_backend_list(const std::vector<BackendRecord>& records, std::uint64_t revision) override;
  void on_weights_named(const std::string& model, std::uint64_t version) override;

  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_subscription(PeerId peer, const wire::ReportSubscription& subscription);
  void on_description(const wire::EngineDescription& description);
  void on_prompt_backlog(PeerId peer, const wire::PromptBacklog& backlog);
  /// A gateway wants to send to the engine, which may have named a limit for all of them.
  void on_permit_request(PeerId peer, const PermitRequest& request);
  /// Tells all gateways of another limit.
  void report_limit_change();
  void send_backlogs();
  void remove_subscriber(PeerId peer);
  void remove_expired_subscribers(TimePoint now);
  void poll_engine();
  void on_load(const LoadReport& report);
  /// The engine's load, with what the stagers are about to do.
  LoadReport current_load(TimePoint now);
  std::uint32_t largest_zone_gateways() const;
  wire::EngineReportT encode(const LoadReport& report) const;
  void send_report(bool forced);
  /// Tells the gateways of the zone which others there are.
  void send_gateway_lists();
  void send_gateway_list(PeerId peer, const std::set<PeerId>& gateways);
  void on_reader_status(PeerId gateway, std::uint64_t list_revision);
  void on_backend_changes(PeerId gateway, const BackendChanges& changes);
  /// The engines of the list are this agent's peers.
  void on_peers_timeout();
  void update_peers();
  void tick();
  void schedule_tick();
  /// Ends a process that was told to, if nothing holds it any more.
  void stop_if_settled(TimePoint now);
  void log_line(const std::string& kind, const std::string& line);

  HostSettings settings_;
  const StateChart& chart_;
  EventLoop& loop_;
  std::unique_ptr<EngineControl> engine_;
  std::unique_ptr<WeightOriginFactory> origin_factory_;
  std::unique_ptr<HostFeed> feed_;
  Metrics metrics_;
  LogBudget log_budget_;
  PeerLinks links_;
  StatusServer metrics_server_;
  std::unique_ptr<WeightOrigin> origin_;
  std::map<std::string, std::unique_ptr<ModelStager>> stagers_;
  std::map<std::string, std::uint64_t> named_versions_;
  std::set<StagingPeer> peers_;
  bool peers_overdue_ = false;
  Timer peers_timer_;
  std::map<PeerId, Subscriber> subscribers_;
  std::set<PeerId> unannounced_subscribers_;  ///< Of whom the others were not told yet.
  EngineList engine_list_;
  std::uint64_t list_request_count_ = 0;
  LoadReport load_;
  CreditAllocator credit_allocator_;
  EngineCapacity capacity_;
  ReportSchedule schedule_;
  PermitIssuer permits_;
  TimePoint limit_reported_at_{};
  std::optional<TimePoint> stop_requested_;
  Timer poll_timer_;
  Timer backlog_timer_;
  Timer gateways_timer_;
  Timer tick_timer_;
  Timer sweep_timer_;
};

}  // namespace pumicemast
