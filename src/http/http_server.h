/// HTTP server on the loop, over libsoup.
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

/// One request being answered. Answer it with respond(), or with start_stream(), write()
/// and finish(). Shared so that the answer may come long after the handler returned.
class HttpExchange {
 public:
  /// @param closing  true when the connection is to end with this answer; read when it begins.
  HttpExchange(SoupServerMessage* message, std::shared_ptr<const bool> closing);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  std::string method() const;
  std::string path() const;
  /// Query parameter, or "" when absent.
  std::string query(const std::string& name) const;
  /// Request header, or "" when absent.
  std::string header(const std::string& name) const;
  std::string body() const;

  void respond(unsigned status, const std::string& content_type, const std::string& body,
               const HttpHeaders& headers = {});
  void start_stream(unsigned status, const std::string& content_type, const HttpHeaders& headers);
  void write(const std::string& bytes);
  void finish();
  /// Cuts the connection, so that the caller sees that the answer is not whole.
  void abort();

  /// Called at most once, when the caller went away before the answer was finished.
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

  /// Listens on `address`; every path goes to `handler`.
  static leaf::result<std::unique_ptr<HttpServer>> listen(const Address& address, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Ends serving without cutting anything off: no new connection is accepted, requests on those
  /// that there are still reach the handler, and each connection ends with its answer.
  /// @param on_drained  called once, from the loop, when every answer was written and nothing has
  ///                    come for a while. It may destroy the server.
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
  /// Requests whose answers are not written whole. libsoup signals no end for some, as those
  /// whose connection was taken from it; but a message that nobody holds any more is over.
  std::set<GObject*> open_requests_;
  std::shared_ptr<bool> draining_ = std::make_shared<bool>(false);
  Timer idle_timer_;
  std::function<void()> on_drained_;
};

}  // namespace pumicemast
