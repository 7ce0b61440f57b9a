/// HTTP server on the main loop, using libsoup.
#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/error.h"
#include "common/event_loop.h"
#include "common/gobject_pointer.h"
#include "common/settings.h"

namespace pumicemast {

using HttpHeaders = std::map<std::string, std::string>;

/// One request and its response. Respond with respond(), or with start_stream(), write() and
/// finish(). Shared, so that the response may be sent long after the handler has returned.
class HttpExchange {
 public:
  /// @param closing  whether to close the connection after this response; read when it begins.
  HttpExchange(SoupServerMessage* message, std::shared_ptr<const bool> closing);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  std::string method() const;
  std::string path() const;
  /// Returns a query parameter, or "" if absent.
  std::string query(const std::string& name) const;
  /// Returns a request header, or "" if absent.
  std::string header(const std::string& name) const;
  std::string body() const;

  void respond(unsigned status, const std::string& content_type, const std::string& body,
               const HttpHeaders& headers = {});
  void start_stream(unsigned status, const std::string& content_type, const HttpHeaders& headers);
  void write(const std::string& bytes);
  void finish();
  /// Closes the connection, so that the caller sees that the response is incomplete.
  void abort();

  /// Called at most once, when the caller disconnects before the response is finished.
  void on_disconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }
  bool connected() const { return connected_; }

 private:
  static void handle_disconnect(SoupServerMessage* message, gpointer self);
  static void handle_finished(SoupServerMessage* message, gpointer self);
  void set_response_headers(const HttpHeaders& headers);

  GObjectPointer<SoupServerMessage> message_;
  std::shared_ptr<const bool> closing_;
  std::function<void()> on_disconnect_;
  bool connected_ = true;
  bool finished_ = false;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchangePointer)>;

  /// Listens on `address` and passes requests for all paths to `handler`.
  static leaf::result<std::unique_ptr<HttpServer>> listen(const Address& address, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Stops serving without interrupting requests: new connections are refused, requests on existing
  /// connections still reach the handler, and each connection closes after its response.
  /// @param on_drained  called once, from the main loop, when all responses have been written and
  /// no
  ///                    request has arrived for a while. It may destroy the server.
  void drain(std::function<void()> on_drained);

 private:
  HttpServer();
  static void handle(SoupServer* server, SoupServerMessage* message, const char* path,
                     GHashTable* query, gpointer self);
  static void handle_request_started(SoupServer* server, SoupServerMessage* message, gpointer self);
  static void handle_request_finalized(gpointer self, GObject* message);
  void refuse_connections();
  void await_idle();

  GObjectPointer<SoupServer> server_;
  Handler handler_;
  /// Requests whose responses have not been written completely. libsoup does not signal the end of
  /// some, such as those whose connection was taken from it, so a request counts as ended when its
  /// message is finalized.
  std::set<GObject*> open_requests_;
  std::shared_ptr<bool> draining_ = std::make_shared<bool>(false);
  Timer idle_timer_;
  std::function<void()> on_drained_;
};

}  // namespace pumicemast
