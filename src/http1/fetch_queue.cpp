#include "http1/fetch_queue.h"

namespace pumicemast {

void FetchQueue::add(FetchRequest request, HttpFetcher::Callback callback) {
  calls_.push_back({std::move(request), std::move(callback)});
  if (!fetcher_.busy()) run_next();
}

void FetchQueue::run_next() {
  if (calls_.empty()) return;
  Call call = std::move(calls_.front());
  calls_.pop_front();
  fetcher_.fetch(call.request,
                 [this, callback = std::move(call.callback)](const FetchResult& result) {
                   callback(result);
                   if (!fetcher_.busy()) run_next();
                 });
}

}  // namespace pumicemast
