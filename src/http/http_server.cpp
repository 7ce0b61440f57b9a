#include "http/http_server.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "common/log.h"

namespace pumicemast {
namespace {

/// A draining server waits for this time after the last request, so that handshakes can complete
/// and requests in transit can arrive.
constexpr Duration kIdleBeforeDrained = milliseconds(300);
constexpr Duration kDrainCheckInterval = milliseconds(50);
constexpr Duration kSweepInterval = milliseconds(250);
constexpr Duration kIdleTimeout = seconds(120);
/// Time for a whole request, with its body.
constexpr Duration kIncompleteTimeout = seconds(60);
/// Fraction of the connections that are closed at a time when the limit is reached.
constexpr std::size_t kEvictedFraction = 16;
constexpr int kStatusUnavailable = 503;

struct SplitTarget {
  std::string_view path;
  std::string_view query;
};

/// Splits the target of a request, which proxies send with scheme and authority.
SplitTarget split_target(std::string_view target) {
  constexpr std::string_view kAuthority = "://";
  const std::size_t authority =
      target.starts_with('/') ? std::string_view::npos : target.find(kAuthority);
  if (authority != std::string_view::npos) {
    const std::size_t end = target.find_first_of("/?", authority + kAuthority.size());
    target.remove_prefix(std::min(end, target.size()));
  }
  const std::size_t question = std::min(target.find('?'), target.size());
  SplitTarget result{target.substr(0, question), target.substr(question)};
  if (result.path.empty()) result.path = "/";
  if (!result.query.empty()) result.query.remove_prefix(1);
  return result;
}

std::string response_fields(const std::string& content_type, const HttpHeaders& headers) {
  std::string fields;
  append_field(fields, "Content-Type", content_type);
  for (const auto& [name, value] : headers) append_field(fields, name, value);
  return fields;
}

std::string retry_after_field() {
  std::string fields;
  append_field(fields, "Retry-After", "1");
  return fields;
}

}  // namespace

HttpExchange::HttpExchange(CallerConnection& connection, ReceivedRequest request)
    : connection_(&connection), request_(std::move(request)) {}

HttpExchange::~HttpExchange() { abort(); }

std::string HttpExchange::path() const {
  return std::string(split_target(request_.head.target).path);
}

std::string HttpExchange::query(const std::string& name) const {
  const std::string_view text = split_target(request_.head.target).query;
  GHashTable* table = g_uri_parse_params(text.data(), static_cast<gssize>(text.size()), "&",
                                         G_URI_PARAMS_WWW_FORM, nullptr);
  if (table == nullptr) return {};
  const auto* value = static_cast<const char*>(g_hash_table_lookup(table, name.c_str()));
  std::string found = value == nullptr ? "" : value;
  g_hash_table_unref(table);
  return found;
}

std::string HttpExchange::header(const std::string& name) const {
  return std::string(field_value(request_.head.fields, name));
}

std::size_t HttpExchange::request_bytes() const {
  return request_.head.allocated_bytes() + request_.body.capacity();
}

CallerConnection* HttpExchange::release_connection() {
  on_disconnect_ = nullptr;
  return std::exchange(connection_, nullptr);
}

void HttpExchange::disconnect() {
  if (connection_ == nullptr) return;
  const auto callback = std::exchange(on_disconnect_, nullptr);
  connection_ = nullptr;
  if (callback) callback();
}

void HttpExchange::respond(unsigned status, const std::string& content_type,
                           const std::string& body, const HttpHeaders& headers) {
  if (!connected()) return;
  release_connection()->respond(static_cast<int>(status), response_fields(content_type, headers),
                                body);
}

void HttpExchange::start_stream(unsigned status, const std::string& content_type,
                                const HttpHeaders& headers) {
  if (!connected()) return;
  const int code = static_cast<int>(status);
  connection_->begin_response(code, reason_phrase(code), response_fields(content_type, headers),
                              ResponseFraming::chunked);
  connection_->flush();
}

void HttpExchange::write(const std::string& bytes) {
  if (!connected()) return;
  connection_->write_body(bytes);
  connection_->flush();
}

void HttpExchange::finish() {
  if (connected()) release_connection()->end_response();
}

void HttpExchange::abort() {
  if (connected()) release_connection()->abort_response();
}

HttpServer::HttpServer(Handler handler, HttpServerLimits limits)
    : handler_(std::move(handler)), limits_(limits), budget_(limits.held_bytes) {
  sweep_timer_.start_repeating(kSweepInterval, [this] { sweep(); });
}

HttpServer::~HttpServer() {
  for (const auto& [connection, exchange] : exchanges_) {
    if (const auto open = exchange.lock()) open->detach();
  }
}

leaf::result<std::unique_ptr<HttpServer>> HttpServer::listen(const Address& address,
                                                             Handler handler,
                                                             HttpServerLimits limits) {
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler), limits));
  server->listener_ = TcpListener::listen(address, *server);
  if (!server->listener_) {
    return leaf::new_error(
        Error{ErrorCode::unavailable, address.to_string(), "the address cannot be bound"});
  }
  return server;
}

