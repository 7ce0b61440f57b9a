/// Membership as one entry sees it: every back end, what it serves and whether it may get
/// new work.
///
/// A decision core: no I/O. It joins three sources: the agents' own connections, the
/// platform's machine list (which lags) and the planned stops of the configuration.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"

namespace pumicemast {

/// Where a process runs.
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

/// An agent's first message.
struct BackendHello {
  std::string machine;
  Location location;
  std::string swarm_address;
  std::uint64_t incarnation = 0;
  bool is_engine = true;
  std::string service;
  std::uint64_t memory_bytes = 0;
};

/// An agent's periodic report.
struct BackendStatus {
  /// By model; a model may have one replica serving and another version staged.
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
  bool leaving = false;           ///< The machine list says so.
  bool stop_planned = false;      ///< The configuration says so.
  std::uint32_t outstanding = 0;  ///< Requests of this entry that run there.
  std::uint32_t outstanding_at_report = 0;

  /// Requests that probably run there, from the lagging report and our own since then.
  std::uint32_t estimated_in_flight() const;
  /// The replica that serves `model`, or null.
  const ReplicaView* live_replica(const std::string& model) const;
  /// The replica of `model` with `version`, or null.
  const ReplicaView* replica(const std::string& model, const std::string& version) const;
};

class BackendDirectory {
 public:
  /// @param silence_timeout  a back end that was not heard for so long gets no new work.
  explicit BackendDirectory(Duration silence_timeout) : silence_timeout_(silence_timeout) {}

  void on_hello(const BackendHello& hello, TimePoint now);
  void on_status(const std::string& machine, const BackendStatus& status, TimePoint now);
  void on_disconnected(const std::string& machine, TimePoint now);
  /// Machines that the platform's list calls leaving.
  void on_machine_list(const std::set<std::string>& leaving);
  /// Machines with a planned stop, in whatever state.
  void on_planned_stops(const std::set<std::string>& stopping);
  void on_submitted(const std::string& machine);
  void on_finished(const std::string& machine);
  /// Forgets machines that have been gone for longer than `age`.
  void forget_lost(Duration age, TimePoint now);

  /// Whether new work may go to `backend`.
  bool accepts_work(const Backend& backend, TimePoint now) const;
  /// Connected and heard of lately.
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
