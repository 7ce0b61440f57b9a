#include "host/host_daemon.h"

#include <algorithm>
#include <string_view>

#include "common/hash.h"
#include "common/log.h"
#include "transport/backend_list_messages.h"
#include "transport/permit_messages.h"

namespace pumicemast {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kIdleTickInterval = milliseconds(100);
constexpr Duration kSweepInterval = milliseconds(500);
/// Changes of gateways' backlogs are gathered for so long before they are passed on.
constexpr Duration kBacklogInterval = milliseconds(8);
/// Between two reports that are sent only for another limit of the engine.
constexpr Duration kLimitReportInterval = milliseconds(100);
/// Neither gateways nor the store name other engines within so long: weights are drawn all the
/// same.
constexpr Duration kPeersLimit = seconds(10);
/// New subscriptions are gathered for so long before gateways are told of each other.
constexpr Duration kGatewayListInterval = milliseconds(300);
constexpr Duration kSubscriptionLifetime = seconds(6);
constexpr Duration kUnansweredLimit = seconds(2);
/// A stopping agent waits so long for an order to be settled: the next process knows nothing of it,
/// and would write over what it may still take. A few attempts of half a second each.
constexpr Duration kSettleAtStop = seconds(2);
/// In one connection: twice what uploads may leave there. A peer that reads leaves a few chunks.
constexpr std::size_t kQueueLimitBytes = 8U << 20U;
constexpr std::uint32_t kLinesPerSecond = 20;
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
      log_budget_(kLinesPerSecond),
      links_(settings_.internal_address.to_string(), metrics_,
             {[this](PeerId peer, const wire::Frame& frame) { on_frame(peer, frame); },
              [this](PeerId peer) {
                forget_subscriber(peer);
                for (const auto& [model, stager] : stagers_) stager->on_peer_lost(peer);
              },
              [this](PeerId peer) {
                for (const auto& [model, stager] : stagers_) stager->on_peer_drained(peer);
              }}),
      metrics_server_([this](const std::string& path) {
        if (path != "/metrics") return StatusAnswer{kStatusNotFound, "text/plain", "not found"};
        return StatusAnswer{kStatusOk, kMetricsContentType, metrics_.serialize()};
      }) {
  links_.set_unanswered_limit(kUnansweredLimit);
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
  peers_timer_.start_once(kPeersLimit, [this] { go_on_without_peers(); });
  poll_timer_.start_repeating(settings_.report_interval, [this] { poll_engine(); });
  tick_timer_.start_once(kTickInterval, [this] { tick(); });
  sweep_timer_.start_repeating(kSweepInterval, [this] {
    for (const auto& [kind, count] : log_budget_.take_suppressed()) {
      LOG(INFO) << "log kind=" << kind << " lines_left_out=" << count << " reason=budget";
    }
    flush_decision_log();
    metrics_server_.expire(loop_now());
    feed_->set_told_by_others(engine_list_.told_by_gateways(loop_now()));
  });
  LOG(INFO) << "host event=start name=" << settings_.name << " zone=" << settings_.zone
            << " engine=" << settings_.engine.to_string();
  return {};
}

void HostDaemon::terminate() {
  LOG(INFO) << "host event=stop";
  stop_requested_ = loop_now();
  check_stopped(loop_now());
}

void HostDaemon::check_stopped(TimePoint now) {
  if (!stop_requested_) return;
  // Nothing else is kept here that others wait for: the engine serves on without its agent.
  const bool settled = std::none_of(stagers_.begin(), stagers_.end(), [](const auto& entry) {
    return entry.second->order_pending();
  });
  if (!settled && now - *stop_requested_ < kSettleAtStop) return;
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

void HostDaemon::on_engine_profile(const EngineProfile& profile, const OriginProfile& origin) {
  if (!origin_) origin_ = origin_factory_->make(origin);
  room_.slots = profile.slots;
  room_.prompt_chunk = profile.prefill_chunk_tokens;
  room_.usual_prompt = profile.usual_prompt_tokens;
  engine_->set_layer_count(profile.layers);
  for (const ModelProfile& model : profile.models) {
    if (stagers_.contains(model.name)) continue;
    log_line("profile", "profile service=" + settings_.service + " model=" + model.name +
                            " slots=" + std::to_string(profile.slots) + " state=KNOWN");
    auto stager = std::make_unique<ModelStager>(
        model.name, settings_, chart_, *engine_, *origin_, links_, metrics_,
        ModelStager::Callbacks{
            [this] { send_report(true); }, [this] { return dealer_.unread() > 0; },
            [this](const std::string& kind, const std::string& line) { log_line(kind, line); }});
    stager->set_peers(peers_);
    if (!peers_overdue_) stager->wait_for_peers();
    stager->on_load(load_);
    const auto named = named_.find(model.name);
    if (named != named_.end()) stager->on_named(named->second);
    stagers_[model.name] = std::move(stager);
  }
}

void HostDaemon::on_backend_list(const std::vector<BackendRecord>& records,
                                 std::uint64_t revision) {
  engine_list_.on_listed(records, revision);
  update_peers();
}

void HostDaemon::on_reader_heard(PeerId gateway, std::uint64_t list_revision) {
  if (!engine_list_.on_reader_heard(list_revision, loop_now())) return;
  wire::BackendListRequestT request;
  request.known_revision = engine_list_.revision();
  // The first time all agents of the zone ask at once: any gateway of it may have the list.
  links_.send(request.known_revision == 0 ? next_near_gateway(gateway) : gateway, request);
}

PeerId HostDaemon::next_near_gateway(PeerId fallback) {
  std::vector<PeerId> near;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (subscriber.near) near.push_back(peer);
  }
  if (near.empty()) return fallback;
  const std::uint64_t turn = stable_hash(settings_.name) + lists_asked_for_++;
  return near[turn % near.size()];
}

void HostDaemon::on_backend_changes(PeerId gateway, const BackendChanges& changes) {
  using Step = BackendListFollower::Step;
  const Step step = engine_list_.on_changes(changes);
  if (step == Step::request_full_list) on_reader_heard(gateway, changes.revision);
  if (step == Step::apply) update_peers();
}

void HostDaemon::go_on_without_peers() {
  peers_overdue_ = true;
  if (peers_.empty()) log_line("peers", "peers count=0 state=OVERDUE");
  for (const auto& [model, stager] : stagers_) stager->stop_waiting_for_peers();
}

void HostDaemon::update_peers() {
  std::set<StagingPeer> peers;
  for (const BackendRecord& engine : engine_list_.records()) {
    if (engine.service != settings_.service || engine.draining) continue;
    const auto region = settings_.regions_of_zones.find(engine.zone);
    peers.insert({Address{engine.address.host, settings_.internal_address.port}, engine.zone,
                  region == settings_.regions_of_zones.end() ? engine.zone : region->second});
  }
  if (peers.empty()) return;  // A list that isn't filled yet.
  peers_ = std::move(peers);
  for (const auto& [model, stager] : stagers_) stager->set_peers(peers_);
}

void HostDaemon::on_weights_named(const std::string& model, std::uint64_t version) {
  std::uint64_t& known = named_[model];
  if (version <= known) return;
  known = version;
  log_line("named",
           "weights model=" + model + " version=" + std::to_string(version) + " state=NAMED");
  const auto stager = stagers_.find(model);
  if (stager == stagers_.end()) return;
  stager->second->on_named(version);
  tick_soon();
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
    case wire::Body::EngineDescription:
      on_description(*frame.body_as_EngineDescription());
      return;
    case wire::Body::WeightsNamed: {
      const auto* message = frame.body_as_WeightsNamed();
      on_weights_named(message->model()->str(), message->version());
      return;
    }
    case wire::Body::BackendChanges:
      on_backend_changes(peer, decode(*frame.body_as_BackendChanges()));
      return;
    default:
      for (const auto& [model, stager] : stagers_) stager->on_frame(peer, frame);
      // A transfer can begin.
      if (frame.body_type() == wire::Body::ManifestDocument) tick_soon();
  }
}

