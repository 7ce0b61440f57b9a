#include "entry/entry_daemon.h"

#include <nlohmann/json.hpp>
#include <random>

#include "common/log.h"

namespace pumicemast {
namespace {

using nlohmann::json;

/// Assignment changes within this time are sent together.
constexpr Duration kPushDelay = milliseconds(20);
constexpr Duration kTickInterval = milliseconds(100);
/// Bounds the wait for an accepted change to be in force at this entry before the response.
constexpr Duration kInForceTimeout = seconds(2);
constexpr Duration kForgetLostAfter = seconds(600);
/// An agent's connection is closed when nothing arrives for this many silence limits.
constexpr int kSilenceLimitsBeforeDrop = 4;
constexpr HttpServerLimits kOperatorLimits{{64U * 1024U, 4U << 20U}, 256, 16U << 20U};

std::uint64_t random_incarnation() {
  std::random_device entropy;
  return std::uint64_t{entropy()} << 32U | entropy();
}

unsigned status_of(const CommandResult& result) {
  if (result.ok) return 200;
  switch (result.error.code) {
    case ErrorCode::invalid_argument:
      return 400;
    case ErrorCode::not_found:
      return 404;
    case ErrorCode::conflict:
      return 409;
    case ErrorCode::unavailable:
      return 503;
    case ErrorCode::unknown_outcome:
      return 504;
  }
  return 500;
}

json result_document(const CommandResult& result) {
  if (!result.ok) {
    return {{"ok", false},
            {"code", to_string(result.error.code)},
            {"place", result.error.place},
            {"reason", result.error.reason}};
  }
  json document = {{"ok", true}, {"text", result.text}, {"version", result.version}};
  document["columns"] = result.table.columns;
  document["rows"] = result.table.rows;
  return document;
}

}  // namespace

EntryDaemon::EntryDaemon(EntrySettings settings, Charts charts, EventLoop& loop)
    : settings_(std::move(settings)),
      charts_(std::move(charts)),
      loop_(loop),
      incarnation_(random_incarnation()),
      directory_(settings_.silence_limit) {
  store_ = std::make_unique<ObjectStoreClient>(settings_.platform_url, settings_.platform_timeout);
  watcher_ = std::make_unique<ConfigurationWatcher>(
      *store_,
      std::vector<std::string>{ModelVersion::kKind, Rollout::kKind, ReplicaTarget::kKind,
                               Route::kKind, Tenant::kKind, PlannedStop::kKind, Placement::kKind},
      settings_.watch_pause,
      ConfigurationWatcher::Callbacks{
          [this](std::uint64_t revision, const std::vector<StoredObject>& objects) {
            on_configuration_change(configuration_.apply_listing(revision, objects));
          },
          [this](std::uint64_t revision, const std::vector<StoredObject>& events) {
            on_configuration_change(configuration_.apply_events(revision, events));
          },
          [](bool reachable) {
            LOG(INFO) << "platform state="
                      << (reachable ? "UNREACHABLE->REACHABLE" : "REACHABLE->UNREACHABLE");
          }},
      incarnation_);
  hub_ = std::make_unique<AgentHub>(
      metrics_,
      AgentHub::Callbacks{[this](const BackendHello& hello) {
                            directory_.on_hello(hello, loop_now());
                            assignments_.forget(hello.machine);
                            push_assignments_soon();
                          },
                          [this](const std::string& machine, const BackendStatus& status) {
                            directory_.on_status(machine, status, loop_now());
                            front_end_->on_capacity();
                          },
                          [this](const std::string& machine, const wire::Frame& frame) {
                            front_end_->on_response(machine, frame);
                          },
                          [this](const std::string& machine) {
                            directory_.on_disconnected(machine, loop_now());
                            front_end_->on_backend_lost(machine);
                            push_assignments_soon();
                          }});
  const std::string holder = settings_.name + "/" + std::to_string(incarnation_);
  claims_ = std::make_unique<ExecutionClaims>(*store_, holder);
  front_end_ =
      std::make_unique<FrontEnd>(settings_, configuration_, directory_, *hub_, *claims_, metrics_);
  control_ = std::make_unique<ControlLoop>(settings_, charts_, *store_, configuration_, directory_,
                                           metrics_, incarnation_);
  commands_ = std::make_unique<CommandExecutor>(*store_, [this] { return query_view(); });
}

leaf::result<void> EntryDaemon::start() {
  BOOST_LEAF_CHECK(hub_->listen(settings_.agents_listen));
  HttpServerLimits callers_limits;
  // The other half is for the process itself, and for what it holds for agents.
  callers_limits.held_bytes = settings_.memory_bytes / 2;
  BOOST_LEAF_ASSIGN(callers_,
                    HttpServer::listen(
                        settings_.callers_listen,
                        [this](HttpExchangePointer exchange) { front_end_->on_exchange(exchange); },
                        callers_limits));
  BOOST_LEAF_ASSIGN(
      operators_,
      HttpServer::listen(
          settings_.operators_listen,
          [this](HttpExchangePointer exchange) { handle_operator(exchange); }, kOperatorLimits));
  watcher_->start();
  control_->start();
  tick_timer_.start_repeating(kTickInterval, [this] { tick(); });
  machine_list_timer_.start_repeating(settings_.machine_list_interval,
                                      [this] { poll_machine_list(); });
  return {};
}

void EntryDaemon::on_configuration_change(const ConfigurationChange& change) {
  metrics_.count("pumicemast_entry_configuration_changes_total", {},
                 static_cast<double>(change.changed.size()));
  metrics_.count("pumicemast_entry_configuration_outdated_total", {}, change.outdated);
  for (const Error& rejected : change.rejected) {
    metrics_.count("pumicemast_entry_configuration_rejected_total");
    LOG(WARNING) << "object name=" << rejected.place
                 << " state=REJECTED reason=" << rejected.reason;
  }
  std::set<std::string> stopping;
  for (const auto& [machine, stop] : configuration_.all<PlannedStop>()) {
    if (stop.value.state != "REQUESTED") stopping.insert(machine);
  }
  directory_.on_planned_stops(stopping);
  front_end_->on_configuration();
  push_assignments();
  front_end_->on_capacity();
  respond_to_commands();
}

void EntryDaemon::push_assignments_soon() {
  if (!push_timer_.active()) push_timer_.start_once(kPushDelay, [this] { push_assignments(); });
}

void EntryDaemon::push_assignments() {
  if (!configuration_.listed()) return;  // Without a configuration, no assignment is known.
  for (const auto& [machine, backend] : directory_.all()) {
    if (!backend.connected) continue;
    const auto assignment = assignments_.build_if_changed(configuration_, directory_, machine);
    if (assignment) hub_->send(machine, *assignment);
  }
}

void EntryDaemon::poll_machine_list() {
  store_->list_machines([this](const MachineListResult& result) {
    if (!result.answered) return;  // Keeps the last known list.
    directory_.on_machine_list(result.leaving);
  });
}

void EntryDaemon::tick() {
  front_end_->on_tick();
  respond_to_commands();
  const TimePoint now = loop_now();
  directory_.forget_lost(kForgetLostAfter, now);
  std::vector<std::string> silent;
  for (const auto& [machine, backend] : directory_.all()) {
    const Duration limit = settings_.silence_limit * kSilenceLimitsBeforeDrop;
    if (backend.connected && now - backend.last_heard > limit) silent.push_back(machine);
  }
  for (const std::string& machine : silent) hub_->drop(machine);
  if (terminating_ && front_end_->active() == 0) drain_servers();
}

void EntryDaemon::drain_servers() {
  if (draining_servers_) return;
  draining_servers_ = 0;
  const auto on_drained = [this] {
    if (--*draining_servers_ == 0) loop_.quit();
  };
  for (HttpServer* server : {callers_.get(), operators_.get()}) {
    ++*draining_servers_;
    server->drain(on_drained);
  }
}

void EntryDaemon::terminate() {
  terminating_ = true;
  LOG(INFO) << "entry state=SERVING->DRAINING cause=signal";
  control_->stop();
  front_end_->shut_down();
  drain_timer_.start_once(settings_.drain_limit, [this] { loop_.quit(); });
}

QueryView EntryDaemon::query_view() const {
  return {configuration_,        directory_, settings_.name, control_->known_holder(),
          watcher_->reachable(), loop_now()};
}

void EntryDaemon::update_gauges() {
  metrics_.gauge("pumicemast_entry_requests_active", {}, static_cast<double>(front_end_->active()));
  metrics_.gauge("pumicemast_entry_requests_queued", {},
                 static_cast<double>(front_end_->scheduler().queued()));
  metrics_.gauge("pumicemast_entry_agents_connected", {}, static_cast<double>(hub_->connected()));
  metrics_.gauge("pumicemast_entry_configuration_revision", {},
                 static_cast<double>(configuration_.revision()));
  metrics_.gauge("pumicemast_entry_platform_reachable", {}, watcher_->reachable() ? 1 : 0);
  metrics_.gauge("pumicemast_entry_is_controller", {}, control_->is_controller() ? 1 : 0);
  const SchedulerCounters& counters = front_end_->scheduler().counters();
  metrics_.gauge("pumicemast_entry_submissions", {}, static_cast<double>(counters.submitted));
  metrics_.gauge("pumicemast_entry_retries", {}, static_cast<double>(counters.retried));
  metrics_.gauge("pumicemast_entry_resumptions", {}, static_cast<double>(counters.resumed));
  metrics_.gauge("pumicemast_entry_retry_budget_spent", {},
                 static_cast<double>(counters.retry_budget_spent));
}

void EntryDaemon::handle_operator(const HttpExchangePointer& exchange) {
  const std::string path = exchange->path();
  if (path == "/v1/command" && exchange->method() == "POST") return handle_command(exchange);
  if (path == "/metrics") {
    update_gauges();
    return exchange->respond(200, kMetricsContentType, metrics_.serialize());
  }
  if (path == "/healthz") return exchange->respond(200, "text/plain", "ok\n");
  if (path == "/readyz") {
    const bool ready = !terminating_ && configuration_.listed();
    return exchange->respond(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
  }
  exchange->respond(404, "text/plain", "no such path\n");
}

void EntryDaemon::handle_command(const HttpExchangePointer& exchange) {
  const json document = json::parse(exchange->body(), nullptr, false);
  std::vector<std::string> words;
  std::string user;
  try {
    words = document.at("words").get<std::vector<std::string>>();
    user = document.value("user", "");
  } catch (const json::exception&) {
    CommandResult bad;
    bad.error = {ErrorCode::invalid_argument, "body", "expected {\"words\": [...], \"user\": ...}"};
    exchange->respond(400, "application/json", result_document(bad).dump());
    return;
  }
  metrics_.count("pumicemast_entry_commands_total");
  commands_->run(words, user, [this, exchange](const CommandResult& result) {
    pending_commands_.push_back({exchange, result, loop_now() + kInForceTimeout});
    respond_to_commands();
  });
}

void EntryDaemon::respond_to_commands() {
  const TimePoint now = loop_now();
  std::erase_if(pending_commands_, [&](const PendingCommand& pending) {
    const CommandResult& result = pending.result;
    const bool in_force = !result.ok || result.version <= configuration_.revision();
    if (!in_force && now < pending.respond_by) return false;
    pending.exchange->respond(status_of(result), "application/json",
                              result_document(result).dump());
    return true;
  });
}

}  // namespace pumicemast
