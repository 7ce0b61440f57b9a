/// Simulates gateways in front of back ends that declare rate limits, on virtual time.
///
/// The decision cores of the gateways and the permit issuers are the production ones. Messages take
/// 1 to 6 ms. Each engine records the arrival times of its requests, so that the results do not
/// depend on the counts of gateways or issuers.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/requests/request_forwarder.h"
#include "limits/permit_issuer.h"

namespace pumicemast::tests {

/// How the gateways together keep the rate limit of a back end.
enum class LimitSharing {
  issuer,        ///< As in production: one permit issuer per back end.
  none,          ///< Not at all: each gateway keeps the full limit on its own.
  equal_shares,  ///< Each gateway keeps the limit divided by their number.
  one_gateway,   ///< The first gateway keeps the full limit; the others send no requests.
};

struct LimitedFleetOptions {
  std::size_t gateways = 7;
  std::size_t engines = 1;
  std::size_t limited = 1;  ///< Engines that declare limits.
  double requests_per_s = 2;
  LimitSharing sharing = LimitSharing::issuer;
  std::uint32_t seed = 1;
};

struct LimitedFleetResults {
  int sent = 0;
  int served = 0;
  int rate_limited = 0;  ///< Refused because of the limits.
  int refused = 0;       ///< Refused for any other reason.
  Duration max_refusal_delay = Duration::zero();
};

class LimitedFleet {
 public:
  explicit LimitedFleet(const LimitedFleetOptions& options);
  ~LimitedFleet();

  /// Sets the limit that limited engines declare in their responses; nullopt: none.
  void set_limit(std::optional<double> per_second);
  /// Freezes the gateway's process; it handles messages that arrive meanwhile afterwards.
  void freeze_gateway(std::size_t gateway, Duration length);
  /// Drops all messages between the gateway and agents or engines.
  void isolate_gateway(std::size_t gateway) { isolated_.insert(gateway); }
  void reconnect_gateway(std::size_t gateway) { isolated_.erase(gateway); }
  /// Replaces the gateway by a new process without state.
  void restart_gateway(std::size_t gateway);
  /// Replaces the engine's agent by a new process without state.
  void restart_agent(std::size_t engine);
  /// Replaces the engine by a new process that declares no limit; its agent detects the restart.
  void restart_engine(std::size_t engine);
  void run(Duration span);

  TimePoint now() const { return now_; }
  /// Highest number of requests that reached the engine within any window of 4 s.
  int max_arrivals_in_window(std::size_t engine, TimePoint since) const;
  int arrived(std::size_t engine, TimePoint since) const;
  const LimitedFleetResults& results() const { return results_; }
  void reset_results() { results_ = {}; }
  /// Number of permit messages sent by all gateways and agents.
  std::uint64_t permit_messages() const { return permit_messages_; }

 private:
  struct Gateway;
  struct Engine;
  using Event = std::function<void()>;

  void at(TimePoint time, Event event);
  void after(Duration delay, Event event) { at(now_ + delay, std::move(event)); }
  /// Runs `event` in the gateway's process: after a freeze, but never in a restarted process.
  void at_gateway(std::size_t gateway, Duration delay, const std::function<void(Gateway&)>& event);
  Duration network_delay();
  void start_gateway(std::size_t index);
  void send_requests();
  void tick(std::size_t gateway);
  void report(std::size_t engine);
  void send_load_report(std::size_t engine, std::size_t gateway);
  void execute_actions(std::size_t index, Gateway& gateway, ForwarderActions& actions);
  void exchange_permits(std::size_t index, Gateway& gateway);
  void report_limits(std::size_t index, Gateway& gateway);
  void send_to_issuer(std::size_t index, Gateway& gateway, const PermitRequest& request);
  PermitAnswer issue_locally(std::size_t index, Gateway& gateway, const PermitRequest& request);
  void on_permit_answer(std::size_t index, Gateway& gateway, const PermitAnswer& answer);
  void send(std::size_t index, const SendToBackend& action);
  void on_arrival(std::size_t index, std::size_t engine, RequestNumber request);
  void respond(std::size_t index, std::size_t engine, RequestNumber request);

  LimitedFleetOptions options_;
  TimePoint now_ = TimePoint(seconds(1000));
  std::optional<double> limit_;
  std::mt19937 random_;
  std::multimap<TimePoint, Event> events_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::map<std::size_t, TimePoint> frozen_until_;
  std::set<std::size_t> isolated_;
  LimitedFleetResults results_;
  std::uint64_t permit_messages_ = 0;
  std::uint64_t incarnations_ = 0;
};

}  // namespace pumicemast::tests
