/// HTTP server on the main loop, over the connections and readers of http1.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/error.h"
#include "common/event_loop.h"
#include "common/settings.h"
#include "http1/connection_eviction.h"
#include "http1/deferred_deleter.h"
#include "http1/tcp_listener.h"
#include "memory/memory_budget.h"

namespace pumicemast {

using HttpHeaders = std::map<std::string, std::string>;

/// Bounds of a server. Beyond them requests are refused with 431, 413 or, if another time may do,
/// 503 and Retry-After.
struct HttpServerLimits {
  /// Of one request, in bytes.
  RequestLimits request{64U * 1024U, 64U * 1024U * 1024U};
  /// Connections at a time. At the limit those without a request in progress are closed for others.
  std::size_t connections = 4096;
  /// Bytes of requests and of responses that callers have not read, of all connections together.
  std::size_t held_bytes = 256U * 1024U * 1024U;
};

/// One request and its response. Respond with respond(), or with start_stream(), write() and
/// finish(). Shared, so that the response may be sent long after the handler has returned.
class HttpExchange {
 public:
  HttpExchange(CallerConnection& connection, ReceivedRequest request);
  /// Aborts the response if it is not finished.
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  std::string method() const { return request_.head.method; }
  /// Without the query; not decoded.
  std::string path() const;
  /// Returns a query parameter, decoded, or "" if absent.
  std::string query(const std::string& name) const;
  /// Returns a request header, or "" if absent.
  std::string header(const std::string& name) const;
  const std::string& body() const { return request_.body; }

  void respond(unsigned status, const std::string& content_type, const std::string& body,
               const HttpHeaders& headers = {});
  void start_stream(unsigned status, const std::string& content_type, const HttpHeaders& headers);
  void write(const std::string& bytes);
  void finish();
  /// Closes the connection, so that the caller sees that the response is incomplete.
  void abort();

  /// Called at most once, when the caller disconnects before the response is finished.
  void on_disconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }
  /// Whether a response can still be sent, or the rest of one.
  bool connected() const { return connection_ != nullptr; }

 private:
  friend class HttpServer;

  /// The caller has disconnected.
  void disconnect();
  /// The server is destroyed.
  void detach() { connection_ = nullptr; }
  /// Gives up the connection: this exchange sends nothing more on it.
  CallerConnection* release_connection();
  std::size_t request_bytes() const;

  CallerConnection* connection_;  ///< Null after the response, or when the caller has gone.
  ReceivedRequest request_;
  std::function<void()> on_disconnect_;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

class HttpServer : public TcpListener::Acceptor, public CallerConnectionObserver {
 public:
  using Handler = std::function<void(HttpExchangePointer)>;

  /// Listens on `address` and passes requests for all paths to `handler`.
  static leaf::result<std::unique_ptr<HttpServer>> listen(const Address& address, Handler handler,
                                                          HttpServerLimits limits = {});
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Stops serving without interrupting requests: new connections are refused, requests on existing
  /// connections still reach the handler, and each connection closes after its response.
  /// @param on_drained  called once, from the main loop, when all responses have been delivered and
  ///                    no request has arrived for a while. It may destroy the server.
  void drain(std::function<void()> on_drained);

 private:
  HttpServer(Handler handler, HttpServerLimits limits);

  bool ready_to_accept() override;
  void on_accepted(int descriptor) override;
  bool admits_body(CallerConnection& connection, std::size_t bytes) override;
  void on_caller_progress(CallerConnection& connection) override;
  void on_caller_request(CallerConnection& connection, ReceivedRequest request) override;
  void on_caller_disconnected(CallerConnection& connection) override;
  void on_caller_connection_closed(CallerConnection& connection) override;

  /// Closes connections that have been idle or incomplete for too long, and enforces the bound of
  /// memory.
  void sweep();
  void account_memory(CallerConnection& connection);
  void drop_unadmitted_input();
  /// Ends a response whose caller reads too slowly.
  void cut_off(CallerConnection& connection);
  HttpExchangePointer find_exchange(const CallerConnection& connection) const;
  bool has_work() const;
  void check_drained();

  Handler handler_;
  HttpServerLimits limits_;
  MemoryBudget budget_;
  std::unique_ptr<TcpListener> listener_;
  CallerConnections connections_;
  std::map<CallerNumber, CallerConnection*> connections_by_number_;
  /// The last request of each connection.
  std::map<const CallerConnection*, std::weak_ptr<HttpExchange>> exchanges_;
  CallerNumber next_caller_ = 1;
  bool dropping_input_ = false;
  bool draining_ = false;
  TimePoint last_activity_{};  ///< When a connection or a request last arrived or was in progress.
  Timer sweep_timer_;
  Timer drain_timer_;
  std::function<void()> on_drained_;
  DeferredDeleter deleter_;
};

}  // namespace pumicemast
