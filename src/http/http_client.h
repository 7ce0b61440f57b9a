/// HTTP client on the main loop, over the connections and readers of http1.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/time.h"

namespace pumicemast {

class StreamCall;

/// A request. It has its own connection and is never resent.
struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string content_type;
  std::string body;
};

/// Outcome of a request.
struct HttpResponse {
  /// HTTP status; 0 if no response arrived, so that the request may or may not have been executed.
  unsigned status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string failure;  ///< Why no response arrived.
  /// No connection could be established: the request cannot have been executed.
  bool never_sent = false;
};

/// Handle of a call. The call is cancelled when its last handle is destroyed; no callback runs
/// after that.
class HttpCall {
 public:
  HttpCall() = default;
  ~HttpCall() { cancel(); }
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  void cancel();
  void set_stream(std::shared_ptr<StreamCall> stream) { stream_ = std::move(stream); }

 private:
  std::shared_ptr<StreamCall> stream_;
};

using HttpCallPointer = std::shared_ptr<HttpCall>;

/// Callbacks of a streamed response. `on_end(false)` means that the response is incomplete.
struct HttpStreamCallbacks {
  std::function<void(const HttpResponse& head)> on_head;
  std::function<void(const std::string& bytes)> on_data;
  std::function<void(bool complete)> on_end;
};

class HttpClient {
 public:
  /// @param timeout  a call fails when nothing is received on its connection for this time.
  explicit HttpClient(Duration timeout) : timeout_(timeout) {}

  /// Fetches a complete response; one that is cut off or not valid HTTP counts as none. Keep the
  /// returned call until the callback has run, which may be before fetch() returns.
  HttpCallPointer fetch(const HttpRequest& request,
                        std::function<void(const HttpResponse&)> on_done);
  /// Delivers the response in pieces as they arrive. A call without response ends with an on_head
  /// whose status is 0, then on_end(false).
  HttpCallPointer stream(const HttpRequest& request, HttpStreamCallbacks callbacks);
  /// Like fetch(), but this client keeps the call until it ends or the client is destroyed.
  void fetch_owned(const HttpRequest& request, std::function<void(const HttpResponse&)> on_done);

 private:
  Duration timeout_;
  std::map<std::uint64_t, HttpCallPointer> owned_calls_;
  std::uint64_t next_call_ = 0;
};

}  // namespace pumicemast
