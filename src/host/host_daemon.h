/// The agent beside an engine: stages weights at it and reports its load to gateways.
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
#include "host/slot_service.h"
#include "host/staging/model_stager.h"
#include "http1/status_server.h"
#include "limits/permit_issuer.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// Creates the client of the origin once its address is known.
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
  /// Ends the process once no start order may still be carried out, or after a time-out.
  void terminate();
  /// Applies the settings that may change at run time; addresses and names may not.
  void reload(const HostSettings& settings);

 private:
  struct Subscriber {
    TimePoint renewed_at{};
    std::string address;
    std::string zone;
    bool same_zone = true;                     ///< In the agent's zone.
    std::uint64_t ping = 0;                    ///< Latest one not echoed yet; 0 for none.
    std::uint32_t reported_others_tokens = 0;  ///< Pending tokens last sent to it.
  };
  /// Returns another gateway of the zone at each call; agents start with different ones.
  PeerId next_zone_gateway(PeerId fallback);
  /// Number of new requests that each gateway of `audience` may send until its next report.
  std::map<PeerId, std::uint32_t> allocate_credits(const LoadReport& report,
                                                   ReportAudience audience);

  void on_engine_profile(const ServiceProfile& service, const OriginProfile& origin) override;
  void on_backend_list(const std::vector<BackendRecord>& records,
                       const StoreRevision& revision) override;
  void on_weights_named(const std::string& model, std::uint64_t version) override;

  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_subscription(PeerId peer, const wire::ReportSubscription& subscription);
  void on_description(const wire::EngineDescription& description);
  void on_prompt_backlog(PeerId peer, const wire::PromptBacklog& backlog);
  /// A gateway needs permits for an engine whose rate limit applies to all gateways together.
  void on_permit_request(PeerId peer, const PermitRequest& request);
  /// Limits the requests to the engine until its cold phase ends.
  void limit_cold_engine(TimePoint until);
  /// Reports a changed rate limit to all gateways.
  void report_limit_change();
  void send_backlogs();
  void on_slot_requests(PeerId peer, const SlotRequests& requests);
  /// The engine's capacity for requests that wait for a slot.
  SlotCapacity slot_capacity(TimePoint now);
  void remove_subscriber(PeerId peer);
  void remove_expired_subscribers(TimePoint now);
  void poll_engine();
  /// @param asked_at  when the engine was asked for the report.
  void on_load(const LoadReport& report, TimePoint asked_at);
  /// The engine's last load report, with starts that the stagers have ordered or scheduled.
  LoadReport current_load(TimePoint now);
  std::uint32_t largest_zone_gateways() const;
  wire::EngineReportT encode(const LoadReport& report) const;
  void send_report(bool forced);
  /// Sends the gateways of the zone the list of all subscribed gateways.
  void send_gateway_lists();
  void send_gateway_list(PeerId peer, const std::set<PeerId>& gateways);
  void on_reader_status(PeerId gateway, const StoreRevision& list_revision);
  void on_backend_changes(PeerId gateway, const BackendChanges& changes);
  void on_peers_timeout();
  /// Uses the agents of the listed engines of the service as peers.
  void update_peers();
  void tick();
  void schedule_tick();
  /// Ends a process that was terminated, once all start orders are settled.
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
  std::set<PeerId> unannounced_subscribers_;  ///< Not sent to the other gateways yet.
  EngineList engine_list_;
  std::uint64_t list_request_count_ = 0;
  LoadReport load_;
  TimePoint load_read_at_{};  ///< When the poll that `load_` answers was sent.
  CreditAllocator credit_allocator_;
  EngineCapacity capacity_;
  ReportSchedule schedule_;
  SlotService slots_;
  PermitIssuer permits_;
  std::optional<ColdStartProfile> cold_start_;
  TimePoint limit_reported_at_{};
  std::optional<TimePoint> stop_requested_;
  Timer poll_timer_;
  Timer backlog_timer_;
  Timer gateways_timer_;
  Timer tick_timer_;
  Timer sweep_timer_;
};

}  // namespace pumicemast