void HostDaemon::tick_soon() {
  tick_timer_.start_once(Duration::zero(), [this] { tick(); });
}

void HostDaemon::on_prompt_backlog(PeerId peer, const wire::PromptBacklog& backlog) {
  if (!subscribers_.contains(peer)) return;
  dealer_.set_unread(peer, backlog.unread_tokens());
  if (!backlog_timer_.active()) {
    backlog_timer_.start_once(kBacklogInterval, [this] { tell_backlogs(); });
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
  follow_limit();
}

void HostDaemon::follow_limit() {
  if (!permits_.take_changed()) return;
  const RateLimit& limit = permits_.limit();
  const std::string rate = limit.is_limited() ? std::to_string(*limit.per_second) : "-";
  log_line("limit", "engine limit_per_s=" + rate +
                        (limit.is_limited() ? " state=LIMITED" : " state=UNLIMITED"));
  metrics_.gauge("pumicemast_host_limit_requests_per_second", {}, limit.per_second.value_or(-1));
  const TimePoint now = loop_now();
  if (now - limit_told_at_ < kLimitReportInterval) return;
  limit_told_at_ = now;
  send_report(true);
}

void HostDaemon::tell_backlogs() {
  for (auto& [peer, subscriber] : subscribers_) {
    const std::uint32_t tokens = dealer_.unread_of_others(peer);
    // Between zones bytes are dear: there it goes with the next report.
    if (!subscriber.near || tokens == subscriber.told_others_tokens) continue;
    subscriber.told_others_tokens = tokens;
    wire::OthersBacklogT message;
    message.engine = settings_.engine.to_string();
    message.unread_tokens = tokens;
    links_.send(peer, message);
  }
}

void HostDaemon::on_description(const wire::EngineDescription& description) {
  const auto origin = parse_address(description.origin()->str());
  const bool known = origin_ != nullptr;
  if (known || !origin || description.service()->str() != settings_.service) return;
  EngineProfile profile;
  profile.slots = description.slots();
  profile.layers = description.layers();
  if (description.models() != nullptr) {
    for (const auto* model : *description.models()) profile.models.push_back({model->str(), {}});
  }
  on_engine_profile(profile, {*origin, 1});
}

void HostDaemon::on_subscription(PeerId peer, const wire::ReportSubscription& subscription) {
  const bool is_new = !subscribers_.contains(peer);
  Subscriber& subscriber = subscribers_[peer];
  subscriber.renewed = loop_now();
  subscriber.address = subscription.address()->str();
  subscriber.ping = subscription.ping();
  subscriber.zone = subscription.zone() == nullptr ? "" : subscription.zone()->str();
  dealer_.set_demand(peer, subscription.demand());
  subscriber.near = subscriber.zone.empty() || subscriber.zone == settings_.zone;
  const bool reads_list = subscriber.near && subscription.list_revision() > 0;
  if (reads_list) on_reader_heard(peer, subscription.list_revision());
  if (!is_new) return;
  new_subscribers_.insert(peer);
  if (!gateways_timer_.active()) {
    gateways_timer_.start_once(kGatewayListInterval, [this] { tell_gateways(); });
  }
  send_report(true);
}

void HostDaemon::tell_gateways() {
  std::set<PeerId> all;
  for (const auto& [subscriber, details] : subscribers_) all.insert(subscriber);
  // Each zone has agents that tell its gateways: the same lists from all would be a flood. Who knew
  // the others already is told of the new ones: the whole list of 149 gateways is 12 KB, and to
  // each of 30 in the zone it takes 0.4 s of an uplink of 7.3 Mbit/s.
  for (const auto& [subscriber, details] : subscribers_) {
    if (!details.near) continue;
    send_gateway_list(subscriber, new_subscribers_.contains(subscriber) ? all : new_subscribers_);
  }
  new_subscribers_.clear();
}

void HostDaemon::send_gateway_list(PeerId peer, const std::set<PeerId>& gateways) {
  wire::GatewayListT message;
  for (const PeerId gateway : gateways) {
    const auto known = subscribers_.find(gateway);
    if (gateway == peer || known == subscribers_.end()) continue;
    auto place = std::make_unique<wire::GatewayPlaceT>();
    place->address = known->second.address;
    place->zone = known->second.zone;
    message.gateways.push_back(std::move(place));
  }
  if (!message.gateways.empty()) links_.send(peer, message);
}

void HostDaemon::poll_engine() {
  engine_->read_load([this](const LoadReport& report) { on_load(report); });
}

void HostDaemon::on_load(const LoadReport& report) {
  if (report.alive != load_.alive) {
    log_line("engine",
             std::string("engine state=") + (report.alive ? "LOST->ANSWERING" : "ANSWERING->LOST"));
  }
  // The agent answers for one process of the engine; one that does not say when it was started is
  // thought to be the same.
  const bool started_anew = load_.started_at_ms != 0 && report.started_at_ms != 0 &&
                            load_.started_at_ms != report.started_at_ms;
  if (started_anew) permits_.on_restarted(loop_now());
  load_ = report;
  follow_limit();
  send_report(false);
  for (const auto& [model, stager] : stagers_) stager->on_load(report);
}

LoadReport HostDaemon::current_load(TimePoint now) {
  LoadReport report = load_;
  for (const auto& [model, stager] : stagers_) {
    // From the decision on, and not only from the engine's next report.
    if (stager->starting() && report.weight_version != stager->staged_version()) {
      report.busy = true;
    }
    if (const auto leaves_at = stager->leaves_at(now)) {
      report.leaves_in = std::max(Duration::zero(), *leaves_at - now);
    }
  }
  return report;
}

std::uint32_t HostDaemon::largest_zone_gateways() const {
  std::map<std::string_view, std::uint32_t> by_zone;
  std::uint32_t largest = 0;
  for (const auto& [peer, subscriber] : subscribers_) {
    largest = std::max(largest, ++by_zone[subscriber.zone]);
  }
  return largest;
}

wire::EngineReportT HostDaemon::encode(const LoadReport& report) const {
  wire::EngineReportT message;
  message.engine = settings_.engine.to_string();
  message.alive = report.alive;
  message.busy = report.busy;
  message.running = report.running;
  message.queued = report.queued;
  message.weight_version = report.weight_version;
  message.pace = static_cast<float>(report.slowdown);
  message.gateways = static_cast<std::uint32_t>(subscribers_.size());
  message.largest_zone_gateways = largest_zone_gateways();
  message.started_at_ms = report.started_at_ms;
  message.limit = pumicemast::encode(permits_.limit(), loop_now());
  if (report.leaves_in) {
    message.leaves_in_ms = static_cast<std::int32_t>(to_milliseconds(*report.leaves_in));
  }
  return message;
}

void HostDaemon::send_report(bool forced) {
  const TimePoint now = loop_now();
  const LoadReport report = current_load(now);
  const bool room_left = report.running + report.queued < room_.slots;
  const ReportAudience audience = schedule_.next(report, room_left, forced, now);
  if (!audience.anyone()) return;
  forget_silent_subscribers(now);
  wire::EngineReportT message = encode(report);
  for (const auto& [peer, credit] : deal_credits(report, audience)) {
    Subscriber& subscriber = subscribers_.at(peer);
    message.credit = credit;
    message.others_unread_tokens = dealer_.unread_of_others(peer);
    subscriber.told_others_tokens = message.others_unread_tokens;
    message.echo = subscriber.ping;
    message.echo_held_us = static_cast<std::uint32_t>((now - subscriber.renewed).count());
    subscriber.ping = 0;
    links_.send(peer, message);
  }
}

void HostDaemon::forget_subscriber(PeerId peer) {
  subscribers_.erase(peer);
  dealer_.forget(peer);
}

void HostDaemon::forget_silent_subscribers(TimePoint now) {
  std::vector<PeerId> silent;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (now - subscriber.renewed > kSubscriptionLifetime) silent.push_back(peer);
  }
  for (const PeerId peer : silent) forget_subscriber(peer);
}

std::map<PeerId, std::uint32_t> HostDaemon::deal_credits(const LoadReport& report,
                                                         ReportAudience audience) {
  std::vector<PeerId> gateways;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (subscriber.near ? audience.near : audience.far) gateways.push_back(peer);
  }
  room_.taken = report.running + report.queued;
  // Under a limit permits take the place of credits, also at gateways that have not heard of it.
  if (permits_.limit().is_limited()) room_.taken = std::max(room_.taken, room_.slots);
  return dealer_.deal(room_, gateways);
}

void HostDaemon::tick() {
  bool moving = false;
  for (const auto& [model, stager] : stagers_) {
    stager->on_tick();
    moving = moving || stager->moving();
  }
  check_stopped(loop_now());
  tick_timer_.start_once(moving ? kTickInterval : kIdleTickInterval, [this] { tick(); });
}

}  // namespace pumicemast
