// Keeps what the gateway holds for callers and back ends within its memory budget.
#include <algorithm>

#include "gateway/gateway_daemon.h"

namespace pumicemast {
namespace {

/// While the memory budget is not nearly used up, plain responses up to the first size are relayed
/// only when complete; the second applies otherwise.
constexpr std::size_t kBufferedResponseBytes = ForwarderOptions{}.max_buffered_response_bytes;
constexpr std::size_t kBufferedResponseBytesWhenFull = 32U * 1024U;

/// Size of the system's buffers for responses, per connection. Where the system accounts socket
/// buffers to the process, they are part of its memory. More than a link of 200 Mbit/s needs at a
/// round trip of 2 ms.
constexpr int kSocketBufferBytes = 64 * 1024;

/// For requests that were refused before they were complete.
constexpr Duration kRetryAfterDroppedInput = seconds(1);

}  // namespace

void GatewayDaemon::start_memory_budget(std::size_t memory_bytes) {
  // The other half is for the process itself and for unused parts of buffers.
  memory_.emplace(memory_bytes / 2);
  backends_.limit_receive_buffers(kSocketBufferBytes);
}

void GatewayDaemon::track_memory(CallerConnection& connection) {
  callers_by_number_[connection.caller_number] = &connection;
  connection.limit_send_buffer(kSocketBufferBytes);
}

bool GatewayDaemon::admits_body(CallerConnection&, std::size_t bytes) {
  return !memory_ || memory_->admits_body(bytes);
}

void GatewayDaemon::on_caller_progress(CallerConnection& connection) {
  account_memory(connection);
  drop_unadmitted_input();
}

bool GatewayDaemon::admits_request(const ReceivedRequest& request) const {
  if (!memory_) return true;
  return memory_->admits_request(request.head.allocated_bytes() + request.body.size());
}

CallerMemory GatewayDaemon::measure_memory(const CallerConnection& connection) {
  CallerMemory memory = connection.measure_memory();
  memory.promised += connection.expected_body_bytes();  // The copy that will be sent to a back end.
  const Exchange* exchange =
      connection.handling() ? find_exchange(connection.request_number) : nullptr;
  if (exchange != nullptr) measure_exchange(connection.request_number, *exchange, memory);
  return memory;
}

void GatewayDaemon::measure_exchange(RequestNumber number, const Exchange& exchange,
                                     CallerMemory& memory) {
  const std::size_t body = exchange.request.body.size();
  memory.held.request_head += exchange.request.head.allocated_bytes() + exchange.metadata_bytes;
  memory.held.request_body += body;
  memory.held.unread_response += forwarder_.buffered_bytes(number) + exchange.response_head.size() +
                                 backends_.input_bytes(number);
  const auto unsent = backends_.unsent_bytes(number);
  if (unsent) {
    memory.held.unsent_request = *unsent;
  } else {
    memory.promised += body;
  }
}

void GatewayDaemon::account_memory(CallerConnection& connection) {
  if (!memory_ || !connection.is_open()) return;
  memory_->update(connection.caller_number, measure_memory(connection), loop_now());
  if (!connection.handling()) return;
  Exchange* exchange = find_exchange(connection.request_number);
  // Before the response has started, nothing of it is queued for the caller.
  if (exchange == nullptr || !exchange->response_started) return;
  const bool pause = memory_->holds_back(connection.caller_number);
  if (pause != exchange->reading_paused) {
    set_response_reading(connection.request_number, *exchange, !pause);
  }
}

void GatewayDaemon::set_response_reading(RequestNumber number, Exchange& exchange, bool reading) {
  exchange.reading_paused = !reading;
  backends_.set_reading(number, reading);
  forwarder_.on_reading_paused(number, !reading, loop_now());
}

void GatewayDaemon::enforce_memory(TimePoint now) {
  if (!memory_) return;
  // Back ends read requests without an event here, and responses of attempts are buffered.
  for (const auto& [number, exchange] : exchanges_) account_memory(*exchange.connection);
  drop_unadmitted_input();
  while (const auto slowest = memory_->next_to_cut_off(now)) {
    CallerConnection& connection = *callers_by_number_.at(*slowest);
    log_.log_line("memory", "memory event=cut_off caller=" + std::to_string(*slowest) +
                                " unread_bytes=" + std::to_string(connection.queued_bytes()));
    metrics_.on_slow_reader_cut();
    cut_off(connection);
  }
  if (memory_->level() != logged_memory_level_) on_memory_level(logged_memory_level_);
}

void GatewayDaemon::drop_unadmitted_input() {
  // Refusing a request reports progress of its connection.
  if (!memory_ || dropping_input_) return;
  dropping_input_ = true;
  while (const auto caller = memory_->next_to_drop_input()) {
    CallerConnection& connection = *callers_by_number_.at(*caller);
    log_.log_line("memory_input", "memory event=drop_input caller=" + std::to_string(*caller) +
                                      " bytes=" + std::to_string(connection.input_memory_bytes()));
    metrics_.on_input_dropped();
    connection.drop_unadmitted_input(kStatusUnavailable,
                                     protocol_->refusal_headers({}, kRetryAfterDroppedInput));
    account_memory(connection);
    // Input that arrived meanwhile and could not be dropped would be selected again and again.
    if (memory_->next_to_drop_input() == caller) cut_off(connection);
  }
  dropping_input_ = false;
}

void GatewayDaemon::on_memory_level(MemoryLevel previous) {
  const MemoryLevel level = memory_->level();
  logged_memory_level_ = level;
  forwarder_.set_max_buffered_response_bytes(
      level == MemoryLevel::normal ? kBufferedResponseBytes : kBufferedResponseBytesWhenFull);
  const HeldBytes& held = memory_->held();
  log_.log_line("memory", std::string("memory state=") + to_string(previous) + "->" +
                              to_string(level) + " held_bytes=" + std::to_string(held.total()) +
                              " promised_bytes=" + std::to_string(memory_->promised()) +
                              " budget_bytes=" + std::to_string(memory_->budget()) +
                              " request_head=" + std::to_string(held.request_head) +
                              " request_body=" + std::to_string(held.request_body) +
                              " unread_response=" + std::to_string(held.unread_response) +
                              " unsent_request=" + std::to_string(held.unsent_request));
}

void GatewayDaemon::cut_off(CallerConnection& connection) {
  if (connection.handling() && find_exchange(connection.request_number) != nullptr) {
    ForwarderActions actions;
    forwarder_.on_slow_reader(connection.request_number, loop_now(), actions);
    execute_actions(actions);
  }
  if (!connection.is_open()) return;
  // What is left belongs to an earlier response on this connection.
  if (connection.handling()) on_caller_disconnected(connection);
  connection.abort_response();
  // It stays open while earlier responses are not delivered.
  account_memory(connection);
}

bool GatewayDaemon::abort_if_held_back(RequestNumber number) {
  const Exchange* exchange = find_exchange(number);
  if (!memory_ || exchange == nullptr || !exchange->reading_paused) return false;
  // A back end cuts off a response that stays unread. That says nothing about the back end, and
  // another attempt would be held back as well.
  if (!memory_->reads_slowly(exchange->connection->caller_number, loop_now())) return false;
  ForwarderActions actions;
  forwarder_.on_slow_reader(number, loop_now(), actions);
  execute_actions(actions);
  return true;
}

void GatewayDaemon::update_memory_metrics() {
  if (!memory_) return;
  const auto paused = std::count_if(exchanges_.begin(), exchanges_.end(),
                                    [](const auto& entry) { return entry.second.reading_paused; });
  metrics_.update(memory_->held(), static_cast<std::size_t>(paused));
}

}  // namespace pumicemast
