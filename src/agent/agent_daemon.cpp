#include "agent/agent_daemon.h"

#include <random>

#include "common/log.h"

namespace pumicemast {
namespace {

/// Status changes within this time are sent in one report.
constexpr Duration kReportDelay = milliseconds(20);
/// Delay before the process quits, so that entries receive the final status before the
/// connections close.
constexpr Duration kQuitDelay = milliseconds(200);
/// The requests that are answered have no body.
constexpr HttpServerLimits kHttpLimits{{16U * 1024U, 1024}, 128, 4U << 20U};

std::string text_of(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

}  // namespace

AgentDaemon::AgentDaemon(AgentSettings settings, Charts charts, EventLoop& loop)
    : settings_(std::move(settings)),
      charts_(std::move(charts)),
      loop_(loop),
      engine_(settings_.backend_url),
      gate_(charts_.drain, settings_.concurrency),
      replicas_(charts_.replica) {
  std::random_device entropy;
  incarnation_ = std::uint64_t{entropy()} << 32U | entropy();
  transfer_ = std::make_unique<WeightTransfer>(
      settings_, engine_, metrics_,
      WeightTransfer::Callbacks{
          [this](const std::string& digest) { execute_actions(replicas_.on_verified(digest)); },
          [this] { report_soon(); }});
  supervisor_ = std::make_unique<EngineSupervisor>(
      engine_, metrics_,
      EngineSupervisor::Callbacks{[this](const EngineState& state) { on_engine_ready(state); },
                                  [this] { execute_actions(replicas_.on_engine_lost()); },
                                  [this](const std::string& model, const std::string& digest,
                                         bool activated, const std::string& reason) {
                                    execute_actions(
                                        replicas_.on_activated(model, digest, activated, reason));
                                  }});
  runner_ = std::make_unique<RequestRunner>(
      engine_, gate_, metrics_, settings_.is_engine,
      RequestRunner::Callbacks{[this](EntryNumber entry) { return entries_->connection(entry); },
                               [this](const std::string& model) { on_request_finished(model); }});
  entries_ = std::make_unique<EntryLinks>(
      settings_.entries, incarnation_,
      EntryLinks::Callbacks{
          [this] { return hello(); },
          [this](EntryNumber entry) { entries_->connection(entry)->send(status()); },
          [this](EntryNumber entry, const wire::Frame& frame) { on_frame(entry, frame); },
          [this](EntryNumber entry) {
            participants_.erase(entry);
            runner_->on_entry_lost(entry);
          }});
}

leaf::result<void> AgentDaemon::start() {
  BOOST_LEAF_CHECK(transfer_->listen());
  BOOST_LEAF_ASSIGN(
      http_, HttpServer::listen(
                 settings_.http_listen,
                 [this](HttpExchangePointer exchange) { handle_http(exchange); }, kHttpLimits));
  if (settings_.is_engine) {
    supervisor_->start();  // The entries are connected when the engine is ready.
  } else {
    entries_->start();
  }
  heartbeat_.start_repeating(settings_.heartbeat, [this] { report(); });
  return {};
}

void AgentDaemon::on_engine_ready(const EngineState& state) {
  transfer_->set_engine_contents(state.held);
  for (const auto& [model, serving] : state.serving) {
    execute_actions(replicas_.on_engine_serves(model, {serving.version, serving.digest}));
  }
  if (entries_->connected() == 0) entries_->start();
  report_soon();
}

wire::AgentHelloT AgentDaemon::hello() const {
  wire::AgentHelloT message;
  message.machine = settings_.machine;
  message.region = settings_.region;
  message.zone = settings_.zone;
  message.swarm_address = settings_.swarm_listen.to_string();
  message.incarnation = incarnation_;
  message.backend = settings_.is_engine ? "engine" : "service";
  message.service = settings_.service;
  message.memory_bytes = supervisor_->memory_bytes();
  return message;
}

wire::AgentStatusT AgentDaemon::status() const {
  wire::AgentStatusT message;
  for (const auto& [digest, replica] : replicas_.replicas()) {
    auto entry = std::make_unique<wire::ReplicaStatusT>();
    entry->model = replica.model;
    entry->version = replica.version.version;
    entry->digest = digest;
    entry->state = replica.state;
    entry->note = replica.note;
    const TransferProgress progress = transfer_->progress(digest);
    entry->chunks_verified = progress.chunks_verified;
    entry->chunk_count = progress.chunk_count;
    message.replicas.push_back(std::move(entry));
  }
  message.in_flight = gate_.in_flight();
  message.queue_limit = gate_.limit();
  message.draining = gate_.draining();
  message.drained = gate_.drained();
  message.configuration_revision = guard_.highest();
  const TransferTotals& totals = transfer_->totals();
  message.origin_bytes = totals.origin_bytes;
  message.peer_bytes = totals.peer_bytes;
  message.duplicate_bytes = totals.duplicate_bytes;
  return message;
}

void AgentDaemon::report() {
  report_timer_.cancel();
  entries_->broadcast(status());
}

void AgentDaemon::report_soon() {
  if (!report_timer_.active()) report_timer_.start_once(kReportDelay, [this] { report(); });
}

void AgentDaemon::on_frame(EntryNumber entry, const wire::Frame& frame) {
  switch (frame.body_type()) {
    case wire::Body::Assignment:
      on_assignment(entry, *frame.body_as_Assignment());
      return;
    case wire::Body::SubmitRequest:
      runner_->on_submit(entry, *frame.body_as_SubmitRequest());
      return;
    case wire::Body::CancelRequest:
      runner_->on_cancel(entry, frame.body_as_CancelRequest()->id());
      return;
    default:
      metrics_.count("pumicemast_agent_unexpected_frames_total");
  }
}

void AgentDaemon::on_assignment(EntryNumber entry, const wire::Assignment& assignment) {
  if (!guard_.accept(assignment.revision())) {
    metrics_.count("pumicemast_agent_assignments_outdated_total");
    return;
  }
  const bool was_draining = gate_.draining();
  gate_.set_stop(assignment.stop());
  if (gate_.draining() != was_draining) {
    LOG(INFO) << "backend state=" << (was_draining ? "DRAINING->SERVING" : "SERVING->DRAINING");
  }
  std::vector<ReplicaOrder> orders;
  struct TransferOrder {
    bool paused = false;
    bool minimize_origin_bytes = false;
    int priority = 0;
  };
  std::map<std::string, TransferOrder> transfers;
  auto& assigned = participants_[entry];
  assigned.clear();
  const auto* models = assignment.models();
  for (flatbuffers::uoffset_t index = 0; models != nullptr && index < models->size(); ++index) {
    const wire::ModelOrder& model = *models->Get(index);
    ReplicaOrder order;
    order.model = model.model()->str();
    order.stage = {text_of(model.stage_version()), text_of(model.stage_digest())};
    order.serve = {text_of(model.serve_version()), text_of(model.serve_digest())};
    order.fence = model.fence();
    order.paused = model.paused();
    std::set<TransferPeer> peers;
    const auto* list = model.participants();
    for (flatbuffers::uoffset_t peer = 0; list != nullptr && peer < list->size(); ++peer) {
      const wire::Participant& participant = *list->Get(peer);
      const auto address = parse_address(participant.swarm_address()->str());
      if (!address) continue;
      peers.insert({participant.machine()->str(), participant.region()->str(),
                    participant.zone()->str(), *address});
    }
    for (const std::string& digest : {order.stage.digest, order.serve.digest}) {
      if (digest.empty()) continue;
      assigned[digest] = peers;
      transfers[digest] = {model.paused(), text_of(model.objective()) == "origin_bytes",
                           model.priority()};
    }
    orders.push_back(std::move(order));
  }
  execute_actions(replicas_.on_orders(orders));
  for (const auto& [digest, transfer] : transfers) {
    transfer_->set_objective(digest, transfer.minimize_origin_bytes);
    transfer_->set_priority(digest, transfer.priority);
    transfer_->set_paused(digest, transfer.paused);
  }
  apply_participants();
  report_soon();
}

void AgentDaemon::apply_participants() {
  std::map<std::string, std::set<TransferPeer>> merged;
  for (const auto& [entry, digests] : participants_) {
    for (const auto& [digest, peers] : digests) merged[digest].insert(peers.begin(), peers.end());
  }
  for (const auto& [digest, peers] : merged) transfer_->set_participants(digest, peers);
}

void AgentDaemon::execute_actions(const ReplicaActions& actions) {
  for (const ReplicaAction& action : actions) {
    std::visit([this](const auto& typed) { execute(typed); }, action);
  }
  if (!actions.empty()) report_soon();
}

void AgentDaemon::execute(const StartFetch& action) {
  fetch_started_.try_emplace(action.version.digest, loop_now());
  transfer_->start(action.version.digest);
  apply_participants();
}

void AgentDaemon::execute(const StopFetch& action) { transfer_->stop(action.digest); }

void AgentDaemon::execute(const CloseAdmission& action) {
  gate_.close(action.model);
  check_idle(action.model);
}

void AgentDaemon::execute(const OpenAdmission& action) { gate_.open(action.model, action.digest); }

void AgentDaemon::execute(const ActivateVersion& action) { supervisor_->activate(action); }

void AgentDaemon::execute(const DropVersion& action) {
  transfer_->stop(action.digest);
  fetch_started_.erase(action.digest);
  supervisor_->drop(action);
}

void AgentDaemon::execute(const ReplicaChanged& action) {
  metrics_.count("pumicemast_agent_replica_transitions_total", {{"to", action.to}});
  LOG(INFO) << "replica machine=" << settings_.machine << " model=" << action.model
            << " version=" << action.version << " state=" << action.from << "->" << action.to;
  if (action.to != "LIVE") return;
  for (const auto& [digest, replica] : replicas_.replicas()) {
    const auto started = fetch_started_.find(digest);
    if (replica.state != "LIVE" || started == fetch_started_.end()) continue;
    metrics_.observe("pumicemast_agent_time_to_live_seconds", {{"model", action.model}},
                     loop_now() - started->second);
    fetch_started_.erase(started);
  }
}

void AgentDaemon::check_idle(const std::string& model) {
  if (gate_.in_flight(model) > 0) return;
  // Deferred to the event loop, because the replica core must not be called while its actions
  // are being executed.
  struct Idle {
    AgentDaemon* daemon;
    std::string model;
  };
  g_idle_add(
      [](gpointer data) -> gboolean {
        std::unique_ptr<Idle> idle(static_cast<Idle*>(data));
        AgentDaemon* daemon = idle->daemon;
        if (daemon->gate_.in_flight(idle->model) == 0) {
          daemon->execute_actions(daemon->replicas_.on_idle(idle->model));
        }
        return G_SOURCE_REMOVE;
      },
      new Idle{this, model});
}

void AgentDaemon::on_request_finished(const std::string& model) {
  check_idle(model);
  if (gate_.drained()) report_soon();
  if (terminating_) quit_when_drained();
}

void AgentDaemon::terminate() {
  terminating_ = true;
  LOG(INFO) << "backend state=SERVING->DRAINING cause=signal";
  gate_.set_terminating();
  report();
  drain_timer_.start_once(settings_.drain_limit, [this] { loop_.quit(); });
  quit_when_drained();
}

void AgentDaemon::quit_when_drained() {
  if (!gate_.drained()) return;
  drain_timer_.start_once(kQuitDelay, [this] { loop_.quit(); });
}

void AgentDaemon::handle_http(const HttpExchangePointer& exchange) {
  const std::string path = exchange->path();
  if (path == "/metrics") {
    metrics_.gauge("pumicemast_agent_in_flight", {}, gate_.in_flight());
    metrics_.gauge("pumicemast_agent_entries_connected", {},
                   static_cast<double>(entries_->connected()));
    metrics_.gauge("pumicemast_agent_configuration_revision", {},
                   static_cast<double>(guard_.highest()));
    const TransferTotals& totals = transfer_->totals();
    metrics_.gauge("pumicemast_agent_weight_bytes", {{"source", "origin"}},
                   static_cast<double>(totals.origin_bytes));
    metrics_.gauge("pumicemast_agent_weight_bytes", {{"source", "peer"}},
                   static_cast<double>(totals.peer_bytes));
    metrics_.gauge("pumicemast_agent_weight_bytes", {{"source", "duplicate"}},
                   static_cast<double>(totals.duplicate_bytes));
    exchange->respond(200, kMetricsContentType, metrics_.serialize());
    return;
  }
  if (path == "/healthz") {
    exchange->respond(200, "text/plain", "ok\n");
    return;
  }
  if (path == "/readyz") {
    const bool ready = !gate_.draining() && entries_->connected() > 0;
    exchange->respond(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    return;
  }
  exchange->respond(404, "text/plain", "no such path\n");
}

}  // namespace pumicemast
