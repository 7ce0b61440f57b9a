/// HTTP server on the loop, over libsoup.
#pragma once

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/error.h"
#include "common/gobject_pointer.h"
#include "common/settings.h"

namespace pumicemast {

using HttpHeaders = std::map<std::string, std::string>;

/// One request being answered. Answer it with respond(), or with start_stream(), write()
/// and finish(). Shared so that the answer may come long after the handler returned.
class HttpExchange {
 public:
  explicit HttpExchange(SoupServerMessage* message);
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

  GObjectPointer<SoupServerMessage> message_;
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

 private:
  HttpServer() = default;
  static void handle(SoupServer* server, SoupServerMessage* message, const char* path,
                     GHashTable* query, gpointer self);

  GObjectPointer<SoupServer> server_;
  Handler handler_;
};

}  // namespace pumicemast
