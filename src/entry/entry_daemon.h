/// The entry daemon: connects the decision cores of an entry to the network and the event loop.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "adapters/configuration_watcher.h"
#include "adapters/object_store_client.h"
#include "commands/command_executor.h"
#include "common/event_loop.h"
#include "common/state_chart.h"
#include "entry/agent_hub.h"
#include "entry/assignment_builder.h"
#include "entry/control_loop.h"
#include "entry/entry_settings.h"
#include "entry/execution_claims.h"
#include "entry/front_end.h"
#include "http/http_server.h"

namespace pumicemast {

class EntryDaemon {
 public:
  EntryDaemon(EntrySettings settings, Charts charts, EventLoop& loop);

  /// Binds the listening addresses and starts. Fails when an address is already in use.
  leaf::result<void> start();
  /// Refuses new requests, lets running requests finish, then quits the event loop.
  void terminate();

 private:
  void on_configuration_change(const ConfigurationChange& change);
  void push_assignments();
  void push_assignments_soon();
  void poll_machine_list();
  void tick();
  /// Closes the servers once their responses are complete, then quits the event loop.
  void drain_servers();
  void handle_operator(const HttpExchangePointer& exchange);
  void handle_command(const HttpExchangePointer& exchange);
  void respond_to_commands();
  void update_gauges();
  QueryView query_view() const;

  EntrySettings settings_;
  Charts charts_;
  EventLoop& loop_;
  std::uint64_t incarnation_;
  Metrics metrics_;
  ConfigurationStore configuration_;
  BackendDirectory directory_;
  std::unique_ptr<ObjectStoreClient> store_;
  std::unique_ptr<ConfigurationWatcher> watcher_;
  std::unique_ptr<AgentHub> hub_;
  std::unique_ptr<ExecutionClaims> claims_;
  std::unique_ptr<FrontEnd> front_end_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<CommandExecutor> commands_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> operators_;
  /// A finished operator command. An accepted change is reported once it is in force at this
  /// entry, so that the operator's next query to this entry sees it.
  struct PendingCommand {
    HttpExchangePointer exchange;
    CommandResult result;
    TimePoint respond_by{};
  };
  std::vector<PendingCommand> pending_commands_;
  AssignmentBuilder assignments_;
  Timer push_timer_;
  Timer tick_timer_;
  Timer machine_list_timer_;
  Timer drain_timer_;
  bool terminating_ = false;
  /// Number of servers (callers, operators) still draining; empty until draining starts.
  std::optional<int> draining_servers_;
};

}  // namespace pumicemast
