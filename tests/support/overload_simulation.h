/// Simulates gateways in front of engines under a seeded random load, on virtual time: production
/// decision cores, modelled engines, and callers that retry once after a refusal.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/requests/request_forwarder.h"
#include "host/credits/credit_allocator.h"
#include "support/modelled_engine.h"

namespace pumicemast::tests {

struct OverloadOptions {
  std::uint64_t seed = 1;
  double load = 1;  ///< Arrival rate divided by the capacity of the engines.
  std::size_t engines = 4;
  Duration duration = seconds(40);
  /// Prefill rate of engines in the gateways' configuration, in tokens/s; 0: the true rate.
  double configured_prompt_rate = 0;
  bool reports_demand = true;  ///< Gateways report their request rates to agents.
  /// In first attempts, callers state the route's timeout less a random time of at most this.
  Duration timeout_jitter = Duration::zero();
};

/// Outcomes per caller; a retry belongs to the caller of the first attempt.
struct CallerCounts {
  std::uint64_t total = 0;
  std::uint64_t in_time = 0;  ///< First token within the goal, counted from the first attempt.
  std::uint64_t late = 0;
  std::uint64_t unserved = 0;
  double in_time_share() const { return share(in_time); }
  double served_share() const { return share(in_time + late); }

 private:
  double share(std::uint64_t count) const {
    return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
  }
};

struct OverloadResult {
  CallerCounts all;
  CallerCounts largest_tenth;  ///< Callers with the largest prompts of each kind.
  std::map<std::string, CallerCounts> by_kind;
  std::map<std::size_t, CallerCounts> by_gateway;
  /// Retries sent to an engine within 100 ms after the same gateway refused a first attempt. This
  /// and the counts below leave out the warm-up, in which gateways learn the callers' timeouts.
  std::uint64_t retries_served_while_first_refused = 0;
  std::uint64_t retries = 0;         ///< Second attempts.
  std::uint64_t recognized = 0;      ///< Of these, classified as retries.
  std::uint64_t first_attempts = 0;  ///< First attempts.
  std::uint64_t misclassified = 0;   ///< Of these, classified as retries.
};

class OverloadSimulation {
 public:
  explicit OverloadSimulation(OverloadOptions options);
  ~OverloadSimulation();
  OverloadResult run();

 private:
  struct Gateway;
  struct Engine;
  struct Caller;

  FleetConfiguration configuration(double prompt_rate) const;
  void start_callers();
  void send_request(std::uint64_t number);
  void execute_actions(Gateway& gateway, ForwarderActions& actions);
  void on_refusal(std::uint64_t request, Duration retry_after);
  void run_engines();
  void on_event(const EngineEvent& event);
  void report();
  void send_backlogs();
  void send_due_retries();
  Duration random_arrival_gap();
  Duration random_duration(Duration maximum);
  void record_classification(bool is_retry, bool classified_as_retry);
  double random_token_count(double mean, double spread, double max_tokens);
  void count_outcome(const Caller& caller);

  OverloadOptions options_;
  std::mt19937_64 random_;
  TimePoint now_ = TimePoint(seconds(100));
  TimePoint next_arrival_ = now_;
  TimePoint begin_ = now_;
  double arrivals_per_s_ = 0;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<Caller> callers_;
  std::multimap<TimePoint, std::uint64_t> retries_;
  std::map<RequestNumber, std::uint64_t> callers_of_requests_;
  RequestNumber next_request_ = 1;
  OverloadResult result_;
};

}  // namespace pumicemast::tests
