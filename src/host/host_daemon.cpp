#include "host/host_daemon.h"

#include <algorithm>

#include "common/hash.h"
#include "common/log.h"
#include "transport/backend_list_messages.h"
#include "transport/permit_messages.h"
#include "transport/slot_messages.h"

namespace pumicemast {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kIdleTickInterval = milliseconds(100);
constexpr Duration kSweepInterval = milliseconds(500);
/// Changes of the gateways' backlogs are collected for this long before they are sent.
constexpr Duration kBacklogInterval = milliseconds(8);
/// Minimum time between two reports that are sent only for a changed rate limit of the engine.
constexpr Duration kLimitReportInterval = milliseconds(100);
/// Without a list of engines from gateways or the store, weights are downloaded after this time.
constexpr Duration kPeersTimeout = seconds(10);
constexpr Duration kUnansweredLimit = seconds(2);
/// A stopping agent waits at most this long for a start order to be settled, because the next
/// process does not know of the order and would overwrite the version that the engine may still
/// activate. Enough for a few attempts of half a second each.
constexpr Duration kStopSettleTimeout = seconds(2);
/// Limit of one connection's send queue: twice what uploads may queue there. A peer that reads has
/// only a few chunks queued.
constexpr std::size_t kQueueLimitBytes = 8U << 20U;
constexpr std::uint32_t kLogLinesPerSecond = 20;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

}  // namespace

HostDaemon::HostDaemon(HostSettings settings, const StateChart& chart, EventLoop& loop,
                       std::unique_ptr<EngineControl> engine,
                       std::unique_ptr<WeightOriginFactory> origin_factory,
                       std::unique_ptr<HostFeed> feed)
    : settings_(std::move(settings)),
      chart_(chart),
      loop_(loop),
      engine_(std::move(engine)),
      origin_factory_(std::move(origin_factory)),
      feed_(std::move(feed)),
      log_budget_(kLogLinesPerSecond),
      links_(settings_.internal_address.to_string(), metrics_,
             {[this](PeerId peer, const wire::Frame& frame) { on_frame(peer, frame); },
              [this](PeerId peer) {
                remove_subscriber(peer);
                for (const auto& [model, stager] : stagers_) stager->on_peer_lost(peer);
              },
              [this](PeerId peer) {
                for (const auto& [model, stager] : stagers_) stager->on_peer_drained(peer);
              }}),
      metrics_server_([this](const std::string& path) {
        if (path != "/metrics") return StatusResponse{kStatusNotFound, "text/plain", "not found"};
        return StatusResponse{kStatusOk, kMetricsContentType, metrics_.serialize()};
      }),
      slots_(settings_.engine, links_, metrics_,
             [this](const std::string& kind, const std::string& line) { log_line(kind, line); }) {
  links_.set_user_timeout(kUnansweredLimit);
  links_.set_queue_limit(kQueueLimitBytes);
}

HostDaemon::~HostDaemon() = default;

leaf::result<void> HostDaemon::start() {
  BOOST_LEAF_CHECK(links_.listen(settings_.internal_address));
  if (!metrics_server_.listen(settings_.metrics_listen)) {
    return leaf::new_error(Error{ErrorCode::unavailable, settings_.metrics_listen.to_string(),
                                 "the address cannot be bound"});
  }
  feed_->start(*this);
  peers_timer_.start_once(kPeersTimeout, [this] { on_peers_timeout(); });
  poll_timer_.start_repeating(settings_.report_interval, [this] { poll_engine(); });
  tick_timer_.start_once(kTickInterval, [this] { tick(); });
  sweep_timer_.start_repeating(kSweepInterval, [this] {
    for (const auto& [kind, count] : log_budget_.take_suppressed()) {
      LOG(INFO) << "log kind=" << kind << " lines_left_out=" << count << " reason=budget";
    }
    flush_decision_log();
    metrics_server_.expire(loop_now());
    feed_->set_updates_relayed(engine_list_.relayed_by_gateways(loop_now()));
  });
  LOG(INFO) << "host event=start name=" << settings_.name << " zone=" << settings_.zone
            << " engine=" << settings_.engine.to_string();
  return {};
}

