/// Simulates gateways in front of engines that crash under some requests, on virtual time.
///
/// The decision cores of the gateways are the production ones. Each engine has an agent on the same
/// machine, which reports to all gateways every 100 ms and keeps running when only the engine
/// crashes; without power neither sends anything. A crashed engine restarts after kRestartTime with
/// a new id and with its weights.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/quarantine/verdict_pull.h"
#include "gateway/requests/request_forwarder.h"

namespace pumicemast::tests {

struct CrashSimulationOptions {
  std::size_t zones = 3;
  std::size_t gateways_per_zone = 2;
  std::size_t engines_per_zone = 4;
  std::uint32_t seed = 1;
  double ordinary_requests_per_s = 60;  ///< Requests that crash no engine.
  std::uint32_t attempts = 2;           ///< Maximum attempts of the route.
  /// Number of documents. If there are any, each prompt consists of a part that all requests share,
  /// one of the documents, the first ones more often, and a part of its own.
  std::size_t documents = 0;
};

/// Outcomes of the requests of a run.
struct CrashResults {
  int sent = 0;
  int served = 0;
  int failed = 0;       ///< Refused with `backend_failed`, or response aborted.
  int quarantined = 0;  ///< Refused because engines crashed under them.
  int refused = 0;      ///< Refused for any other reason.
};

class CrashSimulation {
 public:
  /// From a crash of an engine, or the return of its power, until it runs again.
  static constexpr Duration kRestartTime = milliseconds(2500);

  explicit CrashSimulation(const CrashSimulationOptions& options);
  ~CrashSimulation();

  /// Sends a request with this body that crashes every engine that begins it. Each caller retries
  /// it without end, 0.2 to 0.8 s after its last attempt ended, at a random gateway.
  /// @param callers  number of callers that send it in parallel.
  void send_crashing_request(const std::string& body, int callers = 1);
  /// Sends requests with the part that all requests share and this one, no two alike, each retried
  /// once. Every engine that begins one of them crashes.
  void send_requests_with_crashing_part(const std::string& part, double per_s);
  void stop_crashing_parts() { crashing_part_rates_.clear(); }
  /// All engines and agents of the zone lose power for `length`.
  void lose_power(std::size_t zone, Duration length);
  /// All engines of the zone crash; the agents keep running.
  void crash_engines(std::size_t zone);
  /// Replaces the gateway by a new process without state.
  void restart_gateway(std::size_t gateway);
  /// Drops all messages between the gateway and other gateways.
  void isolate_gateway(std::size_t gateway) { isolated_.insert(gateway); }
  void reconnect_gateway(std::size_t gateway) { isolated_.erase(gateway); }
  /// Sends one request with this body to the gateway, without retries.
  /// @return its number at the gateway.
  RequestNumber send_request(std::size_t gateway, const std::string& body);

  void run(Duration span);

  TimePoint now() const { return now_; }
  /// Number of engines that crashed under a request with this body.
  int engines_crashed_by(const std::string& body) const;
  /// Times of these crashes.
  const std::vector<TimePoint>& crashes_by(const std::string& body) { return crashes_[body]; }
  /// Times at which engines crashed on this part.
  const std::vector<TimePoint>& crashes_on_part(const std::string& part) {
    return part_crashes_[part];
  }
  /// Times at which requests with this part were sent to engines.
  const std::vector<TimePoint>& sends_with_part(const std::string& part) {
    return part_sends_[part];
  }
  const CrashResults& ordinary() const { return ordinary_; }
  const CrashResults& crashing() const { return crashing_; }
  std::size_t gateways() const { return gateways_.size(); }
  /// Bytes that gateways have sent each other about crashes.
  std::size_t gossip_bytes() const { return gossip_bytes_; }
  /// Number of gateways at which the request is in quarantine.
  std::size_t quarantined_at(const std::string& body) const;
  /// Number of gateways at which the part is in quarantine.
  std::size_t part_quarantined_at(const std::string& part) const;
  const CrashSimulationOptions& options() const { return options_; }
  const RequestQuarantine& quarantine(std::size_t gateway) const;

 private:
  struct Run {
    std::size_t gateway = 0;
    RequestNumber request = 0;
    std::string body;
    std::vector<std::string> parts;
    TimePoint begins_at{};
    TimePoint ends_at{};
    bool begun = false;
  };
  struct Engine {
    std::size_t zone = 0;
    Address address;
    std::string id;
    int incarnation = 1;
    bool up = true;
    bool powered = true;
    TimePoint restarts_at{};
    TimePoint power_restored_at{};
    std::vector<Run> runs;
  };
  struct SentRequest {
    std::string body;
    int retries_left = 0;  ///< How often its caller sends it again if it is not served.
    std::vector<std::string> parts = {};  ///< Shared parts of its prompt.
  };
  struct Gateway;
  struct Message {
    std::size_t to = 0;
    CrashUpdate update;
  };
  struct ScheduledRetry {
    TimePoint at{};
    SentRequest sent;
  };

  std::unique_ptr<Gateway> start_gateway(std::size_t zone, std::uint64_t seed);
  void list_engine(Gateway& gateway, const Engine& engine);
  void step();
  /// Delivers the updates of the last step and sends new ones.
  void exchange_crash_updates();
  std::vector<std::size_t> gossip_recipients(std::size_t from);
  void send(std::size_t from, std::size_t to, const CrashUpdate& update);
  void compare_verdicts();
  void send_ordinary_requests();
  void send_requests_with_crashing_parts();
  std::vector<std::string> draw_parts();
  bool crashes(const SentRequest& sent) const;
  void send_due_retries();
  void start_request(std::size_t gateway, const SentRequest& sent);
  void advance(Engine& engine);
  void begin(Engine& engine, Run& run);
  void finish(const Run& run);
  /// Interrupts all requests that run on the engine.
  void crash_engine(Engine& engine);
  void restart_engine(Engine& engine);
  void report(const Engine& engine);
  void execute_actions(std::size_t gateway, ForwarderActions& actions);
  void submit(std::size_t gateway, const SendToBackend& send);
  void cancel_run(std::size_t gateway, RequestNumber request);
  void record_outcome(std::size_t gateway, RequestNumber request, int CrashResults::*outcome);
  double draw(double from, double to);

  CrashSimulationOptions options_;
  std::mt19937 random_;
  TimePoint now_{seconds(1000)};
  std::uint64_t revision_ = 0;
  std::uint64_t next_ordinary_ = 1;
  std::uint64_t steps_ = 0;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Engine> engines_;
  std::set<std::string> crashing_bodies_;
  std::map<std::string, std::vector<TimePoint>> crashes_;
  std::map<std::string, double> crashing_part_rates_;  ///< Requests per second, by part.
  std::set<std::string> crashing_parts_;
  std::map<std::string, std::vector<TimePoint>> part_crashes_;
  std::map<std::string, std::vector<TimePoint>> part_sends_;
  std::vector<ScheduledRetry> retries_;
  std::set<std::size_t> isolated_;
  std::vector<Message> messages_;
  std::size_t gossip_bytes_ = 0;
  CrashResults ordinary_;
  CrashResults crashing_;
};

}  // namespace pumicemast::tests
