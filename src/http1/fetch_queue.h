/// Fetches over one connection: calls follow one another, and each is answered.
#pragma once

#include <deque>

#include "http1/http_fetcher.h"

namespace pumicemast {

class FetchQueue {
 public:
  explicit FetchQueue(const Address& address) : fetcher_(address) {}
  /// The call begins once all before it have ended; its timeout counts from then on.
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
