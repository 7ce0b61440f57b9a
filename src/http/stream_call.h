/// One call whose answer is read in pieces, on a connection of its own.
///
/// Not over libsoup: it takes a chunked answer that ends between two chunks for whole, so that
/// the stream of a back end that died would look complete (tests/http/http_client_test.cpp).
#pragma once

#include <memory>
#include <string>

#include "common/event_loop.h"
#include "http/http_client.h"
#include "http1/client_connection.h"

namespace pumicemast {

class StreamCall : public ClientConnection::Owner, public ExchangeObserver {
 public:
  /// Begins the call. It lives until its end or its cancellation, whoever keeps it.
  static std::shared_ptr<StreamCall> start(const HttpRequest& request, Duration silence_limit,
                                           HttpStreamCallbacks callbacks);

  /// Ends the connection; no callback runs any more.
  void cancel();

 private:
  StreamCall(const Address& address, Duration silence_limit, HttpStreamCallbacks callbacks);

  void on_idle_connection_ended(ClientConnection&) override {}
  bool on_response_head(const ResponseHead& head) override;
  void on_response_body(std::string_view bytes) override;
  void on_response_complete() override;
  void on_exchange_failed(ExchangeFailure failure) override;

  void await_progress();
  void fail(const std::string& reason, bool never_sent);
  void end(bool whole);
  /// Gives the call's own hold on itself up after this turn of the loop.
  void release();
  static gboolean drop(gpointer self);

  std::shared_ptr<StreamCall> self_;
  HttpStreamCallbacks callbacks_;
  Duration silence_limit_;
  Timer silence_;
  bool head_told_ = false;
  bool over_ = false;
  ClientConnection connection_;
};

}  // namespace pumicemast
