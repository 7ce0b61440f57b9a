// Carries out the actions that the request forwarder decides on.
#include "gateway/gateway_daemon.h"

namespace pumicemast {
namespace {

/// A caller's connection is closed when more response bytes than this are unread.
constexpr std::size_t kMaximumUnreadBytes = 2U << 20U;

}  // namespace

GatewayDaemon::Exchange* GatewayDaemon::find_exchange(RequestNumber number) {
  const auto found = exchanges_.find(number);
  return found == exchanges_.end() ? nullptr : &found->second;
}

void GatewayDaemon::erase_exchange(RequestNumber number) { exchanges_.erase(number); }

void GatewayDaemon::execute_actions(ForwarderActions& actions) {
  for (ForwarderAction& action : actions) queued_actions_.push_back(std::move(action));
  actions.clear();
  // An action may fail immediately and cause further actions; these are queued behind it.
  if (executing_actions_) return;
  executing_actions_ = true;
  while (!queued_actions_.empty()) {
    const ForwarderAction action = std::move(queued_actions_.front());
    queued_actions_.pop_front();
    std::visit([this](const auto& typed) { execute(typed); }, action);
  }
  flush_responses();
  fleet_.send_backlogs();
  fleet_.exchange_permits(forwarder_.waiting() > 0);
  executing_actions_ = false;
}

void GatewayDaemon::flush_responses() {
  // One write for all bytes that the actions added to a response.
  const std::vector<RequestNumber> unflushed = std::move(unflushed_requests_);
  unflushed_requests_.clear();
  for (const RequestNumber number : unflushed) {
    Exchange* exchange = find_exchange(number);
    if (exchange == nullptr) continue;
    CallerConnection& connection = *exchange->connection;
    connection.flush();
    account_memory(connection);
    if (find_exchange(number) == nullptr || connection.queued_bytes() <= kMaximumUnreadBytes)
      continue;
    on_caller_disconnected(connection);
    connection.abort_response();
  }
}

void GatewayDaemon::execute(const SendToBackend& action) {
  Exchange* exchange = find_exchange(action.request);
  if (exchange == nullptr) return;
  const bool head_request = exchange->request.head.is("HEAD");
  exchange->reading_paused = false;
  backends_.start(action, protocol_->encode_request(exchange->request, action), head_request);
  account_memory(*exchange->connection);
}

void GatewayDaemon::execute(const CancelAttempt& action) { backends_.cancel(action.request); }

void GatewayDaemon::execute(const ProbeBackend& action) {
  probes_.start(action.backend, action.address);
}

void GatewayDaemon::execute(const BeginResponse& action) {
  Exchange* exchange = find_exchange(action.request);
  if (exchange == nullptr) return;
  exchange->response_started = true;
  exchange->connection->begin_response(
      exchange->response_status, exchange->response_reason, exchange->response_head,
      action.length ? ResponseFraming::length : ResponseFraming::chunked,
      action.length.value_or(0));
}

void GatewayDaemon::execute(const RelayBody& action) {
  Exchange* exchange = find_exchange(action.request);
  if (exchange == nullptr) return;
  exchange->connection->write_body(action.bytes);
  unflushed_requests_.push_back(action.request);
}

void GatewayDaemon::execute(const EndResponse& action) {
  Exchange* exchange = find_exchange(action.request);
  if (exchange == nullptr) return;
  CallerConnection& connection = *exchange->connection;
  erase_exchange(action.request);
  connection.end_response();
  account_memory(connection);
}

void GatewayDaemon::execute(const SendRefusal& action) {
  Exchange* exchange = find_exchange(action.request);
  if (exchange == nullptr) return;
  CallerConnection& connection = *exchange->connection;
  const std::string fields = protocol_->refusal_headers(exchange->request_id, action.retry_after);
  erase_exchange(action.request);
  if (action.reason == RefusalReason::memory) metrics_.on_memory_refusal();
  connection.respond(action.status, fields, to_string(action.reason));
  account_memory(connection);
}

void GatewayDaemon::execute(const AbortResponse& action) {
  Exchange* exchange = find_exchange(action.request);
  if (exchange == nullptr) return;
  CallerConnection& connection = *exchange->connection;
  erase_exchange(action.request);
  connection.abort_response();
}

void GatewayDaemon::execute(const QueueForSlot& action) {
  fleet_.slot_requests().queue(action.engine, action.request);
}

void GatewayDaemon::execute(const LeaveSlotQueue& action) {
  fleet_.slot_requests().withdraw(action.engine, action.request);
}

}  // namespace pumicemast
