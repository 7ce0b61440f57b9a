#include "http/http_server.h"

#include <utility>

#include "common/log.h"
#include "transport/connection_filter.h"

namespace pumicemast {
namespace {

/// A draining server waits for this time after the last request, so that handshakes can complete
/// and requests in transit can arrive.
constexpr Duration kIdleBeforeDrained = milliseconds(300);

}  // namespace

HttpExchange::HttpExchange(SoupServerMessage* message, std::shared_ptr<const bool> closing)
    : message_(GObjectPointer<SoupServerMessage>::share(message)), closing_(std::move(closing)) {
  g_signal_connect(message, "disconnected", G_CALLBACK(&HttpExchange::handle_disconnect), this);
  g_signal_connect(message, "finished", G_CALLBACK(&HttpExchange::handle_finished), this);
  soup_server_message_pause(message);
}

HttpExchange::~HttpExchange() {
  g_signal_handlers_disconnect_by_data(message_.get(), this);
  if (!finished_ && connected_) abort();
}

void HttpExchange::handle_disconnect(SoupServerMessage*, gpointer self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  if (!exchange->connected_) return;
  exchange->connected_ = false;
  if (exchange->finished_ || !exchange->on_disconnect_) return;
  const auto callback = std::move(exchange->on_disconnect_);
  callback();
}

void HttpExchange::handle_finished(SoupServerMessage* message, gpointer self) {
  handle_disconnect(message, self);
}

std::string HttpExchange::method() const { return soup_server_message_get_method(message_.get()); }

std::string HttpExchange::path() const {
  return g_uri_get_path(soup_server_message_get_uri(message_.get()));
}

std::string HttpExchange::query(const std::string& name) const {
  const char* text = g_uri_get_query(soup_server_message_get_uri(message_.get()));
  if (text == nullptr) return {};
  GHashTable* table = soup_form_decode(text);
  const auto* value = static_cast<const char*>(g_hash_table_lookup(table, name.c_str()));
  std::string found = value == nullptr ? "" : value;
  g_hash_table_unref(table);
  return found;
}

std::string HttpExchange::header(const std::string& name) const {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(message_.get()), name.c_str());
  return value == nullptr ? "" : value;
}

std::string HttpExchange::body() const {
  SoupMessageBody* body = soup_server_message_get_request_body(message_.get());
  return body->data == nullptr ? std::string()
                               : std::string(body->data, static_cast<std::size_t>(body->length));
}

void HttpExchange::set_response_headers(const HttpHeaders& headers) {
  SoupMessageHeaders* target = soup_server_message_get_response_headers(message_.get());
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(target, name.c_str(), value.c_str());
  }
  if (*closing_) soup_message_headers_replace(target, "Connection", "close");
}

void HttpExchange::respond(unsigned status, const std::string& content_type,
                           const std::string& body, const HttpHeaders& headers) {
  if (!connected_ || finished_) return;
  finished_ = true;
  set_response_headers(headers);
  soup_server_message_set_status(message_.get(), status, nullptr);
  soup_server_message_set_response(message_.get(), content_type.c_str(), SOUP_MEMORY_COPY,
                                   body.data(), body.size());
  soup_server_message_unpause(message_.get());
}

void HttpExchange::start_stream(unsigned status, const std::string& content_type,
                                const HttpHeaders& headers) {
  if (!connected_) return;
  set_response_headers(headers);
  SoupMessageHeaders* target = soup_server_message_get_response_headers(message_.get());
  soup_message_headers_set_content_type(target, content_type.c_str(), nullptr);
  soup_message_headers_set_encoding(target, SOUP_ENCODING_CHUNKED);
  soup_server_message_set_status(message_.get(), status, nullptr);
  soup_message_body_set_accumulate(soup_server_message_get_response_body(message_.get()), FALSE);
}

void HttpExchange::write(const std::string& bytes) {
  if (!connected_ || finished_ || bytes.empty()) return;
  soup_message_body_append(soup_server_message_get_response_body(message_.get()), SOUP_MEMORY_COPY,
                           bytes.data(), bytes.size());
  soup_server_message_unpause(message_.get());
}

void HttpExchange::finish() {
  if (!connected_ || finished_) return;
  finished_ = true;
  soup_message_body_complete(soup_server_message_get_response_body(message_.get()));
  soup_server_message_unpause(message_.get());
}

void HttpExchange::abort() {
  if (!connected_ || finished_) return;
  finished_ = true;
  GIOStream* stream = soup_server_message_steal_connection(message_.get());
  if (stream == nullptr) return;
  g_io_stream_close(stream, nullptr, nullptr);
  g_object_unref(stream);
}

HttpServer::HttpServer()
    : server_(GObjectPointer<SoupServer>::adopt(
          soup_server_new("server-header", "pumicemast", nullptr))) {
  soup_server_add_handler(server_.get(), nullptr, &HttpServer::handle, this, nullptr);
  g_signal_connect(server_.get(), "request-started", G_CALLBACK(&handle_request_started), this);
}

leaf::result<std::unique_ptr<HttpServer>> HttpServer::listen(const Address& address,
                                                             Handler handler) {
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->handler_ = std::move(handler);
  GSocketAddress* socket_address =
      g_inet_socket_address_new_from_string(address.host.c_str(), address.port);
  GError* error = nullptr;
  const gboolean bound = soup_server_listen(server->server_.get(), socket_address,
                                            static_cast<SoupServerListenOptions>(0), &error);
  g_object_unref(socket_address);
  if (bound == FALSE) {
    const std::string reason = error->message;
    g_error_free(error);
    return leaf::new_error(Error{ErrorCode::unavailable, address.to_string(), reason});
  }
  return server;
}

HttpServer::~HttpServer() {
  g_signal_handlers_disconnect_by_data(server_.get(), this);
  for (GObject* message : open_requests_)
    g_object_weak_unref(message, &handle_request_finalized, this);
  soup_server_disconnect(server_.get());
}

void HttpServer::handle(SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
                        gpointer self) {
  auto* server = static_cast<HttpServer*>(self);
  server->handler_(std::make_shared<HttpExchange>(message, server->draining_));
}

void HttpServer::handle_request_started(SoupServer*, SoupServerMessage* message, gpointer self) {
  auto* server = static_cast<HttpServer*>(self);
  const bool is_new = server->open_requests_.insert(G_OBJECT(message)).second;
  if (is_new) g_object_weak_ref(G_OBJECT(message), &handle_request_finalized, server);
}

void HttpServer::handle_request_finalized(gpointer self, GObject* message) {
  auto* server = static_cast<HttpServer*>(self);
  server->open_requests_.erase(message);
  if (*server->draining_) server->await_idle();
}

void HttpServer::drain(std::function<void()> on_drained) {
  if (*draining_) return;
  *draining_ = true;
  on_drained_ = std::move(on_drained);
  refuse_connections();
  await_idle();
}

void HttpServer::refuse_connections() {
  GSList* listeners = soup_server_get_listeners(server_.get());
  for (const GSList* each = listeners; each != nullptr; each = each->next) {
    const bool refuses = refuse_new_connections(g_socket_get_fd(G_SOCKET(each->data)));
    if (!refuses) LOG(WARNING) << "http event=filter state=REFUSED";
  }
  g_slist_free(listeners);
}

void HttpServer::await_idle() {
  idle_timer_.start_once(kIdleBeforeDrained, [this] {
    if (!open_requests_.empty()) return;  // Called again when the last request has ended.
    const auto drained = std::exchange(on_drained_, nullptr);
    if (drained) drained();  // The callback may destroy this server.
  });
}

}  // namespace pumicemast
