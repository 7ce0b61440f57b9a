/// Fetches complete responses from one address, one at a time, over a persistent connection.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "common/event_loop.h"
#include "http1/client_connection.h"
#include "http1/deferred_deleter.h"
#include "http1/http_message.h"

namespace pumicemast {

struct FetchRequest {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  Duration timeout = seconds(1);
  /// Longest time without received bytes once a response has begun; it then replaces `timeout`, so
  /// that the response may take as long as it needs. A long response over a saturated link that
  /// were aborted by a total timeout and requested again would never complete. Zero applies
  /// `timeout` to the complete response.
  Duration idle_timeout = Duration::zero();
  /// The request fails if the response body is longer.
  std::size_t maximum_body_bytes = 16U << 20U;
  /// Keeps the connection open when no request follows at once. Turned off for servers that allow
  /// few connections: those left open by machines that lost power would use them up.
  bool keep_connection = true;
};

struct FetchResult {
  int status = 0;     ///< 0: no complete response; the request may have been executed.
  HttpFields fields;  ///< Of the response's head.
  std::string body;
  bool timed_out = false;  ///< The timeout passed; the connection may have been lost long before.
  bool answered() const { return status != 0; }
};

class HttpFetcher : public ClientConnection::Owner, public ExchangeObserver {
 public:
  using Callback = std::function<void(const FetchResult&)>;

  explicit HttpFetcher(Address address) : address_(std::move(address)) {}
  ~HttpFetcher() override;

  /// Begins a request, cancelling one in progress without calling its callback.
  void fetch(const FetchRequest& request, Callback callback);
  void cancel();
  bool busy() const { return callback_ != nullptr; }
  const Address& address() const { return address_; }
  void set_address(const Address& address);

 private:
  void on_idle_connection_ended(ClientConnection& connection) override;
  bool on_response_head(const ResponseHead& head) override;
  void on_response_body(std::string_view bytes) override;
  void on_response_complete(ResponseEnd end) override;
  void on_exchange_failed(ExchangeFailure failure) override;
  void drop_connection();
  void start_timeout(Duration duration);
  void on_progress();
  void finish(FetchResult result);

  Address address_;
  std::unique_ptr<ClientConnection> connection_;
  Callback callback_;
  bool keep_connection_ = true;
  Duration idle_timeout_ = Duration::zero();
  std::size_t maximum_body_bytes_ = 0;
  FetchResult result_;
  Timer timeout_;
  DeferredDeleter deleter_;
};

}  // namespace pumicemast
