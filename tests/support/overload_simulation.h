/// Simulates gateways in front of engines under a seeded random load, on virtual time: production
/// decision cores, modelled engines, and callers that retry once after a refusal.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/requests/request_forwarder.h"
#include "host/credits/credit_allocator.h"
#include "support/modelled_engine.h"

namespace pumicemast::tests {

/// Faults that come every 5 s, the first after 5 s.
enum class OverloadFault {
  none,
  agent_lost,      ///< The agent of one engine, for a second; the next one has an empty queue.
  gateway_frozen,  ///< One gateway, for a second; what arrives there meanwhile waits.
  late_reports,    ///< Reports arrive 250 ms late, all the time.
  links_lost,      ///< Five times in the first second, a gateway's link to an agent breaks.
};

/// Additional callers of one kind, or of one tenant.
struct OverloadBurst {
  double factor = 3;  ///< Rate of the group, over its usual rate.
  std::optional<std::size_t> kind;
  std::optional<std::size_t> tenant;
};

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
  /// The classes and engines of docs/design/slot-scheduling.md, and agents that queue requests.
  bool competing_classes = false;
  bool priorities = false;  ///< The routes of these classes have different priorities.
  /// The first tenant has a third of the callers, the others have equal parts of the rest.
  std::size_t tenants = 0;
  std::optional<OverloadBurst> burst;
  OverloadFault fault = OverloadFault::none;
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
  std::map<std::size_t, CallerCounts> by_tenant;
  /// Slots without a running request, and those without even a queued one, while any request waits
  /// at a gateway; both as parts of the slot time of the run.
  double idle_share = 0;
  double unassigned_share = 0;
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
  using Event = std::function<void()>;

  EngineProfile profile() const;
  FleetConfiguration configuration(double prompt_rate) const;
  void start_callers();
  void start_burst_callers();
  void start_caller(Caller caller);
  std::size_t random_tenant(std::mt19937_64& random);
  double burst_rate() const;
  void send_request(std::uint64_t number);
  void execute_actions(Gateway& gateway, ForwarderActions& actions);
  void on_refusal(std::uint64_t request, Duration retry_after);
  void run_engines();
  void on_event(const EngineEvent& event);
  void report();
  void send_backlogs();
  void send_due_retries();
  // In overload_simulation_slots.cpp:
  void send_message(std::size_t gateway, std::size_t engine, Duration delay, Event event);
  void deliver(std::size_t gateway, Event event);
  void deliver_messages();
  void send_slot_requests(std::size_t gateway, std::size_t engine, const SlotRequests& requests);
  void decide_slots(std::size_t engine);
  void on_slot_decisions(std::size_t gateway, std::size_t engine, const SlotDecisions& decisions);
  void lose_link(std::size_t gateway, std::size_t engine);
  void inject_faults();
  void measure_idle_slots();
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
  std::mt19937_64 tenant_random_;
  std::mt19937_64 burst_random_;
  TimePoint next_burst_arrival_ = now_;
  std::multimap<TimePoint, Event> messages_;  ///< On their way, by the time of their arrival.
  std::uint64_t fault_step_ = 0;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<Caller> callers_;
  std::multimap<TimePoint, std::uint64_t> retries_;
  std::map<RequestNumber, std::uint64_t> callers_of_requests_;
  RequestNumber next_request_ = 1;
  OverloadResult result_;
};

}  // namespace pumicemast::tests