void HostDaemon::terminate() {
  LOG(INFO) << "host event=stop";
  stop_requested_ = loop_now();
  stop_if_settled(loop_now());
}

void HostDaemon::stop_if_settled(TimePoint now) {
  if (!stop_requested_) return;
  // Nothing else delays the end: the engine continues to serve without its agent.
  const bool settled = std::none_of(stagers_.begin(), stagers_.end(), [](const auto& entry) {
    return entry.second->order_pending();
  });
  if (!settled && now - *stop_requested_ < kStopSettleTimeout) return;
  LOG(INFO) << "host event=end order_settled=" << (settled ? "yes" : "no");
  flush_decision_log();
  loop_.quit();
}

void HostDaemon::reload(const HostSettings& settings) {
  const bool needs_restart = settings.internal_address != settings_.internal_address ||
                             settings.engine != settings_.engine ||
                             settings.service != settings_.service ||
                             settings.name != settings_.name;
  settings_.changeover = settings.changeover;
  settings_.report_interval = settings.report_interval;
  poll_timer_.start_repeating(settings_.report_interval, [this] { poll_engine(); });
  LOG(INFO) << "host event=reload changeover_ms=" << to_milliseconds(settings_.changeover)
            << " report_interval_ms=" << to_milliseconds(settings_.report_interval)
            << " needs_restart=" << (needs_restart ? "yes" : "no");
}

void HostDaemon::log_line(const std::string& kind, const std::string& line) {
  if (log_budget_.admit(kind, loop_now())) LOG(INFO) << line;
}

void HostDaemon::on_engine_profile(const ServiceProfile& service, const OriginProfile& origin) {
  const EngineProfile& profile = *service.engine;
  cold_start_ = service.cold_start;
  if (!origin_) origin_ = origin_factory_->make(origin);
  capacity_.slots = profile.slots;
  capacity_.prefill_chunk_tokens = profile.prefill_chunk_tokens;
  capacity_.usual_prompt_tokens = profile.usual_prompt_tokens;
  engine_->set_layer_count(profile.layers);
  if (origin_) origin_->set_layer_count(profile.layers);
  for (const ModelProfile& model : profile.models) {
    if (stagers_.contains(model.name)) continue;
    log_line("profile", "profile service=" + settings_.service + " model=" + model.name +
                            " slots=" + std::to_string(profile.slots) + " state=KNOWN");
    auto stager = std::make_unique<ModelStager>(
        model.name, settings_, chart_, *engine_, *origin_, links_, metrics_,
        ModelStager::Callbacks{
            [this] { send_report(true); },
            [this] { return credit_allocator_.pending_tokens() > 0; },
            [this](const std::string& kind, const std::string& line) { log_line(kind, line); }});
    stager->set_peers(peers_);
    if (!peers_overdue_) stager->wait_for_peers();
    stager->on_load(load_);
    const auto named = named_versions_.find(model.name);
    if (named != named_versions_.end()) stager->on_version_named(named->second);
    stagers_[model.name] = std::move(stager);
  }
}

void HostDaemon::on_backend_list(const std::vector<BackendRecord>& records,
                                 const StoreRevision& revision) {
  engine_list_.on_list_read(records, revision);
  update_peers();
}

void HostDaemon::on_reader_status(PeerId gateway, const StoreRevision& list_revision) {
  if (!engine_list_.on_reader_status(list_revision, loop_now())) return;
  wire::BackendListRequestT request;
  request.known_revision = engine_list_.revision().number;
  request.known_era = engine_list_.revision().era;
  // At first all agents of the zone request the list at once; any gateway of the zone may have it.
  links_.send(request.known_revision == 0 ? next_zone_gateway(gateway) : gateway, request);
}

