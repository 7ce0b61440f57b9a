/// Queues HTTP requests and sends them one after the other over one connection.
#pragma once

#include <deque>

#include "http1/http_fetcher.h"

namespace pumicemast {

class FetchQueue {
 public:
  explicit FetchQueue(const Address& address) : fetcher_(address) {}
  /// Starts the request once all earlier ones have ended; its timeout counts from its start.
  void add(FetchRequest request, HttpFetcher::Callback callback);

 private:
  struct Call {
    FetchRequest request;
    HttpFetcher::Callback callback;
  };
  void run_next();

  HttpFetcher fetcher_;
  std::deque<Call> calls_;
};

}  // namespace pumicemast
