#include "gateway/gateway_daemon.h"

#include <algorithm>

#include "common/hash.h"
#include "common/log.h"
#include "gateway/status_pages.h"
#include "http1/event_splitter.h"

namespace pumicemast {
namespace {

constexpr Duration kTickInterval = milliseconds(25);
/// A stopping gateway exits only after this long without a new connection or request.
constexpr Duration kIdleBeforeExit = milliseconds(500);
constexpr Duration kSweepInterval = milliseconds(500);
/// Weight of the last half second in the demand reported to agents. With this value a burst shows
/// within a second, but random variation among 10 arrivals does not.
constexpr double kDemandSmoothing = 0.4;
/// A stopping gateway accepts requests for this long. Later ones are refused as not run, because
/// they might not finish within the grace period.
constexpr Duration kStopAcceptPeriod = milliseconds(3000);
/// Remaining requests get a final response this long before the grace period ends.
constexpr Duration kFinalResponseMargin = milliseconds(300);
/// The process exits this long after these responses, whatever is left: at the end of the grace
/// period its platform would kill it.
constexpr Duration kFinalDeliveryTime = milliseconds(150);
/// One of this many connections is closed at a time when there are too many.
constexpr std::size_t kEvictedFraction = 16;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

ForwarderOptions forwarder_options(const GatewaySettings& settings) {
  constexpr double kRatioMargin = 0.9;
  ForwarderOptions options;
  options.seed = stable_hash(settings.name);
  options.retry_ratio = settings.retry_ratio * kRatioMargin;
  return options;
}

}  // namespace

GatewayDaemon::GatewayDaemon(GatewaySettings settings, const StateChart& chart, EventLoop& loop,
                             std::unique_ptr<GatewayProtocol> protocol,
                             std::unique_ptr<FleetFeed> feed)
    : settings_(std::move(settings)),
      chart_(chart),
      loop_(loop),
      protocol_(std::move(protocol)),
      feed_(std::move(feed)),
      state_(chart.initial()),
      log_(settings_.decision_log),
      fleet_(
          settings_, *feed_, log_, metrics_.registry(),
          {[this](const RouteTablePointer& routes) { on_routes(routes); }, [this] { on_report(); },
           [this](const Address& engine, const SlotDecisions& decisions) {
             on_slot_decisions(engine, decisions);
           },
           [this](const Address& engine) { on_slot_queue_lost(engine); },
           [this](const std::string& backend) { on_backend_ended(backend, "agent"); }}),
      forwarder_(fleet_.pool(), fleet_.targets(), fleet_.quarantine(),
                 forwarder_options(settings_)),
      backends_(*this),
      probes_([this](const std::string& backend, bool listening, TimePoint started) {
        on_backend_probed(backend, listening, started);
      }),
      status_server_([this](const std::string& path) { return status(path); }),
      metrics_server_([this](const std::string& path) { return status(path); }) {
  forwarder_.set_retry_allowance(fleet_.retry_allowance(loop_now()));
  if (settings_.memory_bytes) start_memory_budget(*settings_.memory_bytes);
}

GatewayDaemon::~GatewayDaemon() = default;

leaf::result<void> GatewayDaemon::start() {
  listener_ = TcpListener::listen(settings_.callers_listen, *this);
  const auto failed = [](const Address& address) {
    return leaf::new_error(
        Error{ErrorCode::unavailable, address.to_string(), "the address cannot be bound"});
  };
  if (!listener_) return failed(settings_.callers_listen);
  if (!status_server_.listen(settings_.ready_listen)) return failed(settings_.ready_listen);
  if (!metrics_server_.listen(settings_.metrics_listen)) return failed(settings_.metrics_listen);
  if (!fleet_.start()) return failed(settings_.internal_address);
  tick_timer_.start_repeating(kTickInterval, [this] { tick(); });
  sweep_timer_.start_repeating(kSweepInterval, [this] { sweep(); });
  LOG(INFO) << "gateway event=start name=" << settings_.name << " zone=" << settings_.zone
            << " callers=" << settings_.callers_listen.to_string();
  return {};
}

void GatewayDaemon::step(const char* event) {
  const std::string next = chart_.next(state_, event);
  if (next == state_) return;
  LOG(INFO) << "gateway event=" << event << " state=" << state_ << "->" << next;
  state_ = next;
}

void GatewayDaemon::terminate() {
  step("stop");
  stop_requested_ = loop_now();
  // A later change of the settings does not shorten a stop that has begun.
  promised_grace_ = settings_.stop_grace;
  for (const auto& [key, connection] : callers_) connection->set_closing();
}

void GatewayDaemon::reload(const GatewaySettings& settings) {
  const bool needs_restart = settings.callers_listen != settings_.callers_listen ||
                             settings.ready_listen != settings_.ready_listen ||
                             settings.internal_address != settings_.internal_address ||
                             settings.memory_bytes != settings_.memory_bytes ||
                             settings.name != settings_.name || settings.zone != settings_.zone;
  log_.set_decisions(settings.decision_log);
  settings_.stop_grace = settings.stop_grace;
  settings_.changeover = settings.changeover;
  settings_.start_bound = settings.start_bound;
  fleet_.set_changeover(settings.changeover, settings.start_bound);
  fleet_.quarantine().set_hold(settings.quarantine_hold);
  fleet_.quarantine().set_pardoned(settings.pardoned);
  LOG(INFO) << "gateway event=reload decision_log=" << log_.decisions()
            << " stop_grace_ms=" << to_milliseconds(settings_.stop_grace)
            << " changeover_ms=" << to_milliseconds(settings_.changeover)
            << " quarantine_hold_ms=" << to_milliseconds(settings.quarantine_hold)
            << " pardoned=" << settings.pardoned.size()
            << " needs_restart=" << (needs_restart ? "yes" : "no");
}

void GatewayDaemon::check_stopped(TimePoint now) {
  if (state_ != "STOPPING") return;
  const Duration since = now - stop_requested_;
  const bool grace_ending = since >= promised_grace_ - kFinalResponseMargin;
  if (since >= kStopAcceptPeriod || grace_ending) forwarder_.set_stopping();
  if (grace_ending) end_requests(now);
  const bool nothing_left = forwarder_.active() == 0 && !delivers_any_response();
  if (!grace_ending && (since < kStopAcceptPeriod || !nothing_left)) return;
  if (!refusing_connections_) refuse_connections(now);
  // Connections in the listen queue may carry requests; exiting now would reset them.
  const bool idle = now - last_caller_activity_ >= kIdleBeforeExit && !awaits_any_request();
  const bool grace_over = requests_ended_at_ && now - *requests_ended_at_ >= kFinalDeliveryTime;
  if (!grace_over && (!idle || !nothing_left)) return;
  step("finished");
  std::size_t undelivered_bytes = 0;
  for (const auto& [key, connection] : callers_) {
    undelivered_bytes += connection->undelivered_bytes();
  }
  LOG(INFO) << "gateway event=end active=" << forwarder_.active()
            << " connections=" << callers_.size() << " undelivered_bytes=" << undelivered_bytes
            << " stopping_ms=" << to_milliseconds(since);
  log_.flush();
  loop_.quit();
}

bool GatewayDaemon::awaits_any_request() const {
  return std::any_of(callers_.begin(), callers_.end(), [](const auto& entry) {
    return entry.first->awaits_request() || entry.first->has_unread_input();
  });
}

bool GatewayDaemon::delivers_any_response() const {
  return std::any_of(callers_.begin(), callers_.end(),
                     [](const auto& entry) { return entry.first->is_delivering(); });
}

void GatewayDaemon::end_requests(TimePoint now) {
  if (!requests_ended_at_) requests_ended_at_ = now;
  if (forwarder_.active() == 0) return;
  ForwarderActions actions;
  forwarder_.end_all(now, actions);
  execute_actions(actions);
}

void GatewayDaemon::refuse_connections(TimePoint now) {
  refusing_connections_ = true;
  last_caller_activity_ = now;
  if (!listener_->refuse_new()) LOG(WARNING) << "gateway event=filter state=REFUSED";
}

// ---- callers ----

bool GatewayDaemon::ready_to_accept() {
  const std::size_t limit = settings_.caller_connections;
  if (callers_.size() >= limit) evict(callers_, limit / kEvictedFraction, loop_now());
  return callers_.size() < limit;
}

void GatewayDaemon::on_accepted(int descriptor) {
  last_caller_activity_ = loop_now();
  auto connection = std::make_unique<CallerConnection>(descriptor, limits().request, *this);
  if (state_ == "STOPPING") connection->set_closing();
  const CallerConnection* key = connection.get();
  connection->caller_number = next_caller_++;
  if (memory_) track_memory(*connection);
  callers_[key] = std::move(connection);
}

CallerLimits GatewayDaemon::limits() const {
  return fleet_.routes() ? fleet_.routes()->configuration().limits : CallerLimits{};
}

void GatewayDaemon::on_caller_request(CallerConnection& connection, ReceivedRequest request) {
  last_caller_activity_ = loop_now();
  const RequestNumber number = next_number_++;
  connection.request_number = number;
  RequestMetadata metadata = protocol_->read_request(request);
  Exchange& exchange = exchanges_[number];
  exchange.connection = &connection;
  exchange.request_id = metadata.id;
  metadata.content =
      fingerprint_content(request.head.method, metadata.host, metadata.target, request.body);
  metadata.body_refused = request.body_refused || !admits_request(request);
  exchange.metadata_bytes = metadata.id.size() + metadata.host.size() + metadata.target.size() +
                            metadata.api_key.size() + metadata.model.size();
  exchange.request = std::move(request);
  account_memory(connection);
  ForwarderActions actions;
  forwarder_.on_request(number, std::move(metadata), loop_now(), actions);
  execute_actions(actions);
}

void GatewayDaemon::on_caller_disconnected(CallerConnection& connection) {
  const RequestNumber number = connection.request_number;
  if (find_exchange(number) == nullptr) return;
  ForwarderActions actions;
  forwarder_.on_caller_gone(number, loop_now(), actions);
  exchanges_.erase(number);
  execute_actions(actions);
}

void GatewayDaemon::on_caller_connection_closed(CallerConnection& connection) {
  callers_by_number_.erase(connection.caller_number);
  if (memory_) memory_->remove(connection.caller_number);
  if (connection.remains().reason == CloseReason::evicted) metrics_.on_connection_evicted();
  if (connection.remains().undelivered_bytes > 0) {
    metrics_.on_undelivered(connection.remains());
    log_.log_undelivered(connection.remains(), state_);
  }
  auto node = callers_.extract(&connection);
  if (!node.empty()) deleter_.defer(std::move(node.mapped()));
}

// ---- attempts ----

void GatewayDaemon::on_attempt_connected(RequestNumber number) { forwarder_.on_connected(number); }

bool GatewayDaemon::on_attempt_head(RequestNumber number, const ResponseHead& head) {
  Exchange* exchange = find_exchange(number);
  if (exchange == nullptr) return true;
  if (!protocol_->matches_request(head, exchange->request_id)) return false;
  const ResponseMetadata metadata = protocol_->read_response(head);
  if (!exchange->response_started) {
    exchange->response_status = metadata.status;
    exchange->response_reason = head.reason;
    exchange->response_head.clear();
    append_end_to_end_fields(exchange->response_head, head.fields);
  }
  const bool events = is_event_stream(field_value(head.fields, "Content-Type"));
  forwarder_.on_response_head(number, metadata, events, loop_now());
  fleet_.propagate_backend_changes();
  return true;
}

void GatewayDaemon::on_attempt_body(RequestNumber number, std::string_view bytes) {
  ForwarderActions actions;
  forwarder_.on_response_body(number, bytes, loop_now(), actions);
  execute_actions(actions);
}

void GatewayDaemon::on_attempt_complete(RequestNumber number, ResponseEnd end) {
  ForwarderActions actions;
  const TimePoint now = loop_now();
  forwarder_.on_response_complete(number, end, now, actions);
  if (forwarder_.waiting() > 0) forwarder_.on_capacity(now, actions);
  execute_actions(actions);
}

void GatewayDaemon::on_attempt_failed(RequestNumber number, ExchangeFailure failure) {
  if (abort_if_held_back(number)) return;
  ForwarderActions actions;
  const AttemptFailure kind = failure == ExchangeFailure::not_sent ? AttemptFailure::not_sent
                              : failure == ExchangeFailure::malformed
                                  ? AttemptFailure::malformed
                                  : AttemptFailure::connection_lost;
  forwarder_.on_attempt_failed(number, kind, loop_now(), actions);
  execute_actions(actions);
}

// ---- fleet state ----

void GatewayDaemon::on_routes(const RouteTablePointer& routes) {
  forwarder_.set_routes(routes);
  step("configured");
}

void GatewayDaemon::on_report() {
  if (forwarder_.waiting() == 0) return;
  ForwarderActions actions;
  forwarder_.on_capacity(loop_now(), actions);
  execute_actions(actions);
}

void GatewayDaemon::on_slot_decisions(const Address& engine, const SlotDecisions& decisions) {
  ForwarderActions actions;
  for (const std::uint64_t request : decisions.granted) {
    forwarder_.on_slot_granted(engine, request, loop_now(), actions);
  }
  for (const SlotDenial& denial : decisions.denied) {
    forwarder_.on_slot_denied(engine, denial, loop_now(), actions);
  }
  execute_actions(actions);
}

void GatewayDaemon::on_slot_queue_lost(const Address& engine) {
  ForwarderActions actions;
  forwarder_.on_slot_queue_lost(engine, loop_now(), actions);
  execute_actions(actions);
}

void GatewayDaemon::on_backend_ended(const std::string& backend, const char* evidence) {
  metrics_.on_backend_ended(evidence);
  log_.log_line("backend_ended", "backend id=" + backend + " state=ENDED evidence=" + evidence);
  forwarder_.on_backend_ended(backend, loop_now());
}

void GatewayDaemon::on_backend_probed(const std::string& backend, bool listening,
                                      TimePoint started) {
  if (!listening) {
    on_backend_ended(backend, "probe");
    return;
  }
  ForwarderActions actions;
  forwarder_.on_backend_listening(backend, started, loop_now(), actions);
  execute_actions(actions);
}

// ---- time ----

void GatewayDaemon::tick() {
  const TimePoint now = loop_now();
  if (forwarder_.active() > 0) {
    ForwarderActions actions;
    forwarder_.on_tick(now, actions);
    execute_actions(actions);
  }
  enforce_memory(now);
  log_inferred_ends();
  log_summaries();
  report_crashes();
  check_stopped(now);
}

void GatewayDaemon::sweep() {
  const TimePoint now = loop_now();
  const CallerLimits limits = this->limits();
  std::vector<CallerConnection*> connections;
  for (const auto& [key, connection] : callers_) connections.push_back(connection.get());
  for (CallerConnection* connection : connections) {
    connection->set_limits(limits.request);
    connection->expire(now, limits.idle_timeout, limits.head_timeout);
  }
  status_server_.expire(now);
  metrics_server_.expire(now);
  backends_.expire_idle(now);
  fleet_.sweep(now);
  forwarder_.sweep(now);
  update_retry_allowance(now);
  measure_demand();
  log_.flush();
}

void GatewayDaemon::update_retry_allowance(TimePoint now) {
  const RetryAllowance allowance = fleet_.retry_allowance(now);
  if (allowance == forwarder_.retries().allowance()) return;
  forwarder_.set_retry_allowance(allowance);
  log_.log_line("retries",
                "retries gateways=" + std::to_string(fleet_.gateways_sharing_retries(now)) +
                    " reserve=" + std::to_string(allowance.reserve) +
                    " full=" + (allowance.reserve_granted ? "yes" : "no"));
}

void GatewayDaemon::measure_demand() {
  const std::uint64_t attempts = forwarder_.counters().engine_first_attempts;
  const double rate =
      static_cast<double>(attempts - previous_first_attempts_) / to_seconds(kSweepInterval);
  previous_first_attempts_ = attempts;
  demand_ += (rate - demand_) * kDemandSmoothing;
  fleet_.set_demand(demand_);
}

void GatewayDaemon::log_summaries() {
  for (const RequestSummary& summary : forwarder_.take_summaries()) {
    metrics_.observe(summary);
    log_.log_request(summary);
  }
}

void GatewayDaemon::log_inferred_ends() {
  for (const InferredEnd& end : forwarder_.take_inferred_ends()) {
    metrics_.on_inferred_end(end);
    log_.log_inferred_end(end);
  }
  for (const InferredEndVerdict& verdict : forwarder_.take_inferred_end_verdicts()) {
    metrics_.on_inferred_end_verdict(verdict);
    log_.log_inferred_end_verdict(verdict);
  }
}

void GatewayDaemon::report_crashes() {
  for (const BackendCrash& crash : forwarder_.take_crashes(loop_now())) {
    metrics_.on_crash(crash);
    log_.log_crash(crash);
  }
  for (const CrashSuspect& suspect : fleet_.quarantine().take_newly_quarantined()) {
    const std::size_t crash_count = fleet_.quarantine().crash_count(suspect);
    log_.log_line("quarantine", std::string(to_string(suspect.kind)) +
                                    " fingerprint=" + to_string(suspect.fingerprint) +
                                    " state=QUARANTINED ends=" + std::to_string(crash_count));
  }
  fleet_.gossip_crashes();
}

StatusResponse GatewayDaemon::status(const std::string& path) {
  if (path == "/ready") {
    const bool ready = state_ == "SERVING";
    return {ready ? kStatusOk : kStatusUnavailable, "text/plain", state_};
  }
  if (path == "/metrics") {
    GatewayGauges figures;
    figures.active_requests = forwarder_.active();
    figures.waiting_requests = forwarder_.waiting();
    figures.connections_opened = backends_.connections_opened();
    figures.backends = fleet_.pool().size();
    figures.reporting_engines = fleet_.pool().reporting(loop_now());
    figures.configuration_version = fleet_.configuration_version();
    figures.bytes_queued_to_gateways = fleet_.bytes_queued_to_gateways();
    figures.retry_gateways = fleet_.gateways_sharing_retries(loop_now());
    figures.limited_backends = fleet_.pool().limits().limited().size();
    figures.unreadable_limits = fleet_.pool().limits().unreadable();
    figures.leaving_backends = fleet_.pool().departures().announced_count();
    figures.paused_backends = fleet_.pool().pushbacks().paused_count(loop_now());
    figures.quarantined_requests = fleet_.quarantine().list(loop_now()).size();
    metrics_.update(forwarder_.counters(), figures);
    metrics_.update(forwarder_.retries());
    metrics_.update(fleet_.pool().permits().counters());
    metrics_.update(forwarder_.slot_counters());
    metrics_.update(fleet_.pool().notice_counters());
    update_memory_metrics();
    return {kStatusOk, kMetricsContentType, metrics_.serialize()};
  }
  const TimePoint now = loop_now();
  if (path == "/quarantine") {
    return {kStatusOk, "text/plain", quarantine_page(fleet_.quarantine(), now)};
  }
  if (path == "/backends") return {kStatusOk, "text/plain", backends_page(fleet_.pool(), now)};
  return {kStatusNotFound, "text/plain", "not found"};
}

}  // namespace pumicemast
