/// Simulates agents that download one version from an origin with little bandwidth and few
/// connections, on virtual time. The origin has an outage and some agents are replaced. The swarm
/// cores are the production ones.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "swarm/swarm.h"

namespace pumicemast::tests {

struct OriginOutageSettings {
  std::uint32_t agents = 300;
  std::uint32_t regions = 5;
  ChunkIndex chunks = 96;
  double chunk_bytes = 24576;
  double link_bytes_per_second = 7.3e6 / 8;  ///< Uplink of each agent.
  double origin_bytes_per_second = 7.3e6 / 8;
  /// Bytes on the origin's link per byte of a chunk, for headers, manifests and losses.
  double origin_overhead = 1;
  std::uint32_t origin_connections = 48;
  Duration outage_start = milliseconds(2500);
  Duration outage_end = milliseconds(8500);
  /// Number of agents that are replaced one after the other within `replacement_period`.
  std::uint32_t replaced_agents = 94;
  Duration replacement_period = milliseconds(4500);
  Duration max_run_time = seconds(60);
  std::uint32_t seed = 1;
};

struct OriginOutageResult {
  double origin_copies = 0;  ///< Bytes that the origin sent, wasted ones included, in copies.
  /// Times count from the start, when the agents learn of the version, and cover the agents that
  /// are alive at the end and have all chunks; 0 if there are none. `incomplete` counts the other
  /// ones that are alive.
  double first_complete_s = 0;
  double half_complete_s = 0;
  double p90_complete_s = 0;
  double last_complete_s = 0;
  std::uint32_t incomplete = 0;
  std::uint64_t refused_calls = 0;
};

class OriginOutageSimulation {
 public:
  explicit OriginOutageSimulation(const OriginOutageSettings& settings);
  OriginOutageResult run();

 private:
  struct Agent {
    PeerId id = 0;
    std::uint32_t region = 0;
    bool alive = true;
    std::unique_ptr<Swarm> swarm;
    std::deque<SendChunk> uplink;
    double uplink_bytes_left = 0;  ///< Of the first chunk in `uplink`.
    std::uint32_t origin_failures = 0;
    std::optional<TimePoint> complete_at;
  };
  struct OriginCall {
    std::size_t agent = 0;
    ChunkIndex chunk = 0;
    double bytes_left = 0;
  };

  void add_agent();
  void replace_agent(std::size_t index);
  std::shared_ptr<const SwarmMembership> members() const;
  bool origin_unreachable() const;
  void step_origin();
  void record_completions();
  void step_uplinks();
  void at(TimePoint time, std::function<void()> event) { events_.emplace(time, std::move(event)); }
  /// Runs `task` on the agent after the network delay, if it is still alive.
  void send_to(PeerId peer, std::function<void(Agent&, SwarmActions&)> task);
  void with_agent(std::size_t index, const std::function<void(Agent&, SwarmActions&)>& task);
  void execute_actions(std::size_t index, const SwarmActions& actions);
  void fail_origin(std::size_t index, ChunkIndex chunk);

  void execute(std::size_t index, const RequestFromPeer& action);
  void execute(std::size_t index, const CancelFromPeer& action);
  void execute(std::size_t index, const RequestFromOrigin& action);
  void execute(std::size_t index, const CancelFromOrigin& action);
  void execute(std::size_t index, const SendChunk& action);
  void execute(std::size_t index, const RefuseChunk& action);
  void execute(std::size_t index, const AnnounceChunks& action);
  void execute(std::size_t index, const JoinPeer& action);
  void execute(std::size_t index, const SwarmComplete&);
  void execute(std::size_t, const PeerAvoided&) {}

  OriginOutageSettings settings_;
  std::minstd_rand random_;
  TimePoint start_{seconds(1000)};
  TimePoint now_ = start_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::map<PeerId, std::size_t> by_id_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<OriginCall> calls_;
  OriginOutageResult result_;
};

}  // namespace pumicemast::tests
