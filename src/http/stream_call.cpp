#include "http/stream_call.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr std::string_view kScheme = "http://";

struct SplitUrl {
  Address address;
  std::string target;
};

/// Splits `http://IP:PORT/...`, the only form that settings accept. Other forms yield an address
/// that cannot be reached.
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
  if (!request.content_type.empty()) append_field(text, "Content-Type", request.content_type);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    append_field(text, "Content-Length", std::to_string(request.body.size()));
  }
  text += "\r\n";
  text += request.body;
  return text;
}

}  // namespace

std::shared_ptr<StreamCall> StreamCall::start(const HttpRequest& request, Duration idle_timeout,
                                              HttpStreamCallbacks callbacks) {
  const SplitUrl url = split_url(request.url);
  const std::shared_ptr<StreamCall> call(
      new StreamCall(url.address, idle_timeout, std::move(callbacks)));
  call->self_ = call;
  call->restart_idle_timer();
  call->connection_.send_request(encode(request, url), request.method == "HEAD", *call);
  return call;
}

StreamCall::StreamCall(const Address& address, Duration idle_timeout, HttpStreamCallbacks callbacks)
    : callbacks_(std::move(callbacks)),
      idle_timeout_(idle_timeout),
      connection_(address, idle_timeout, *this) {}

void StreamCall::restart_idle_timer() {
  idle_timer_.start_once(idle_timeout_, [this] {
    const bool never_sent = !connection_.connected();
    connection_.abandon();
    fail("timed out", never_sent);
  });
}

void StreamCall::cancel() {
  if (finished_) return;
  finished_ = true;
  connection_.abandon();
  release_self();
}

void StreamCall::release_self() {
  idle_timer_.cancel();
  if (!self_) return;
  // The priority of sockets and timers: a lower one has no turn while sockets are always ready.
  g_idle_add_full(G_PRIORITY_DEFAULT, &StreamCall::drop,
                  new std::shared_ptr<StreamCall>(std::move(self_)), nullptr);
}

gboolean StreamCall::drop(gpointer self) {
  delete static_cast<std::shared_ptr<StreamCall>*>(self);
  return G_SOURCE_REMOVE;
}

bool StreamCall::on_response_head(const ResponseHead& head) {
  restart_idle_timer();
  head_reported_ = true;
  HttpResponse response;
  response.status = static_cast<unsigned>(head.status);
  for (const auto& field : head.fields) {
    std::string name(field.name);
    std::transform(name.begin(), name.end(), name.begin(), g_ascii_tolower);
    response.headers[name] = std::string(field.value);
  }
  if (is_event_stream(field_value(head.fields, "Content-Type"))) events_.emplace();
  callbacks_.on_head(response);
  return true;
}

void StreamCall::on_response_body(std::string_view bytes) {
  if (finished_) return;
  restart_idle_timer();
  if (events_) events_->take_complete_events(bytes);
  callbacks_.on_data(std::string(bytes));
}

void StreamCall::on_response_complete(ResponseEnd response_end) {
  if (events_) events_->end_stream();
  const bool truncated = events_ && is_truncated(*events_, events_->event_count(), response_end);
  end(!truncated);
}

void StreamCall::on_exchange_failed(ExchangeFailure failure) {
  const bool never_sent = failure == ExchangeFailure::not_sent;
  fail(never_sent ? "no connection" : "connection lost", never_sent);
}

void StreamCall::fail(const std::string& reason, bool never_sent) {
  if (!head_reported_ && !finished_) {
    HttpResponse response;
    response.failure = reason;
    response.never_sent = never_sent;
    callbacks_.on_head(response);
  }
  end(false);
}

void StreamCall::end(bool complete) {
  if (finished_) return;
  finished_ = true;
  release_self();
  callbacks_.on_end(complete);
}

}  // namespace pumicemast
