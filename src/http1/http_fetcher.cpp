#include "http1/http_fetcher.h"

#include "transport/tcp_keepalive.h"

namespace pumicemast {
namespace {

std::string encode(const FetchRequest& request, const Address& address) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  append_field(text, "Host", address.to_string());
  if (!request.body.empty()) append_field(text, "Content-Type", request.content_type);
  if (!request.body.empty() || request.method != "GET") {
    append_field(text, "Content-Length", std::to_string(request.body.size()));
  }
  text += "\r\n";
  text += request.body;
  return text;
}

}  // namespace

HttpFetcher::~HttpFetcher() { cancel(); }

void HttpFetcher::set_address(const Address& address) {
  if (address == address_) return;
  cancel();
  drop_connection();
  address_ = address;
}

void HttpFetcher::drop_connection() {
  if (!connection_) return;
  connection_->abandon();
  deleter_.defer(std::move(connection_));
}

void HttpFetcher::cancel() {
  if (!callback_) return;
  callback_ = nullptr;
  timeout_.cancel();
  drop_connection();
}

void HttpFetcher::fetch(const FetchRequest& request, Callback callback) {
  cancel();
  callback_ = std::move(callback);
  keep_connection_ = request.keep_connection;
  idle_timeout_ = request.idle_timeout;
  maximum_body_bytes_ = request.maximum_body_bytes;
  result_ = {};
  if (connection_ && !connection_->reusable()) drop_connection();
  if (!connection_) {
    connection_ = std::make_unique<ClientConnection>(address_, kFastUserTimeout, *this);
  }
  start_timeout(request.timeout);
  connection_->send_request(encode(request, address_), request.method == "HEAD", *this);
}

void HttpFetcher::start_timeout(Duration duration) {
  timeout_.start_once(duration, [this] {
    drop_connection();
    FetchResult result;
    result.timed_out = true;
    finish(std::move(result));
  });
}

void HttpFetcher::on_progress() {
  if (idle_timeout_ > Duration::zero()) start_timeout(idle_timeout_);
}

void HttpFetcher::on_idle_connection_ended(ClientConnection&) { drop_connection(); }

bool HttpFetcher::on_response_head(const ResponseHead& head) {
  result_.status = head.status;
  result_.fields = head.fields;
  on_progress();
  return true;
}

void HttpFetcher::on_response_body(std::string_view bytes) {
  result_.body.append(bytes);
  if (result_.body.size() <= maximum_body_bytes_) {
    on_progress();
    return;
  }
  drop_connection();
  finish({});
}

void HttpFetcher::on_response_complete(ResponseEnd) { finish(std::move(result_)); }

void HttpFetcher::on_exchange_failed(ExchangeFailure) {
  drop_connection();
  finish({});
}

void HttpFetcher::finish(FetchResult result) {
  timeout_.cancel();
  if (!callback_) return;
  const Callback callback = std::move(callback_);
  callback_ = nullptr;
  callback(result);  // The callback may begin the next request.
  if (!callback_ && !keep_connection_) drop_connection();
}

}  // namespace pumicemast
