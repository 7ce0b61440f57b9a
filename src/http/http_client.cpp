#include "http/http_client.h"

#include "http/stream_call.h"

namespace pumicemast {

void HttpCall::cancel() {
  if (stream_) stream_->cancel();
  stream_.reset();
}

HttpCallPointer HttpClient::fetch(const HttpRequest& request,
                                  std::function<void(const HttpResponse&)> on_done) {
  const auto response = std::make_shared<HttpResponse>();
  HttpStreamCallbacks callbacks;
  callbacks.on_head = [response](const HttpResponse& head) { *response = head; };
  callbacks.on_data = [response](const std::string& bytes) { response->body += bytes; };
  callbacks.on_end = [response, on_done = std::move(on_done)](bool complete) {
    if (!complete && response->status != 0) {
      *response = {};
      response->failure = "the response is incomplete";
    }
    on_done(*response);
  };
  return stream(request, std::move(callbacks));
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
  owned_calls_[id] = nullptr;
  HttpCallPointer call = fetch(request, [this, id, on_done](const HttpResponse& response) {
    const auto done = on_done;  // Erasing the call may destroy this closure.
    owned_calls_.erase(id);
    done(response);
  });
  const auto owned = owned_calls_.find(id);
  if (owned != owned_calls_.end()) owned->second = std::move(call);
}

}  // namespace pumicemast
