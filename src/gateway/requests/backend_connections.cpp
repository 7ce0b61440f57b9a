#include "gateway/requests/backend_connections.h"

#include <algorithm>

#include "common/event_loop.h"

namespace pumicemast {
namespace {

/// The connection is closed when a back end does not acknowledge sent bytes for this long.
constexpr Duration kAcknowledgementTimeout = milliseconds(1500);
/// An idle connection is not reused within this time before the peer's stated keep-alive timeout.
constexpr Duration kKeepAliveMargin = milliseconds(1000);
/// Idle timeout when the peer states no keep-alive timeout.
constexpr Duration kDefaultIdleTimeout = seconds(4);

}  // namespace

/// One request on one connection.
class BackendConnections::Attempt : public ExchangeObserver {
 public:
  Attempt(BackendConnections& owner, const SendToBackend& send)
      : owner_(owner),
        number_(send.request),
        backend_(send.backend),
        max_idle_connections_(send.max_idle_connections) {}

  void run(std::unique_ptr<ClientConnection> connection, const std::string& bytes,
           bool head_request) {
    connection_ = std::move(connection);
    connection_->send_request(bytes, head_request, *this);
  }
  ClientConnection& connection() { return *connection_; }
  std::unique_ptr<ClientConnection> release() { return std::move(connection_); }
  const std::string& backend() const { return backend_; }
  std::size_t max_idle_connections() const { return max_idle_connections_; }

 private:
  void on_connection_established() override { owner_.observer_.on_attempt_connected(number_); }
  bool on_response_head(const ResponseHead& head) override {
    return owner_.observer_.on_attempt_head(number_, head);
  }
  void on_response_body(std::string_view bytes) override {
    owner_.observer_.on_attempt_body(number_, bytes);
  }
  void on_response_complete(ResponseEnd end) override {
    const RequestNumber number = number_;
    AttemptObserver& observer = owner_.observer_;
    owner_.finish(number, true);
    observer.on_attempt_complete(number, end);
  }
  void on_exchange_failed(ExchangeFailure failure) override {
    const RequestNumber number = number_;
    AttemptObserver& observer = owner_.observer_;
    owner_.finish(number, false);
    observer.on_attempt_failed(number, failure);
  }

  BackendConnections& owner_;
  RequestNumber number_;
  std::string backend_;
  std::size_t max_idle_connections_;
  std::unique_ptr<ClientConnection> connection_;
};

BackendConnections::BackendConnections(AttemptObserver& observer) : observer_(observer) {}

BackendConnections::~BackendConnections() = default;

bool BackendConnections::idle_expired(const ClientConnection& connection, TimePoint now) {
  const int stated_s = connection.keep_alive_timeout_s();
  const Duration limit = stated_s < 0 ? kDefaultIdleTimeout : seconds(stated_s) - kKeepAliveMargin;
  return now - connection.idle_since() >= limit;
}

std::unique_ptr<ClientConnection> BackendConnections::take_idle(const SendToBackend& send) {
  const auto found = idle_.find(send.backend);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second.connections;
  const TimePoint now = loop_now();
  while (!connections.empty()) {
    std::unique_ptr<ClientConnection> connection = std::move(connections.back());
    connections.pop_back();
    if (connection->reusable() && !idle_expired(*connection, now)) return connection;
    connection->abandon();
    deleter_.defer(std::move(connection));
  }
  return nullptr;
}

void BackendConnections::start(const SendToBackend& send, const std::string& bytes,
                               bool head_request) {
  std::unique_ptr<ClientConnection> connection = take_idle(send);
  if (!connection) {
    ++connections_opened_;
    connection = std::make_unique<ClientConnection>(send.address, kAcknowledgementTimeout, *this);
    if (receive_buffer_bytes_) connection->limit_receive_buffer(*receive_buffer_bytes_);
  }
  auto attempt = std::make_unique<Attempt>(*this, send);
  Attempt& started = *attempt;
  attempts_[send.request] = std::move(attempt);
  const bool connected = connection->connected();
  // No keep-alive probes during an attempt: a back end may be silent for seconds before it
  // responds, and with the acknowledgement timeout a single lost probe would end a request that may
  // have run. AttemptMonitor watches attempts instead.
  connection->set_tcp_keepalive(false);
  started.run(std::move(connection), bytes, head_request);
  if (connected) observer_.on_attempt_connected(send.request);
}

void BackendConnections::finish(RequestNumber number, bool keep_connection) {
  auto node = attempts_.extract(number);
  if (node.empty()) return;
  std::unique_ptr<ClientConnection> connection = node.mapped()->release();
  const std::string backend = node.mapped()->backend();
  const std::size_t max_idle = node.mapped()->max_idle_connections();
  deleter_.defer(std::move(node.mapped()));
  if (keep_connection && connection->reusable() && max_idle > 0) {
    keep_idle(backend, std::move(connection), max_idle);
  } else {
    connection->abandon();
    deleter_.defer(std::move(connection));
  }
}

void BackendConnections::keep_idle(const std::string& backend,
                                   std::unique_ptr<ClientConnection> connection,
                                   std::size_t max_idle) {
  auto& connections = idle_[backend].connections;
  connection->set_idle_since(loop_now());
  // Detects peers that disappear while the connection is idle. Without probes, a non-repeatable
  // request could be sent on a dead connection and then not be retried.
  connection->set_tcp_keepalive(true);
  connections.push_back(std::move(connection));
  while (connections.size() > max_idle) {
    connections.front()->abandon();
    deleter_.defer(std::move(connections.front()));
    connections.erase(connections.begin());
  }
}

void BackendConnections::set_reading(RequestNumber number, bool reading) {
  const auto found = attempts_.find(number);
  if (found != attempts_.end()) found->second->connection().set_reading(reading);
}

std::optional<std::size_t> BackendConnections::unsent_bytes(RequestNumber number) const {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) return std::nullopt;
  return found->second->connection().unsent_bytes();
}

std::size_t BackendConnections::input_bytes(RequestNumber number) const {
  const auto found = attempts_.find(number);
  return found == attempts_.end() ? 0 : found->second->connection().input_bytes();
}

void BackendConnections::cancel(RequestNumber number) { finish(number, false); }

void BackendConnections::on_idle_connection_ended(ClientConnection& connection) {
  for (auto& [backend, idle] : idle_) {
    auto& connections = idle.connections;
    const auto found =
        std::find_if(connections.begin(), connections.end(),
                     [&](const auto& candidate) { return candidate.get() == &connection; });
    if (found == connections.end()) continue;
    deleter_.defer(std::move(*found));
    connections.erase(found);
    return;
  }
}

void BackendConnections::expire_idle(TimePoint now) {
  for (auto& [backend, idle] : idle_) {
    std::erase_if(idle.connections, [&](std::unique_ptr<ClientConnection>& connection) {
      if (connection->reusable() && !idle_expired(*connection, now)) return false;
      connection->abandon();
      deleter_.defer(std::move(connection));
      return true;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.connections.empty(); });
}

}  // namespace pumicemast
