/// The gateway process: accepts callers' requests and forwards each to a back end.
///
/// The I/O shell around the decision cores: it turns socket and timer events into calls of the
/// cores and performs the actions that they return.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/event_loop.h"
#include "common/state_chart.h"
#include "gateway/backends/backend_probe.h"
#include "gateway/gateway_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_protocol.h"
#include "gateway/gateway_settings.h"
#include "gateway/peers/fleet_state.h"
#include "gateway/requests/backend_connections.h"
#include "gateway/requests/request_forwarder.h"
#include "http1/caller_connection.h"
#include "http1/connection_eviction.h"
#include "http1/status_server.h"
#include "http1/tcp_listener.h"
#include "memory/memory_budget.h"

namespace pumicemast {

class GatewayDaemon : public TcpListener::Acceptor,
                      public CallerConnectionObserver,
                      public AttemptObserver {
 public:
  GatewayDaemon(GatewaySettings settings, const StateChart& chart, EventLoop& loop,
                std::unique_ptr<GatewayProtocol> protocol, std::unique_ptr<FleetFeed> feed);
  ~GatewayDaemon() override;

  /// Fails with ErrorCode::unavailable when an address cannot be bound.
  leaf::result<void> start();
  /// Starts a graceful stop: requests in progress may finish within the stop grace period.
  void terminate();
  /// Applies the settings that can change at run time; addresses and names require a restart.
  void reload(const GatewaySettings& settings);

 private:
  /// The shell's state of one request in progress.
  struct Exchange {
    CallerConnection* connection = nullptr;
    ReceivedRequest request;
    std::string request_id;
    std::string response_head;  ///< Header lines of the response to be relayed.
    std::string response_reason;
    std::size_t metadata_bytes = 0;  ///< Of what was read from the request's head.
    int response_status = 0;
    bool response_started = false;
    bool reading_paused = false;  ///< The response of its attempt is not read for now.
  };

  // TcpListener::Acceptor
  bool ready_to_accept() override;
  void on_accepted(int descriptor) override;
  // CallerConnectionObserver
  bool admits_body(CallerConnection& connection, std::size_t bytes) override;
  void on_caller_progress(CallerConnection& connection) override;
  void on_caller_request(CallerConnection& connection, ReceivedRequest request) override;
  void on_caller_disconnected(CallerConnection& connection) override;
  void on_caller_connection_closed(CallerConnection& connection) override;
  // AttemptObserver
  void on_attempt_connected(RequestNumber number) override;
  bool on_attempt_head(RequestNumber number, const ResponseHead& head) override;
  void on_attempt_body(RequestNumber number, std::string_view bytes) override;
  void on_attempt_complete(RequestNumber number, ResponseEnd end) override;
  void on_attempt_failed(RequestNumber number, ExchangeFailure failure) override;
  // FleetState callbacks
  void on_routes(const RouteTablePointer& routes);
  void on_report();
  void on_slot_decisions(const Address& engine, const SlotDecisions& decisions);
  void on_slot_queue_lost(const Address& engine);
  /// @param evidence  source of the information, for the log: "agent" or "probe".
  void on_backend_ended(const std::string& backend, const char* evidence);

  /// @param listening  whether a process listens at the back end's address.
  void on_backend_probed(const std::string& backend, bool listening, TimePoint started);

  CallerLimits limits() const;
  void execute_actions(ForwarderActions& actions);
  void flush_responses();
  void execute(const SendToBackend& action);
  void execute(const CancelAttempt& action);
  void execute(const ProbeBackend& action);
  void execute(const BeginResponse& action);
  void execute(const RelayBody& action);
  void execute(const EndResponse& action);
  void execute(const SendRefusal& action);
  void execute(const AbortResponse& action);
  void execute(const QueueForSlot& action);
  void execute(const LeaveSlotQueue& action);
  Exchange* find_exchange(RequestNumber number);
  void erase_exchange(RequestNumber number);

  void start_memory_budget(std::size_t memory_bytes);
  /// Tells the memory budget what is held for a caller, and pauses or resumes reading the response
  /// that is relayed to it. Without a budget, this and the next functions do nothing.
  void account_memory(CallerConnection& connection);
  void track_memory(CallerConnection& connection);
  CallerMemory measure_memory(const CallerConnection& connection);
  /// What is held for the request in progress on a connection.
  void measure_exchange(RequestNumber number, const Exchange& exchange, CallerMemory& memory);
  /// Whether there is memory for a complete request.
  bool admits_request(const ReceivedRequest& request) const;
  /// Drops input without an admitted request that exceeds its share of the budget.
  void drop_unadmitted_input();
  void set_response_reading(RequestNumber number, Exchange& exchange, bool reading);
  /// Accounts for all requests in progress, cuts off slow readers and logs changes of the level.
  void enforce_memory(TimePoint now);
  void on_memory_level(MemoryLevel previous);
  void cut_off(CallerConnection& connection);
  /// @return whether the attempt failed because its response was held back for too long, and the
  ///         response was aborted.
  bool abort_if_held_back(RequestNumber number);
  void update_memory_metrics();

  void tick();
  void sweep();
  void update_retry_allowance(TimePoint now);
  void measure_demand();
  void log_summaries();
  void log_inferred_ends();
  /// Logs back-end crashes with the requests that were running, and sends them to other gateways.
  void report_crashes();
  void step(const char* event);
  void check_stopped(TimePoint now);
  /// Sends a final response to every request that is still in progress.
  void end_requests(TimePoint now);
  /// Whether any caller still receives a response.
  bool delivers_any_response() const;
  void refuse_connections(TimePoint now);
  /// Whether any connected caller has not yet sent a complete request.
  bool awaits_any_request() const;
  StatusResponse status(const std::string& path);

  GatewaySettings settings_;
  const StateChart& chart_;
  EventLoop& loop_;
  std::unique_ptr<GatewayProtocol> protocol_;
  std::unique_ptr<FleetFeed> feed_;
  std::string state_;
  GatewayMetrics metrics_;
  GatewayLog log_;
  FleetState fleet_;
  RequestForwarder forwarder_;
  BackendConnections backends_;
  BackendProbes probes_;
  StatusServer status_server_;
  StatusServer metrics_server_;
  std::unique_ptr<TcpListener> listener_;
  CallerConnections callers_;
  std::map<RequestNumber, Exchange> exchanges_;
  std::optional<MemoryBudget> memory_;  ///< Unset without a limit of the memory.
  MemoryLevel logged_memory_level_ = MemoryLevel::normal;
  std::map<CallerNumber, CallerConnection*> callers_by_number_;
  CallerNumber next_caller_ = 1;
  RequestNumber next_number_ = 1;
  std::uint64_t previous_first_attempts_ = 0;  ///< First attempts at the last update of `demand_`.
  double demand_ = 0;                          ///< First attempts for engines per second, smoothed.
  std::deque<ForwarderAction> queued_actions_;
  std::vector<RequestNumber> unflushed_requests_;  ///< Requests with unflushed response bytes.
  bool executing_actions_ = false;
  bool dropping_input_ = false;
  DeferredDeleter deleter_;
  TimePoint stop_requested_{};
  Duration promised_grace_{};  ///< From the stop signal to the exit of the process.
  std::optional<TimePoint> requests_ended_at_;  ///< When the last requests of a stop were ended.
  TimePoint last_caller_activity_{};            ///< Last new connection or request.
  bool refusing_connections_ = false;
  Timer tick_timer_;
  Timer sweep_timer_;
};

}  // namespace pumicemast
