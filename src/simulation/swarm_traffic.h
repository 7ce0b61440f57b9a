/// Executes the actions of the swarm cores and transports messages between simulated machines.
#pragma once

#include <functional>
#include <optional>
#include <random>
#include <unordered_map>

#include "simulation/event_queue.h"
#include "simulation/fault_schedule.h"
#include "simulation/origin_model.h"
#include "simulation/simulated_machine.h"

namespace pumicemast::simulation {

struct TrafficTotals {
  std::uint64_t peer_bytes = 0;
  std::uint64_t inter_region_bytes = 0;
  std::uint64_t messages = 0;  ///< Control messages between agents.
  std::uint64_t peak_agent_memory = 0;
};

class SwarmTraffic {
 public:
  struct Callbacks {
    /// Called when all chunks of a version are verified at a machine.
    std::function<void(MachineNumber, std::uint32_t version)> on_complete;
    /// Called when a machine starts to avoid a peer that sent too many corrupt chunks.
    std::function<void(MachineNumber)> on_avoided;
  };

  SwarmTraffic(const BurstSettings& settings, const FaultSchedule& faults,
               const SimulatedWeights& weights, SimulatedMachines& machines, EventQueue& events,
               std::mt19937_64& random, Callbacks callbacks);

  /// Registers a machine after its id has been set.
  void add_machine(MachineNumber machine);
  void execute_actions(MachineNumber machine, std::uint32_t version, const SwarmActions& actions);
  /// Returns null if the machine is dead or has no swarm for this version.
  Swarm* swarm_of(MachineNumber machine, std::uint32_t version);
  NetworkModel& network() { return network_; }
  std::uint64_t origin_bytes() const { return origin_.bytes_sent(); }
  const TrafficTotals& totals() const { return totals_; }

 private:
  void execute(MachineNumber machine, std::uint32_t version, const RequestFromPeer& action);
  void execute(MachineNumber machine, std::uint32_t version, const CancelFromPeer& action);
  void execute(MachineNumber machine, std::uint32_t version, const RequestFromOrigin& action);
  void execute(MachineNumber machine, std::uint32_t version, const CancelFromOrigin& action);
  void execute(MachineNumber machine, std::uint32_t version, const SendChunk& action);
  void execute(MachineNumber machine, std::uint32_t version, const RefuseChunk& action);
  void execute(MachineNumber machine, std::uint32_t version, const AnnounceChunks& action);
  void execute(MachineNumber machine, std::uint32_t version, const JoinPeer& action);
  void execute(MachineNumber machine, std::uint32_t version, const SwarmComplete&) {
    callbacks_.on_complete(machine, version);
  }
  void execute(MachineNumber machine, std::uint32_t, const PeerAvoided&) {
    callbacks_.on_avoided(machine);
  }

  /// Delivers a small message, or reports to the sender that the peer is unreachable.
  void message(MachineNumber from, PeerId to, std::uint32_t version,
               std::function<void(Swarm&, SwarmActions&)> deliver);
  void report_peer_lost(MachineNumber machine, PeerId peer);
  void send_join(MachineNumber from, PeerId to, std::uint32_t version, bool reply);
  void on_origin_failed(const OriginRequest& request);
  void receive_announcement(MachineNumber receiver, MachineNumber sender, std::uint32_t version,
                            const std::vector<ChunkIndex>& chunks);
  void receive(MachineNumber machine, std::uint32_t version, std::optional<PeerId> source,
               ChunkIndex chunk, ContentId content);

  const BurstSettings& settings_;
  const FaultSchedule& faults_;
  const SimulatedWeights& weights_;
  SimulatedMachines& machines_;
  EventQueue& events_;
  std::mt19937_64& random_;
  Callbacks callbacks_;
  NetworkModel network_;
  OriginModel origin_;
  std::unordered_map<PeerId, MachineNumber> numbers_;
  TrafficTotals totals_;
};

}  // namespace pumicemast::simulation
