/// Simulates one burst, the distribution of a version to all machines of a fleet, on virtual time.
///
/// Each machine runs the production cores Swarm and ReplicaManager; only sockets, clock,
/// origin and engine memory are modelled. The simulator tracks the actual memory contents
/// of each engine to detect that partial or mixed weights are served.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/state_chart.h"
#include "replica/replica_manager.h"
#include "simulation/burst_settings.h"
#include "simulation/event_queue.h"
#include "simulation/fault_schedule.h"
#include "simulation/network_model.h"
#include "simulation/swarm_traffic.h"

namespace pumicemast::simulation {

/// State of the burst at one time, for plots.
struct BurstSample {
  double time_s = 0;
  std::uint32_t live = 0;
  std::uint32_t alive = 0;
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  std::uint64_t inter_region_bytes = 0;
};

/// An event recorded in the history.
struct BurstEvent {
  double time_s = 0;
  std::string what;  ///< live, died, stalled, cut, superseded, avoided.
  MachineNumber machine = 0;
  std::uint32_t version = 0;
};

struct BurstResult {
  std::vector<double> live_times_s;  ///< Times at which survivors became live, ascending.
  std::vector<bool> survived;        ///< Indexed by machine.
  std::uint32_t survivors = 0;
  std::uint32_t never_live = 0;  ///< Survivors that were not live at the end of the run.
  double last_order_s = 0;       ///< Time at which the target version was ordered.
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  std::uint64_t inter_region_bytes = 0;
  std::uint64_t duplicate_bytes = 0;
  std::uint64_t corrupt_chunks = 0;
  std::uint64_t request_timeouts = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t peak_agent_memory = 0;
  std::uint32_t partial_or_mixed_served = 0;
  std::uint64_t messages = 0;  ///< Control messages between agents.
  std::uint64_t events = 0;
  std::vector<BurstSample> samples;
  std::vector<BurstEvent> history;
};

class BurstSimulation {
 public:
  BurstSimulation(const BurstSettings& settings, const StateChart& replica_chart);
  ~BurstSimulation();
  BurstResult run();

 private:
  void schedule_faults();
  void kill(MachineNumber machine);
  void supersede();
  void order(MachineNumber machine, std::uint32_t version);
  std::shared_ptr<const SwarmMembership> alive_members() const;
  void distribute_membership();
  void sample();
  void tick(MachineNumber machine);
  bool finished() const;

  void execute_actions(MachineNumber machine, const ReplicaActions& actions);
  void execute(MachineNumber machine, const StartFetch& action);
  void execute(MachineNumber machine, const StopFetch& action);
  void execute(MachineNumber machine, const CloseAdmission& action);
  void execute(MachineNumber machine, const OpenAdmission& action);
  void execute(MachineNumber machine, const ActivateVersion& action);
  void execute(MachineNumber machine, const DropVersion& action);
  void execute(MachineNumber machine, const ReplicaChanged& action);

  void on_swarm_complete(MachineNumber machine, std::uint32_t version);
  void record_event(const char* what, std::uint32_t subject);
  BurstSettings settings_;
  const StateChart& replica_chart_;
  std::mt19937_64 random_;
  FaultSchedule faults_;
  EventQueue events_;
  SimulatedWeights weights_;
  SimulatedMachines machines_;
  SwarmTraffic traffic_;
  std::shared_ptr<const SwarmMembership> membership_;
  std::uint32_t target_version_ = 0;
  std::uint32_t live_on_target_ = 0;
  std::uint32_t alive_ = 0;
  TimePoint end_;
  BurstResult result_;
};

}  // namespace pumicemast::simulation
