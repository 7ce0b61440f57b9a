/// Simulates gateways that share the retry budget of one service, on virtual time: requests,
/// failures, restarts of gateways, agents that report how many gateways they know, and isolated
/// zones.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/requests/retry_budgets.h"
#include "gateway/requests/retry_share.h"

namespace pumicemast::tests {

/// The window of 10 s with the most retries relative to the allowed number.
struct RetryWindow {
  double ends_s = 0;
  int retries = 0;
  int requests = 0;
  double allowed = 0;

  bool within() const { return retries <= allowed; }
  std::string to_string() const {
    return std::to_string(retries) + " retries in the 10 s to " + std::to_string(ends_s) +
           " s, for " + std::to_string(requests) + " requests; allowed " + std::to_string(allowed);
  }
};

class RetryFleet {
 public:
  static constexpr double kRatio = 0.2;
  static constexpr double kEarnedRatio = 0.18;  ///< Earned by each gateway, as in production.
  static constexpr double kExtra = 232;
  static constexpr Duration kStep = milliseconds(50);
  static constexpr int kStepsPerWindow = 200;  ///< 10 s.
  static constexpr int kStepsPerSweep = 10;    ///< 500 ms.

  /// @param per_zone  number of gateways in each zone.
  RetryFleet(std::uint32_t seed, const std::vector<int>& per_zone) : random_(seed) {
    zones_ = per_zone.size();
    for (std::size_t zone = 0; zone < zones_; ++zone) add(zone, per_zone[zone]);
  }

  void add(std::size_t zone, int count) {
    for (int number = 0; number < count; ++number) gateways_.push_back(make_gateway(zone));
    report_gateway_counts();
  }
  /// Replaces the gateway by a new process without state.
  void restart(std::size_t gateway) {
    gateways_[gateway] = make_gateway(gateways_[gateway].zone);
    report_gateway_counts();
  }
  void restart_all() {
    for (Gateway& gateway : gateways_) gateway = make_gateway(gateway.zone);
    report_gateway_counts();
  }
  /// Cuts the zone off: agents of this zone and of other zones do not reach each other's gateways.
  void isolate_zone(std::size_t zone) { isolated_zones_.insert(zone); }
  void reconnect_zones() { isolated_zones_.clear(); }
  void disconnect_agents() { agents_connected_ = false; }
  void reconnect_agents() { agents_connected_ = true; }
  /// @param failure_rate  fraction of the attempts that fail from now on.
  void set_failure_rate(double failure_rate) { failure_rate_ = failure_rate; }
  /// @param rate  requests per second of each gateway.
  void set_requests_per_s(double rate) { requests_per_s_ = rate; }

  void run(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end; now_ += kStep) step();
  }

  std::size_t size() const { return gateways_.size(); }
  int failures() const { return failures_; }
  int retries() const { return count(retries_, 0, retries_.size()); }

  /// Checks every window of 10 s. The bound uses the highest number of requests among the window
  /// itself, the window that ends 5 s earlier and the one that ends 10 s earlier.
  RetryWindow worst_window() const {
    RetryWindow worst;
    double worst_excess = -kExtra;
    for (std::size_t end = 1; end <= retries_.size(); ++end) {
      const RetryWindow window = window_to(end);
      if (window.retries - window.allowed <= worst_excess) continue;
      worst_excess = window.retries - window.allowed;
      worst = window;
    }
    return worst;
  }

 private:
  struct Gateway {
    std::size_t zone;
    RetryShare share;
    RetryBudgets budgets;
  };

  Gateway make_gateway(std::size_t zone) const {
    RetryShareOptions options;
    options.extra = kExtra;
    options.min_gateways = 12;
    options.zones = zones_;
    Gateway gateway{zone, RetryShare(options, now_), RetryBudgets(kEarnedRatio, kExtra)};
    gateway.budgets.set_allowance(gateway.share.allowance(now_));
    return gateway;
  }

  bool reaches(std::size_t zone, std::size_t other) const {
    return zone == other || (!isolated_zones_.contains(zone) && !isolated_zones_.contains(other));
  }

  void report_gateway_counts() {
    if (!agents_connected_) return;
    for (Gateway& gateway : gateways_) report_gateway_count(gateway);
  }
  /// Reports the gateways that are reachable from the gateway's zone, as its agents would.
  void report_gateway_count(Gateway& gateway) {
    std::map<std::size_t, std::uint64_t> by_zone;
    std::uint64_t known = 0;
    for (const Gateway& other : gateways_) {
      if (!reaches(gateway.zone, other.zone)) continue;
      ++known;
      ++by_zone[other.zone];
    }
    std::uint64_t largest = 0;
    for (const auto& [zone, count] : by_zone) largest = std::max(largest, count);
    gateway.share.on_gateway_count(known, now_);
    gateway.share.on_largest_zone_gateway_count(largest, now_);
    gateway.budgets.set_allowance(gateway.share.allowance(now_));
  }

  void step() {
    requests_.push_back(0);
    retries_.push_back(0);
    if (requests_.size() % kStepsPerSweep == 0) {
      report_gateway_counts();
      for (Gateway& gateway : gateways_)
        gateway.budgets.set_allowance(gateway.share.allowance(now_));
    }
    for (Gateway& gateway : gateways_) {
      if (chance(requests_per_s_ * to_seconds(kStep))) send_request(gateway);
    }
  }

  void send_request(Gateway& gateway) {
    RetryBudget& budget = gateway.budgets.for_service("service");
    budget.on_first_attempt();
    ++requests_.back();
    if (!chance(failure_rate_)) return;
    ++failures_;
    if (budget.try_spend()) ++retries_.back();
  }

  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  /// @return the sum over the steps from `first` up to, but not including, `last`.
  static int count(const std::vector<int>& steps, std::size_t first, std::size_t last) {
    int sum = 0;
    for (std::size_t step = first; step < last; ++step) sum += steps[step];
    return sum;
  }

  /// Number of requests in the window that ends `steps_back` steps before `end`.
  int requests_before(std::size_t end, std::size_t steps_back) const {
    if (steps_back >= end) return 0;
    const std::size_t last = end - steps_back;
    return count(requests_, last - std::min<std::size_t>(last, kStepsPerWindow), last);
  }

  RetryWindow window_to(std::size_t end) const {
    const std::size_t first = end - std::min<std::size_t>(end, kStepsPerWindow);
    RetryWindow window;
    window.ends_s = to_seconds(kStep * static_cast<std::int64_t>(end));
    window.retries = count(retries_, first, end);
    window.requests = std::max({requests_before(end, 0), requests_before(end, kStepsPerWindow / 2),
                                requests_before(end, kStepsPerWindow)});
    window.allowed = kRatio * window.requests + kExtra;
    return window;
  }

  std::mt19937 random_;
  TimePoint now_{seconds(1000)};
  std::size_t zones_ = 0;
  std::vector<Gateway> gateways_;
  std::set<std::size_t> isolated_zones_;
  bool agents_connected_ = true;
  double failure_rate_ = 0;
  double requests_per_s_ = 3;
  int failures_ = 0;
  std::vector<int> requests_;  ///< By step.
  std::vector<int> retries_;   ///< By step.
};

}  // namespace pumicemast::tests
