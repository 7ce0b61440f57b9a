/// Gateways before engines under a seeded load on virtual time: production cores, modelled engines
/// and callers that come back once when they are refused.
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
  double load = 1;  ///< Arrivals over what the engines can serve.
  std::size_t engines = 4;
  Duration duration = seconds(40);
  /// The gateways believe that engines read prompts at this rate; 0: the true one.
  double configured_prompt_rate = 0;
  bool reports_demand = true;  ///< Gateways tell agents how many requests reach them.
  /// Callers' first attempts state any time between the route's timeout and so much less.
  Duration timeout_jitter = Duration::zero();
};

/// What became of callers, counted by their first attempts.
struct CallerCounts {
  std::uint64_t total = 0;
  std::uint64_t in_time = 0;  ///< First token within the goal, from the first attempt on.
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
  CallerCounts largest_tenth;  ///< By prompt, of each kind.
  std::map<std::string, CallerCounts> by_kind;
  std::map<std::size_t, CallerCounts> by_gateway;
  /// Callers that came back and were sent to an engine within 100 ms of the refusal of a first
  /// attempt; not counted while gateways learn how long callers wait.
  std::uint64_t retries_served_while_first_refused = 0;
  std::uint64_t retries = 0;         ///< Callers that came back after that time of learning.
  std::uint64_t recognized = 0;      ///< Of these, those that were held to come back.
  std::uint64_t first_attempts = 0;  ///< First attempts after it.
  std::uint64_t misclassified = 0;   ///< Of these, those that were held to come back.
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