PeerId HostDaemon::next_zone_gateway(PeerId fallback) {
  std::vector<PeerId> candidates;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (subscriber.same_zone) candidates.push_back(peer);
  }
  if (candidates.empty()) return fallback;
  const std::uint64_t position = stable_hash(settings_.name) + list_request_count_++;
  return candidates[position % candidates.size()];
}

void HostDaemon::on_backend_changes(PeerId gateway, const BackendChanges& changes) {
  using Step = BackendListFollower::Step;
  const Step step = engine_list_.on_changes(changes);
  if (step == Step::request_full_list) on_reader_status(gateway, changes.revision);
  if (step == Step::apply) update_peers();
}

void HostDaemon::on_peers_timeout() {
  peers_overdue_ = true;
  if (peers_.empty()) log_line("peers", "peers count=0 state=OVERDUE");
  for (const auto& [model, stager] : stagers_) stager->stop_waiting_for_peers();
}

void HostDaemon::update_peers() {
  std::set<StagingPeer> peers;
  for (const BackendRecord& engine : engine_list_.records()) {
    if (engine.address == settings_.engine) limit_cold_engine(engine.cold_until);
    if (engine.service != settings_.service || engine.draining) continue;
    const auto region = settings_.regions_of_zones.find(engine.zone);
    peers.insert({Address{engine.address.host, settings_.internal_address.port}, engine.zone,
                  region == settings_.regions_of_zones.end() ? engine.zone : region->second});
  }
  if (peers.empty()) return;  // The list is not filled yet.
  peers_ = std::move(peers);
  for (const auto& [model, stager] : stagers_) stager->set_peers(peers_);
}

void HostDaemon::on_weights_named(const std::string& model, std::uint64_t version) {
  std::uint64_t& known = named_versions_[model];
  if (version <= known) return;
  known = version;
  log_line("named",
           "weights model=" + model + " version=" + std::to_string(version) + " state=NAMED");
  const auto stager = stagers_.find(model);
  if (stager == stagers_.end()) return;
  stager->second->on_version_named(version);
  schedule_tick();
}

void HostDaemon::on_frame(PeerId peer, const wire::Frame& frame) {
  switch (frame.body_type()) {
    case wire::Body::ReportSubscription:
      on_subscription(peer, *frame.body_as_ReportSubscription());
      return;
    case wire::Body::PromptBacklog:
      on_prompt_backlog(peer, *frame.body_as_PromptBacklog());
      return;
    case wire::Body::PermitRequest:
      on_permit_request(peer, decode(*frame.body_as_PermitRequest(), loop_now()));
      return;
    case wire::Body::SlotRequests:
      on_slot_requests(peer, decode(*frame.body_as_SlotRequests()));
      return;
    case wire::Body::EngineDescription:
      on_description(*frame.body_as_EngineDescription());
      return;
    case wire::Body::WeightsNamed: {
      const auto* message = frame.body_as_WeightsNamed();
      on_weights_named(message->model()->str(), message->version());
      return;
    }
    case wire::Body::BackendChanges:
      on_backend_changes(peer, decode(*frame.body_as_BackendChanges(), loop_now()));
      return;
    default:
      for (const auto& [model, stager] : stagers_) stager->on_frame(peer, frame);
      // A transfer may start with the manifest.
      if (frame.body_type() == wire::Body::ManifestDocument) schedule_tick();
  }
}

void HostDaemon::schedule_tick() {
  tick_timer_.start_once(Duration::zero(), [this] { tick(); });
}

void HostDaemon::on_prompt_backlog(PeerId peer, const wire::PromptBacklog& backlog) {
  if (!subscribers_.contains(peer)) return;
  credit_allocator_.set_pending_tokens(peer, backlog.unread_tokens());
  if (!backlog_timer_.active()) {
    backlog_timer_.start_once(kBacklogInterval, [this] { send_backlogs(); });
  }
}

