#include "http1/status_server.h"

#include <vector>

#include "common/event_loop.h"

namespace pumicemast {
namespace {

constexpr Duration kIdleTimeout = seconds(60);
constexpr Duration kHeadTimeout = seconds(3);
constexpr std::size_t kMaximumConnections = 128;
constexpr std::size_t kEvictedConnections = 16;
/// The requests that are answered have no body.
constexpr RequestLimits kLimits{16U * 1024U, 1024};
constexpr int kStatusMethodNotAllowed = 405;

}  // namespace

bool StatusServer::listen(const Address& address) {
  listener_ = TcpListener::listen(address, *this);
  return listener_ != nullptr;
}

bool StatusServer::ready_to_accept() {
  if (connections_.size() >= kMaximumConnections) {
    evict(connections_, kEvictedConnections, loop_now());
  }
  return connections_.size() < kMaximumConnections;
}

void StatusServer::on_accepted(int descriptor) {
  auto connection = std::make_unique<CallerConnection>(descriptor, kLimits, *this);
  const CallerConnection* key = connection.get();
  connections_[key] = std::move(connection);
}

void StatusServer::on_caller_request(CallerConnection& connection, ReceivedRequest request) {
  if (!request.head.is("GET")) {
    connection.respond(kStatusMethodNotAllowed, {}, {});
    return;
  }
  const std::string_view target = request.head.target;
  const StatusResponse response = responder_(std::string(target.substr(0, target.find('?'))));
  std::string fields;
  append_field(fields, "Content-Type", response.content_type);
  connection.respond(response.status, fields, response.body);
}

void StatusServer::on_caller_connection_closed(CallerConnection& connection) {
  auto node = connections_.extract(&connection);
  if (!node.empty()) deleter_.defer(std::move(node.mapped()));
}

void StatusServer::expire(TimePoint now) {
  std::vector<CallerConnection*> open;
  for (const auto& [key, connection] : connections_) open.push_back(connection.get());
  for (CallerConnection* connection : open) connection->expire(now, kIdleTimeout, kHeadTimeout);
}

}  // namespace pumicemast
