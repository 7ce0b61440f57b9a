/// Gateways before back ends that name rate limits, on virtual time.
///
/// The gateways' cores and the issuers of permits are the production ones. Messages take some
/// milliseconds. Each engine counts by itself when requests come to it.
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

/// Who holds the sum over all gateways.
enum class LimitSharing {
  issuer,        ///< One issuer a back end, as in production.
  none,          ///< Nobody: each gateway keeps the whole limit.
  equal_shares,  ///< Each gateway keeps its part by their number.
  one_gateway,   ///< The first gateway keeps the whole limit, the others send nothing there.
};

struct LimitedFleetOptions {
  std::size_t gateways = 7;
  std::size_t engines = 1;
  std::size_t limited = 1;  ///< Engines that name limits.
  double requests_per_s = 2;
  LimitSharing sharing = LimitSharing::issuer;
  std::uint32_t seed = 1;
};

struct LimitedFleetResults {
  int sent = 0;
  int served = 0;
  int rate_limited = 0;  ///< Refused for the limits.
  int refused = 0;       ///< For any other reason.
  Duration max_refusal_delay = Duration::zero();
};

class LimitedFleet {
 public:
  explicit LimitedFleet(const LimitedFleetOptions& options);
  ~LimitedFleet();

  /// What limited engines name from now on; nothing: they name none.
  void set_limit(std::optional<double> per_second);
  /// The gateway's process stands still; what comes meanwhile it sees afterwards.
  void freeze_gateway(std::size_t gateway, Duration length);
  /// No messages between it and agents or engines.
  void isolate_gateway(std::size_t gateway) { isolated_.insert(gateway); }
  void reconnect_gateway(std::size_t gateway) { isolated_.erase(gateway); }
  /// The gateway's process is another one, which knows nothing.
  void restart_gateway(std::size_t gateway);
  /// The agent beside the engine is another one, which knows nothing.
  void restart_agent(std::size_t engine);
  /// The engine's process is another one: it names no limit, its agent sees that.
  void restart_engine(std::size_t engine);
  void run(Duration span);

  TimePoint now() const { return now_; }
  /// The most requests that reached the engine within any window of four seconds.
  int max_arrivals_in_window(std::size_t engine, TimePoint since) const;
  int arrived(std::size_t engine, TimePoint since) const;
  const LimitedFleetResults& results() const { return results_; }
  void reset_results() { results_ = {}; }
  /// Messages about permits, of all gateways and agents.
  std::uint64_t permit_messages() const { return permit_messages_; }

 private:
  struct Gateway;
  struct Engine;
  using Event = std::function<void()>;

  void at(TimePoint time, Event event);
  void after(Duration delay, Event event) { at(now_ + delay, std::move(event)); }
  /// Runs in the gateway's process: later if it stands still, never if it was restarted meanwhile.
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
