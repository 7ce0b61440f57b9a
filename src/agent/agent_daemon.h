/// The agent daemon: connects the decision cores of a back-end machine to the network and the
/// engine.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "agent/agent_settings.h"
#include "agent/engine_supervisor.h"
#include "agent/entry_links.h"
#include "agent/request_runner.h"
#include "agent/weight_transfer.h"
#include "common/event_loop.h"
#include "common/metrics.h"
#include "common/state_chart.h"
#include "configuration/assignment_guard.h"
#include "drain/admission_gate.h"
#include "http/http_server.h"
#include "replica/replica_manager.h"

namespace pumicemast {

class AgentDaemon {
 public:
  AgentDaemon(AgentSettings settings, Charts charts, EventLoop& loop);

  /// Binds the listening addresses and starts. Fails when an address is already in use.
  leaf::result<void> start();
  /// Refuses new requests, lets running requests finish, then quits the event loop.
  void terminate();

 private:
  wire::AgentHelloT hello() const;
  wire::AgentStatusT status() const;
  void report();
  void report_soon();
  void on_frame(EntryNumber entry, const wire::Frame& frame);
  void on_assignment(EntryNumber entry, const wire::Assignment& assignment);
  void on_engine_ready(const EngineState& state);
  void apply_participants();
  void execute_actions(const ReplicaActions& actions);
  void execute(const StartFetch& action);
  void execute(const StopFetch& action);
  void execute(const CloseAdmission& action);
  void execute(const OpenAdmission& action);
  void execute(const ActivateVersion& action);
  void execute(const DropVersion& action);
  void execute(const ReplicaChanged& action);
  void check_idle(const std::string& model);
  void on_request_finished(const std::string& model);
  void quit_when_drained();
  void handle_http(const HttpExchangePointer& exchange);

  AgentSettings settings_;
  Charts charts_;
  EventLoop& loop_;
  Metrics metrics_;
  EngineClient engine_;
  AdmissionGate gate_;
  ReplicaManager replicas_;
  std::unique_ptr<WeightTransfer> transfer_;
  std::unique_ptr<EngineSupervisor> supervisor_;
  std::unique_ptr<RequestRunner> runner_;
  std::unique_ptr<EntryLinks> entries_;
  std::unique_ptr<HttpServer> http_;
  AssignmentGuard guard_;
  std::uint64_t incarnation_ = 0;
  /// Participants by digest, as listed by each entry. The union is used, because an entry that
  /// has lost contact with some machines must not remove them from the distribution.
  std::map<EntryNumber, std::map<std::string, std::set<TransferPeer>>> participants_;
  std::map<std::string, std::string> digest_models_;
  std::map<std::string, TimePoint> fetch_started_;
  Timer heartbeat_;
  Timer report_timer_;
  Timer drain_timer_;
  bool terminating_ = false;
};

}  // namespace pumicemast
