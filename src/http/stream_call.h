/// One call on its own connection whose response is delivered in pieces.
///
/// A chunked response that ends between two chunks is incomplete: the stream of a crashed back end
/// must not look complete (tests/http/http_client_test.cpp).
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/event_loop.h"
#include "http/http_client.h"
#include "http1/client_connection.h"
#include "http1/event_splitter.h"

namespace pumicemast {

class StreamCall : public ClientConnection::Owner, public ExchangeObserver {
 public:
  /// Begins the call. It keeps itself alive until it ends or is cancelled.
  static std::shared_ptr<StreamCall> start(const HttpRequest& request, Duration idle_timeout,
                                           HttpStreamCallbacks callbacks);

  /// Resets the connection; no callback runs after that.
  void cancel();

 private:
  StreamCall(const Address& address, Duration idle_timeout, HttpStreamCallbacks callbacks);

  void on_idle_connection_ended(ClientConnection&) override {}
  bool on_response_head(const ResponseHead& head) override;
  void on_response_body(std::string_view bytes) override;
  void on_response_complete(ResponseEnd end) override;
  void on_exchange_failed(ExchangeFailure failure) override;

  void restart_idle_timer();
  void fail(const std::string& reason, bool never_sent);
  void end(bool complete);
  /// Releases the call's reference to itself after this loop iteration.
  void release_self();
  static gboolean drop(gpointer self);

  std::shared_ptr<StreamCall> self_;
  HttpStreamCallbacks callbacks_;
  Duration idle_timeout_;
  Timer idle_timer_;
  std::optional<EventSplitter> events_;  ///< Of an event stream.
  bool head_reported_ = false;
  bool finished_ = false;
  ClientConnection connection_;
};

}  // namespace pumicemast
