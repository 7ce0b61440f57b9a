#include "http/stream_call.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr std::string_view kScheme = "http://";

struct SplitUrl {
  Address address;
  std::string target;
};

/// Splits `http://IP:PORT/...`, the only form that settings accept; an address that cannot be
/// reached stands for any other.
SplitUrl split_url(const std::string& url) {
  std::string_view rest(url);
  if (rest.starts_with(kScheme)) rest.remove_prefix(kScheme.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  SplitUrl result;
  result.address = parse_address(std::string(rest.substr(0, slash))).value_or(Address{});
  result.target = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
  return result;
}

std::string encode(const HttpRequest& request, const SplitUrl& url) {
  std::string text = request.method + " " + url.target + " HTTP/1.1\r\n";
  append_field(text, "Host", url.address.to_string());
  append_field(text, "Connection", "close");
  for (const auto& [name, value] : request.headers) append_field(text, name, value);
  if (!request.content_type.empty()) {
    append_field(text, "Content-Type", request.content_type);
    append_field(text, "Content-Length", std::to_string(request.body.size()));
  }
  text += "\r\n";
  text += request.content_type.empty() ? "" : request.body;
  return text;
}

}  // namespace

std::shared_ptr<StreamCall> StreamCall::start(const HttpRequest& request, Duration silence_limit,
                                              HttpStreamCallbacks callbacks) {
  const SplitUrl url = split_url(request.url);
  const std::shared_ptr<StreamCall> call(
      new StreamCall(url.address, silence_limit, std::move(callbacks)));
  call->self_ = call;
  call->await_progress();
  call->connection_.send_request(encode(request, url), request.method == "HEAD", *call);
  return call;
}

StreamCall::StreamCall(const Address& address, Duration silence_limit,
                       HttpStreamCallbacks callbacks)
    : callbacks_(std::move(callbacks)),
      silence_limit_(silence_limit),
      connection_(address, silence_limit, *this) {}

void StreamCall::await_progress() {
  silence_.start_once(silence_limit_, [this] {
    const bool never_sent = !connection_.connected();
    connection_.abandon();
    fail("timed out", never_sent);
  });
}

void StreamCall::cancel() {
  if (over_) return;
  over_ = true;
  connection_.abandon();
  release();
}

void StreamCall::release() {
  silence_.cancel();
  if (self_) g_idle_add(&StreamCall::drop, new std::shared_ptr<StreamCall>(std::move(self_)));
}

gboolean StreamCall::drop(gpointer self) {
  delete static_cast<std::shared_ptr<StreamCall>*>(self);
  return G_SOURCE_REMOVE;
}

bool StreamCall::on_response_head(const ResponseHead& head) {
  await_progress();
  head_told_ = true;
  HttpResponse response;
  response.status = head.result_int();
  for (const auto& field : head) {
    std::string name(to_view(field.name_string()));
    std::transform(name.begin(), name.end(), name.begin(), g_ascii_tolower);
    response.headers[name] = std::string(to_view(field.value()));
  }
  callbacks_.on_head(response);
  return true;
}

void StreamCall::on_response_body(std::string_view bytes) {
  if (over_) return;
  await_progress();
  callbacks_.on_data(std::string(bytes));
}

void StreamCall::on_response_complete() { end(true); }

void StreamCall::on_exchange_failed(ExchangeFailure failure) {
  const bool never_sent = failure == ExchangeFailure::not_sent;
  fail(never_sent ? "no connection" : "the connection broke", never_sent);
}

void StreamCall::fail(const std::string& reason, bool never_sent) {
  if (!head_told_ && !over_) {
    HttpResponse response;
    response.failure = reason;
    response.never_sent = never_sent;
    callbacks_.on_head(response);
  }
  end(false);
}

void StreamCall::end(bool whole) {
  if (over_) return;
  over_ = true;
  release();
  callbacks_.on_end(whole);
}

}  // namespace pumicemast
