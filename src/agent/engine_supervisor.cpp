#include "agent/engine_supervisor.h"

#include "common/log.h"

namespace pumicemast {
namespace {

constexpr Duration kPollInterval = milliseconds(500);
/// Consecutive unanswered polls after which the engine counts as lost. One poll is not enough,
/// because a busy engine may miss it.
constexpr std::uint32_t kUnansweredPollsUntilLost = 3;

}  // namespace

EngineSupervisor::EngineSupervisor(EngineClient& engine, Metrics& metrics, Callbacks callbacks)
    : engine_(engine), metrics_(metrics), callbacks_(std::move(callbacks)) {}

void EngineSupervisor::start() {
  poll();
  timer_.start_repeating(kPollInterval, [this] { poll(); });
}

void EngineSupervisor::poll() {
  if (polling_) return;
  polling_ = true;
  engine_.read_state([this](const EngineState& state) {
    polling_ = false;
    on_state(state);
  });
}

void EngineSupervisor::on_state(const EngineState& state) {
  if (!state.answered) {
    if (!ready_ || ++unanswered_polls_ < kUnansweredPollsUntilLost) return;
    ready_ = false;
    metrics_.count("pumicemast_agent_engine_lost_total", {{"cause", "silent"}});
    LOG(WARNING) << "engine state=READY->LOST cause=silent";
    callbacks_.on_engine_lost();
    return;
  }
  unanswered_polls_ = 0;
  const bool restarted = !incarnation_.empty() && state.incarnation != incarnation_;
  if (restarted && ready_) {
    metrics_.count("pumicemast_agent_engine_lost_total", {{"cause", "restart"}});
    LOG(WARNING) << "engine state=READY->LOST cause=restart";
    callbacks_.on_engine_lost();
  }
  const bool announce = restarted || !ready_;
  incarnation_ = state.incarnation;
  memory_bytes_ = state.memory_bytes;
  ready_ = true;
  if (!announce) return;
  LOG(INFO) << "engine incarnation=" << incarnation_ << " state=LOST->READY";
  callbacks_.on_engine_ready(state);
}

void EngineSupervisor::activate(const ActivateVersion& order) {
  engine_.activate(
      order.model, order.version.version, order.version.digest, order.fence,
      [this, order](const EngineResult& result) {
        if (!result.done) {
          metrics_.count("pumicemast_agent_engine_failures_total", {{"order", "activate"}});
        }
        callbacks_.on_activated(order.model, order.version.digest, result.done, result.reason);
      });
}

void EngineSupervisor::drop(const DropVersion& order) {
  engine_.drop(order.digest, order.fence, [this](const EngineResult& result) {
    if (!result.done) {
      metrics_.count("pumicemast_agent_engine_failures_total", {{"order", "drop"}});
    }
  });
}

}  // namespace pumicemast
