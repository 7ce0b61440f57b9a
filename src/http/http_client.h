/// HTTP client calls on the loop: whole answers over libsoup, streamed ones over http1.
#pragma once

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/gobject_pointer.h"
#include "common/time.h"

namespace pumicemast {

class StreamCall;

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string content_type;
  std::string body;
  /// Never sent twice. libsoup resends a request with an idempotent method, such as PUT, when
  /// a kept-alive connection breaks before the answer; what may not be repeated, or whose
  /// second try would look like another's change, must not go over such a connection.
  bool send_once = false;
};

/// What became of a request.
struct HttpResponse {
  /// HTTP status; 0 when no answer arrived, so that the request may or may not have run.
  unsigned status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string failure;  ///< Why no answer arrived.
  /// No connection could be made: the request cannot have run.
  bool never_sent = false;
};

/// Cancels a call in progress when the last pointer to it goes; its callbacks then do not
/// run.
class HttpCall {
 public:
  HttpCall() : cancellable_(GObjectPointer<GCancellable>::adopt(g_cancellable_new())) {}
  ~HttpCall() { cancel(); }
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;
  void cancel();
  GCancellable* cancellable() const { return cancellable_.get(); }
  GObjectPointer<GCancellable> shared_cancellable() const { return cancellable_; }
  void set_stream(std::shared_ptr<StreamCall> stream) { stream_ = std::move(stream); }

 private:
  GObjectPointer<GCancellable> cancellable_;
  std::shared_ptr<StreamCall> stream_;  ///< Null for a whole-answer call.
};

using HttpCallPointer = std::shared_ptr<HttpCall>;

/// Callbacks of a streamed answer. `on_end(false)` means the answer was cut off.
struct HttpStreamCallbacks {
  std::function<void(const HttpResponse& head)> on_head;
  std::function<void(const std::string& bytes)> on_data;
  std::function<void(bool complete)> on_end;
};

class HttpClient {
 public:
  /// @param timeout  longest silence on a connection before the call fails.
  explicit HttpClient(Duration timeout);

  /// Whole answer. Keep the returned call until the callback has run.
  HttpCallPointer fetch(const HttpRequest& request,
                        std::function<void(const HttpResponse&)> on_done);
  /// Answer in pieces as they arrive, on a connection of its own, never sent twice. A call that got
  /// no answer ends with an on_head whose status is 0 and then on_end(false).
  HttpCallPointer stream(const HttpRequest& request, HttpStreamCallbacks callbacks);
  /// Whole answer of a call that lives until it is answered or this client is destroyed.
  void fetch_owned(const HttpRequest& request, std::function<void(const HttpResponse&)> on_done);

 private:
  Duration timeout_;
  GObjectPointer<SoupSession> session_;
  std::map<std::uint64_t, HttpCallPointer> owned_calls_;
  std::uint64_t next_call_ = 0;
};

}  // namespace pumicemast
