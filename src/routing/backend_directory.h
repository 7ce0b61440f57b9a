/// The back ends known to one entry: what each of them serves and whether it accepts new work.
///
/// A decision core: no I/O. Combines three sources: the agents' connections, the platform's
/// machine list (which lags behind) and the planned stops in the configuration.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"

namespace pumicemast {

/// Region and zone in which a process runs.
struct Location {
  std::string region;
  std::string zone;
  bool operator==(const Location&) const = default;
};

struct ReplicaView {
  std::string version;
  std::string digest;
  std::string state;  ///< A state of charts/replica.ini.
  std::uint32_t chunks_verified = 0;
  std::uint32_t chunk_count = 0;
  std::string note;
  bool is_live() const { return state == "LIVE"; }
};

/// First message of an agent on its connection.
struct BackendHello {
  std::string machine;
  Location location;
  std::string swarm_address;
  std::uint64_t incarnation = 0;
  bool is_engine = true;
  std::string service;
  std::uint64_t memory_bytes = 0;
};

/// Periodic status report of an agent.
struct BackendStatus {
  /// Keyed by model. A model may have one replica that serves and another version that is staged.
  std::multimap<std::string, ReplicaView> replicas;
  std::uint32_t in_flight = 0;
  std::uint32_t queue_limit = 0;
  bool draining = false;
  bool drained = false;
  std::uint64_t configuration_revision = 0;
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  std::uint64_t duplicate_bytes = 0;
};

struct Backend {
  BackendHello hello;
  BackendStatus status;
  bool connected = false;
  TimePoint last_heard{};
  TimePoint disconnected_at{};
  bool leaving = false;           ///< According to the machine list.
  bool stop_planned = false;      ///< According to the configuration.
  std::uint32_t outstanding = 0;  ///< Requests of this entry in progress.
  std::uint32_t outstanding_at_report = 0;

  /// Estimated requests in progress: those of other entries from the last report, plus the current
  /// requests of this entry.
  std::uint32_t estimated_in_flight() const;
  /// Returns the replica that serves `model`, or null.
  const ReplicaView* live_replica(const std::string& model) const;
  /// Returns the replica of `model` with `version`, or null.
  const ReplicaView* replica(const std::string& model, const std::string& version) const;
};

class BackendDirectory {
 public:
  /// @param silence_timeout  time without a message after which a back end gets no new work.
  explicit BackendDirectory(Duration silence_timeout) : silence_timeout_(silence_timeout) {}

  void on_hello(const BackendHello& hello, TimePoint now);
  void on_status(const std::string& machine, const BackendStatus& status, TimePoint now);
  void on_disconnected(const std::string& machine, TimePoint now);
  /// Sets the machines that are marked as leaving in the platform's list.
  void on_machine_list(const std::set<std::string>& leaving);
  /// Sets the machines that have a planned stop, whatever its state.
  void on_planned_stops(const std::set<std::string>& stopping);
  void on_submitted(const std::string& machine);
  void on_finished(const std::string& machine);
  /// Removes machines without requests that have been disconnected for longer than `age`.
  void forget_lost(Duration age, TimePoint now);

  /// Whether `backend` may be sent new requests.
  bool accepts_work(const Backend& backend, TimePoint now) const;
  /// Whether `backend` is connected and sent a message within the silence timeout.
  bool is_reachable(const Backend& backend, TimePoint now) const;
  const std::map<std::string, Backend>& all() const { return backends_; }
  const Backend* find(const std::string& machine) const;

 private:
  Duration silence_timeout_;
  std::map<std::string, Backend> backends_;
  std::set<std::string> leaving_;
  std::set<std::string> stopping_;
};

}  // namespace pumicemast