void HostDaemon::on_permit_request(PeerId peer, const PermitRequest& request) {
  PermitRequest from_gateway = request;
  from_gateway.gateway = peer;
  const PermitAnswer answer = permits_.on_request(from_gateway, loop_now());
  if (request.wanted) {
    metrics_.count("pumicemast_host_permits_total",
                   {{"outcome", answer.granted ? "granted" : "denied"}});
    links_.send(peer, pumicemast::encode(answer, loop_now()));
  }
  const std::size_t returned = request.returned + request.given_back.size();
  if (returned > 0) {
    metrics_.count("pumicemast_host_permits_total", {{"outcome", "returned"}},
                   static_cast<double>(returned));
  }
  report_limit_change();
}

void HostDaemon::report_limit_change() {
  const TimePoint now = loop_now();
  if (!permits_.take_changed(now)) return;
  const RateLimit& limit = permits_.limit();
  const std::string rate = limit.is_limited() ? std::to_string(*limit.per_second) : "-";
  log_line("limit", "engine limit_per_s=" + rate +
                        (permits_.limited(now) ? " state=LIMITED" : " state=UNLIMITED"));
  metrics_.gauge("pumicemast_host_limit_requests_per_second", {}, limit.per_second.value_or(-1));
  if (now - limit_reported_at_ < kLimitReportInterval) return;
  limit_reported_at_ = now;
  send_report(true);
}

void HostDaemon::on_description(const wire::EngineDescription& description) {
  const auto origin = parse_address(description.origin()->str());
  const bool known = origin_ != nullptr;
  if (known || !origin || description.service()->str() != settings_.service) return;
  ServiceProfile service;
  service.name = settings_.service;
  EngineProfile& profile = service.engine.emplace();
  profile.slots = description.slots();
  profile.layers = description.layers();
  if (description.models() != nullptr) {
    for (const auto* model : *description.models()) profile.models.push_back({model->str(), {}});
  }
  profile.prefill_chunk_tokens = description.prefill_chunk_tokens();
  profile.usual_prompt_tokens = std::max(1.0F, description.usual_prompt_tokens());
  if (description.cold_per_second() > 0) {
    service.cold_start =
        ColdStartProfile{milliseconds(description.cold_ms()), description.cold_per_second()};
  }
  feed_->on_profile_relayed(service);
  on_engine_profile(service, {*origin, std::max(1U, description.origin_connections())});
}

void HostDaemon::poll_engine() {
  // A poll is ignored while an earlier one is unanswered.
  engine_->read_load(
      [this, asked_at = loop_now()](const LoadReport& report) { on_load(report, asked_at); });
}

void HostDaemon::on_load(const LoadReport& report, TimePoint asked_at) {
  if (report.alive != load_.alive) {
    log_line("engine",
             std::string("engine state=") + (report.alive ? "LOST->ANSWERING" : "ANSWERING->LOST"));
  }
  if (report.leaving && !load_.leaving) log_line("engine", "engine state=LEAVING source=response");
  // Permits are issued for one process of the engine. An engine that does not report its start time
  // is assumed to be the same process.
  const bool engine_restarted = load_.started_at_ms != 0 && report.started_at_ms != 0 &&
                                load_.started_at_ms != report.started_at_ms;
  if (engine_restarted) permits_.on_restarted(loop_now());
  if (engine_restarted && cold_start_) limit_cold_engine(loop_now() + cold_start_->duration);
  load_ = report;
  load_read_at_ = asked_at;
  report_limit_change();
  slots_.on_capacity(slot_capacity(loop_now()), loop_now());
  send_report(false);
  for (const auto& [model, stager] : stagers_) stager->on_load(report);
}

void HostDaemon::limit_cold_engine(TimePoint until) {
  if (cold_start_) permits_.set_cold_limit({cold_start_->requests_per_second, until}, loop_now());
}

void HostDaemon::tick() {
  bool needs_frequent_ticks = false;
  for (const auto& [model, stager] : stagers_) {
    stager->on_tick();
    needs_frequent_ticks = needs_frequent_ticks || stager->needs_frequent_ticks();
  }
  stop_if_settled(loop_now());
  tick_timer_.start_once(needs_frequent_ticks ? kTickInterval : kIdleTickInterval,
                         [this] { tick(); });
}

}  // namespace pumicemast
