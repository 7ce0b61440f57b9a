#include "http/http_client.h"

#include <algorithm>

#include "http/stream_call.h"
#include "http1/message_validity.h"

namespace pumicemast {

void HttpCall::cancel() {
  g_cancellable_cancel(cancellable_.get());
  if (stream_) stream_->cancel();
  stream_.reset();
}

namespace {

constexpr int kConnectionsPerHost = 512;

GObjectPointer<SoupMessage> build_message(const HttpRequest& request) {
  auto message = GObjectPointer<SoupMessage>::adopt(
      soup_message_new(request.method.c_str(), request.url.c_str()));
  if (!message) return message;
  if (request.send_once) soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
  SoupMessageHeaders* headers = soup_message_get_request_headers(message.get());
  for (const auto& [name, value] : request.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  if (!request.content_type.empty()) {
    GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(message.get(), request.content_type.c_str(), bytes);
    g_bytes_unref(bytes);
  }
  return message;
}

HttpResponse response_head(SoupMessage* message) {
  HttpResponse response;
  response.status = soup_message_get_status(message);
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, soup_message_get_response_headers(message));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(), g_ascii_tolower);
    response.headers[lower] = value;
  }
  return response;
}

/// @return why the response is not valid HTTP, or empty. libsoup accepts more than HTTP defines.
std::string find_invalid(const HttpResponse& response) {
  if (!is_valid_status(static_cast<int>(response.status))) {
    return "status " + std::to_string(response.status) + " is not valid";
  }
  const auto coding = response.headers.find("transfer-encoding");
  if (coding != response.headers.end() && !is_known_transfer_coding(coding->second)) {
    return "transfer coding \"" + coding->second + "\" is not known";
  }
  return {};
}

HttpResponse failed_response(GError* error) {
  HttpResponse response;
  response.failure = error->message;
  response.never_sent = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != 0 ||
                        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) != 0 ||
                        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) != 0;
  g_error_free(error);
  return response;
}

/// State of one fetch() call.
struct FetchOperation {
  GObjectPointer<GCancellable> cancellable;
  GObjectPointer<SoupMessage> message;
  std::function<void(const HttpResponse&)> on_done;

  static void finish(GObject* source, GAsyncResult* result, gpointer data) {
    std::unique_ptr<FetchOperation> self(static_cast<FetchOperation*>(data));
    GError* error = nullptr;
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
    const bool cancelled = g_cancellable_is_cancelled(self->cancellable.get()) != FALSE;
    if (error != nullptr) {
      const HttpResponse response = failed_response(error);
      if (!cancelled) self->on_done(response);
      return;
    }
    HttpResponse response = response_head(self->message.get());
    const std::string invalid = find_invalid(response);
    gsize size = 0;
    const auto* data_bytes = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    if (size > 0) response.body.assign(data_bytes, size);
    g_bytes_unref(bytes);
    if (!invalid.empty()) {
      response = {};
      response.failure = invalid;
    }
    if (!cancelled) self->on_done(response);
  }
};

}  // namespace

HttpClient::HttpClient(Duration timeout)
    : timeout_(timeout),
      session_(GObjectPointer<SoupSession>::adopt(soup_session_new_with_options(
          "max-conns", kConnectionsPerHost, "max-conns-per-host", kConnectionsPerHost, "timeout",
          static_cast<guint>(std::max<std::int64_t>(1, to_milliseconds(timeout) / 1000)),
          nullptr))) {}

HttpCallPointer HttpClient::fetch(const HttpRequest& request,
                                  std::function<void(const HttpResponse&)> on_done) {
  auto call = std::make_shared<HttpCall>();
  auto* operation =
      new FetchOperation{call->shared_cancellable(), build_message(request), std::move(on_done)};
  soup_session_send_and_read_async(session_.get(), operation->message.get(), G_PRIORITY_DEFAULT,
                                   call->cancellable(), &FetchOperation::finish, operation);
  return call;
}

HttpCallPointer HttpClient::stream(const HttpRequest& request, HttpStreamCallbacks callbacks) {
  auto call = std::make_shared<HttpCall>();
  // The call may end, and release its reference to itself, before start() returns.
  call->set_stream(StreamCall::start(request, timeout_, std::move(callbacks)));
  return call;
}

void HttpClient::fetch_owned(const HttpRequest& request,
                             std::function<void(const HttpResponse&)> on_done) {
  const std::uint64_t id = next_call_++;
  owned_calls_[id] = fetch(request, [this, id, on_done](const HttpResponse& response) {
    const auto done = on_done;  // Erasing the call may destroy this closure.
    owned_calls_.erase(id);
    done(response);
  });
}

}  // namespace pumicemast
