/// Fetches whole answers from one address, one at a time, over a kept connection.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "common/event_loop.h"
#include "http1/client_connection.h"
#include "http1/deferred_deleter.h"

namespace pumicemast {

struct FetchRequest {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::string content_type = "application/json";
  Duration timeout = seconds(1);
  /// Once an answer has begun, it may be silent for so long instead, and take as long as it needs:
  /// a long one over a full link, given up by the clock and asked for anew, would never be whole.
  /// Zero: `timeout` holds for the whole answer.
  Duration idle_timeout = Duration::zero();
  /// A longer answer is given up.
  std::size_t maximum_body_bytes = 16U << 20U;
  /// Leave the connection open when no request follows at once. Where connections are few, those
  /// that machines without power leave behind would shut others out.
  bool keep_connection = true;
};

struct FetchResult {
  int status = 0;  ///< 0: no whole answer; the request may have been carried out.
  std::string body;
  bool timed_out = false;  ///< Its time ended; the connection may have been lost long before.
  bool answered() const { return status != 0; }
};

class HttpFetcher : public ClientConnection::Owner, public ExchangeObserver {
 public:
  using Callback = std::function<void(const FetchResult&)>;

  explicit HttpFetcher(Address address) : address_(std::move(address)) {}
  ~HttpFetcher() override;

  /// Begins a request; one still in progress is given up without a call back.
  void fetch(const FetchRequest& request, Callback callback);
  void cancel();
  bool busy() const { return callback_ != nullptr; }
  const Address& address() const { return address_; }
  void set_address(const Address& address);

 private:
  void on_idle_connection_ended(ClientConnection& connection) override;
  bool on_response_head(const ResponseHead& head) override;
  void on_response_body(std::string_view bytes) override;
  void on_response_complete() override;
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
