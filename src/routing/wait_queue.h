/// Queue of requests that wait for capacity, ordered by priority, then fairly between tenants.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace pumicemast {

/// Start-time fair queueing within each priority: the n-th waiting requests of all tenants come
/// before any tenant's next one, however many requests a tenant has queued.
class WaitQueue {
 public:
  void push(std::uint64_t request, const std::string& tenant, int priority) {
    double& last = last_tag_[tenant];
    last = std::max(virtual_time_, last) + 1;
    const Key key{-priority, last, ++sequence_};
    by_order_[key] = request;
    by_request_[request] = key;
  }
  /// Removes `request` if it is queued. `dispatched` advances the virtual time.
  void remove(std::uint64_t request, bool dispatched) {
    const auto found = by_request_.find(request);
    if (found == by_request_.end()) return;
    if (dispatched) virtual_time_ = std::max(virtual_time_, std::get<1>(found->second) - 1);
    by_order_.erase(found->second);
    by_request_.erase(found);
    if (by_order_.empty()) last_tag_.clear();
  }
  bool contains(std::uint64_t request) const { return by_request_.contains(request); }
  std::size_t size() const { return by_order_.size(); }
  /// Returns the requests in dispatch order.
  std::vector<std::uint64_t> in_order() const {
    std::vector<std::uint64_t> requests;
    requests.reserve(by_order_.size());
    for (const auto& [key, request] : by_order_) requests.push_back(request);
    return requests;
  }

 private:
  using Key = std::tuple<int, double, std::uint64_t>;
  std::map<Key, std::uint64_t> by_order_;
  std::map<std::uint64_t, Key> by_request_;
  std::map<std::string, double> last_tag_;
  double virtual_time_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace pumicemast
