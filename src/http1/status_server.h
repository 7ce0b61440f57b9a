/// Serves simple GET requests of operators and the platform, such as readiness and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http1/connection_eviction.h"
#include "http1/deferred_deleter.h"
#include "http1/tcp_listener.h"

namespace pumicemast {

struct StatusResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

class StatusServer : public TcpListener::Acceptor, public CallerConnectionObserver {
 public:
  /// Returns the response to a GET of `path`, which excludes the query.
  using Responder = std::function<StatusResponse(const std::string& path)>;

  explicit StatusServer(Responder responder) : responder_(std::move(responder)) {}
  /// @return false when the address cannot be bound.
  bool listen(const Address& address);
  /// Closes connections that have been idle too long. Call every few seconds.
  void expire(TimePoint now);

 private:
  bool ready_to_accept() override;
  void on_accepted(int descriptor) override;
  void on_caller_request(CallerConnection& connection, ReceivedRequest request) override;
  void on_caller_disconnected(CallerConnection&) override {}
  void on_caller_connection_closed(CallerConnection& connection) override;

  Responder responder_;
  std::unique_ptr<TcpListener> listener_;
  CallerConnections connections_;
  DeferredDeleter deleter_;
};

}  // namespace pumicemast