bool HttpServer::ready_to_accept() {
  if (connections_.size() >= limits_.connections) {
    evict(connections_, limits_.connections / kEvictedFraction + 1, loop_now());
  }
  return connections_.size() < limits_.connections;
}

void HttpServer::on_accepted(int descriptor) {
  last_activity_ = loop_now();
  auto connection = std::make_unique<CallerConnection>(descriptor, limits_.request, *this);
  const CallerConnection* key = connection.get();
  connection->caller_number = next_caller_++;
  connections_by_number_[connection->caller_number] = connection.get();
  connections_[key] = std::move(connection);
}

bool HttpServer::admits_body(CallerConnection&, std::size_t bytes) {
  return budget_.admits_body(bytes);
}

void HttpServer::on_caller_request(CallerConnection& connection, ReceivedRequest request) {
  last_activity_ = loop_now();
  // Not before its next request: the caller of an idle connection may be about to send one.
  if (draining_) connection.set_closing();
  const std::size_t bytes = request.head.allocated_bytes() + request.body.size();
  if (request.body_refused || !budget_.admits_request(bytes)) {
    connection.respond(kStatusUnavailable, retry_after_field(), {});
    account_memory(connection);
    return;
  }
  auto exchange = std::make_shared<HttpExchange>(connection, std::move(request));
  exchanges_[&connection] = exchange;
  account_memory(connection);
  handler_(std::move(exchange));
}

void HttpServer::on_caller_disconnected(CallerConnection& connection) {
  if (const auto exchange = find_exchange(connection)) exchange->disconnect();
}

void HttpServer::on_caller_connection_closed(CallerConnection& connection) {
  if (const auto exchange = find_exchange(connection)) exchange->disconnect();
  exchanges_.erase(&connection);
  budget_.remove(connection.caller_number);
  connections_by_number_.erase(connection.caller_number);
  auto node = connections_.extract(&connection);
  if (!node.empty()) deleter_.defer(std::move(node.mapped()));
}

HttpExchangePointer HttpServer::find_exchange(const CallerConnection& connection) const {
  const auto found = exchanges_.find(&connection);
  return found == exchanges_.end() ? nullptr : found->second.lock();
}

void HttpServer::on_caller_progress(CallerConnection& connection) {
  account_memory(connection);
  drop_unadmitted_input();
}

void HttpServer::account_memory(CallerConnection& connection) {
  if (!connection.is_open()) return;
  CallerMemory memory = connection.measure_memory();
  if (const auto exchange = find_exchange(connection)) {
    memory.held.request_head += exchange->request_bytes();
  }
  budget_.update(connection.caller_number, memory, loop_now());
}

void HttpServer::drop_unadmitted_input() {
  // Refusing a request reports progress of its connection.
  if (dropping_input_) return;
  dropping_input_ = true;
  while (const auto caller = budget_.next_to_drop_input()) {
    CallerConnection& connection = *connections_by_number_.at(*caller);
    connection.drop_unadmitted_input(kStatusUnavailable, retry_after_field());
    account_memory(connection);
    // Input that arrived meanwhile and could not be dropped would be selected again and again.
    if (budget_.next_to_drop_input() == caller) cut_off(connection);
  }
  dropping_input_ = false;
}

void HttpServer::cut_off(CallerConnection& connection) {
  if (const auto exchange = find_exchange(connection)) exchange->disconnect();
  connection.abort_response();
  // It stays open while earlier responses are not delivered.
  account_memory(connection);
}

void HttpServer::sweep() {
  const TimePoint now = loop_now();
  std::vector<CallerConnection*> open;
  for (const auto& [key, connection] : connections_) open.push_back(connection.get());
  for (CallerConnection* connection : open) {
    connection->expire(now, kIdleTimeout, kIncompleteTimeout);
    account_memory(*connection);
  }
  drop_unadmitted_input();
  while (const auto slowest = budget_.next_to_cut_off(now)) {
    cut_off(*connections_by_number_.at(*slowest));
  }
}

void HttpServer::drain(std::function<void()> on_drained) {
  if (draining_) return;
  draining_ = true;
  on_drained_ = std::move(on_drained);
  last_activity_ = loop_now();
  if (!listener_->refuse_new()) LOG(WARNING) << "http event=filter state=REFUSED";
  for (const auto& [key, connection] : connections_) {
    if (connection->handling()) connection->set_closing();
  }
  check_drained();
}

bool HttpServer::has_work() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
    const CallerConnection& connection = *entry.second;
    return connection.handling() || connection.has_unfinished_request() ||
           connection.has_pipelined() || connection.has_unread_input() ||
           connection.is_delivering();
  });
}

void HttpServer::check_drained() {
  const TimePoint now = loop_now();
  if (has_work()) last_activity_ = now;
  if (now - last_activity_ < kIdleBeforeDrained) {
    drain_timer_.start_once(kDrainCheckInterval, [this] { check_drained(); });
    return;
  }
  const auto drained = std::exchange(on_drained_, nullptr);
  if (drained) drained();  // The callback may destroy this server.
}

}  // namespace pumicemast
