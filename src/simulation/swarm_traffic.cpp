#include "simulation/swarm_traffic.h"

#include <algorithm>
#include <cassert>
#include <map>

#include "simulation/fleet_layout.h"

namespace pumicemast::simulation {

SwarmTraffic::SwarmTraffic(const BurstSettings& settings, const FaultSchedule& faults,
                           const SimulatedWeights& weights, SimulatedMachines& machines,
                           EventQueue& events, std::mt19937_64& random, Callbacks callbacks)
    : settings_(settings),
      faults_(faults),
      weights_(weights),
      machines_(machines),
      events_(events),
      random_(random),
      callbacks_(std::move(callbacks)),
      network_(settings.network, assign_locations(settings), settings.seed),
      origin_(events_, network_, [this](ChunkIndex chunk) { return weights_.chunk_size(chunk); },
              {[this](const OriginRequest& request) {
                 return swarm_of(request.machine, request.version) != nullptr;
               },
               [this](const OriginRequest& request) {
                 receive(request.machine, request.version, std::nullopt, request.chunk,
                         weights_.content_of(request.version, request.chunk));
               },
               [this](const OriginRequest& request) { on_origin_failed(request); }}) {}

void SwarmTraffic::add_machine(MachineNumber machine) {
  numbers_[machines_[machine]->id] = machine;
}

Swarm* SwarmTraffic::swarm_of(MachineNumber machine, std::uint32_t version) {
  SimulatedMachine& holder = *machines_[machine];
  return holder.alive ? holder.swarms[version].get() : nullptr;
}

void SwarmTraffic::execute_actions(MachineNumber machine, std::uint32_t version,
                                   const SwarmActions& actions) {
  for (const SwarmAction& action : actions) {
    if (swarm_of(machine, version) == nullptr) return;
    std::visit([&](const auto& typed) { execute(machine, version, typed); }, action);
  }
  const Swarm* swarm = swarm_of(machine, version);
  if (swarm == nullptr) return;
  totals_.peak_agent_memory =
      std::max(totals_.peak_agent_memory, swarm->chunks_in_memory() * settings_.chunk_bytes);
}

void SwarmTraffic::message(MachineNumber from, PeerId to, std::uint32_t version,
                           std::function<void(Swarm&, SwarmActions&)> deliver) {
  const auto number = numbers_.find(to);
  assert(number != numbers_.end());
  const MachineNumber receiver = number->second;
  ++totals_.messages;
  const bool reachable =
      machines_[receiver]->alive && network_.connected(from, receiver, events_.now());
  if (!reachable) {
    events_.schedule_in(kUnreachableDetectionDelay,
                        [this, from, to] { report_peer_lost(from, to); });
    return;
  }
  const TimePoint arrival = network_.message(from, receiver, events_.now());
  events_.schedule_at(arrival, [this, receiver, version, deliver = std::move(deliver)] {
    Swarm* swarm = swarm_of(receiver, version);
    if (swarm == nullptr) return;
    SwarmActions actions;
    deliver(*swarm, actions);
    execute_actions(receiver, version, actions);
  });
}

void SwarmTraffic::report_peer_lost(MachineNumber machine, PeerId peer) {
  for (std::uint32_t version = 0; version < kVersions; ++version) {
    Swarm* swarm = swarm_of(machine, version);
    if (swarm == nullptr) continue;
    SwarmActions actions;
    swarm->on_peer_lost(peer, events_.now(), actions);
    execute_actions(machine, version, actions);
  }
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version,
                           const RequestFromPeer& action) {
  const PeerId self = machines_[machine]->id;
  const MachineNumber receiver = numbers_.at(action.peer);
  // A machine without this version refuses the request, as an agent daemon does.
  if (machines_[receiver]->alive && machines_[receiver]->swarms[version] == nullptr) {
    const TimePoint back = network_.message(receiver, machine, events_.now());
    events_.schedule_at(back, [this, machine, version, action] {
      Swarm* swarm = swarm_of(machine, version);
      if (swarm == nullptr) return;
      SwarmActions actions;
      swarm->on_refused(action.peer, action.chunk, events_.now(), actions);
      execute_actions(machine, version, actions);
    });
    return;
  }
  message(machine, action.peer, version, [this, self, action](Swarm& swarm, SwarmActions& actions) {
    swarm.on_request(self, action.chunk, action.progress, events_.now(), actions);
  });
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version,
                           const CancelFromPeer& action) {
  const PeerId self = machines_[machine]->id;
  message(machine, action.peer, version,
          [self, action](Swarm& swarm, SwarmActions&) { swarm.on_cancel(self, action.chunk); });
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version,
                           const RequestFromOrigin& action) {
  origin_.request({machine, version, action.chunk});
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version,
                           const CancelFromOrigin& action) {
  origin_.cancel({machine, version, action.chunk});
}

void SwarmTraffic::on_origin_failed(const OriginRequest& request) {
  Swarm* swarm = swarm_of(request.machine, request.version);
  if (swarm == nullptr) return;
  SwarmActions actions;
  swarm->on_origin_failed(request.chunk, seconds(1), events_.now(), actions);
  execute_actions(request.machine, request.version, actions);
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version, const SendChunk& action) {
  const std::uint64_t bytes = weights_.chunk_size(action.chunk);
  const MachineNumber receiver = numbers_.at(action.peer);
  const TimePoint sent = network_.send(machine, bytes, events_.now());
  events_.schedule_at(sent, [this, machine, receiver, version, action, bytes] {
    SimulatedMachine& sender = *machines_[machine];
    if (!sender.alive) return;  // The sender died during the transfer.
    const bool held = !sender.staged[version].empty();
    const ContentId content = held ? sender.staged[version][action.chunk] : 0;
    if (Swarm* swarm = swarm_of(machine, version)) {
      SwarmActions actions;
      swarm->on_sent(events_.now(), actions);
      execute_actions(machine, version, actions);
    }
    if (!held) return;
    const bool reachable =
        machines_[receiver]->alive && network_.connected(machine, receiver, events_.now());
    if (!reachable) {
      events_.schedule_in(kUnreachableDetectionDelay,
                          [this, machine, action] { report_peer_lost(machine, action.peer); });
      return;
    }
    const TimePoint arrived = network_.deliver(machine, receiver, bytes, events_.now());
    const ContentId carried = faults_.corrupting[machine] ? 0 : content;
    const PeerId source = sender.id;
    events_.schedule_at(
        arrived, [this, machine, receiver, version, action, bytes, carried, source] {
          totals_.peer_bytes += bytes;
          if (machines_[machine]->location.region != machines_[receiver]->location.region) {
            totals_.inter_region_bytes += bytes;
          }
          receive(receiver, version, source, action.chunk, carried);
        });
  });
}

void SwarmTraffic::receive(MachineNumber machine, std::uint32_t version,
                           std::optional<PeerId> source, ChunkIndex chunk, ContentId content) {
  Swarm* swarm = swarm_of(machine, version);
  if (swarm == nullptr) return;
  std::bernoulli_distribution corrupted(settings_.faults.corrupt_fraction);
  const bool intact = content == weights_.content_of(version, chunk) && !corrupted(random_);
  // A chunk that fails verification is not written to the engine.
  if (intact) machines_[machine]->staged[version][chunk] = content;
  SwarmActions actions;
  swarm->on_chunk(source, chunk, intact ? ChunkArrival::verified : ChunkArrival::corrupt,
                  events_.now(), actions);
  execute_actions(machine, version, actions);
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version,
                           const RefuseChunk& action) {
  const PeerId self = machines_[machine]->id;
  message(machine, action.peer, version, [this, self, action](Swarm& swarm, SwarmActions& actions) {
    swarm.on_refused(self, action.chunk, events_.now(), actions);
  });
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version,
                           const AnnounceChunks& action) {
  // One event for all neighbours in a zone, because most messages are announcements.
  const auto chunks = std::make_shared<const std::vector<ChunkIndex>>(action.chunks);
  std::map<std::uint32_t, std::vector<MachineNumber>> by_zone;
  for (const PeerId peer : action.peers) {
    const MachineNumber receiver = numbers_.at(peer);
    ++totals_.messages;
    if (machines_[receiver]->alive && network_.connected(machine, receiver, events_.now())) {
      by_zone[machines_[receiver]->location.zone].push_back(receiver);
    } else {
      events_.schedule_in(kUnreachableDetectionDelay,
                          [this, machine, peer] { report_peer_lost(machine, peer); });
    }
  }
  for (const auto& entry : by_zone) {
    const std::vector<MachineNumber>& receivers = entry.second;
    const TimePoint arrival = network_.message(machine, receivers.front(), events_.now());
    events_.schedule_at(arrival, [this, machine, version, chunks, receivers] {
      for (const MachineNumber receiver : receivers)
        receive_announcement(receiver, machine, version, *chunks);
    });
  }
}

void SwarmTraffic::receive_announcement(MachineNumber receiver, MachineNumber sender,
                                        std::uint32_t version,
                                        const std::vector<ChunkIndex>& chunks) {
  Swarm* swarm = swarm_of(receiver, version);
  if (swarm == nullptr) return;
  SwarmActions actions;
  swarm->on_peer_has(machines_[sender]->id, chunks, events_.now(), actions);
  execute_actions(receiver, version, actions);
}

void SwarmTraffic::execute(MachineNumber machine, std::uint32_t version, const JoinPeer& action) {
  send_join(machine, action.peer, version, false);
}

void SwarmTraffic::send_join(MachineNumber from, PeerId to, std::uint32_t version, bool reply) {
  const PeerId self = machines_[from]->id;
  const auto held = std::make_shared<const ChunkSet>(machines_[from]->swarms[version]->have());
  const MachineNumber receiver = numbers_.at(to);
  message(from, to, version,
          [this, self, held, receiver, version, reply](Swarm& swarm, SwarmActions& actions) {
            swarm.on_peer_joined(self, *held, events_.now(), actions);
            if (!reply) send_join(receiver, self, version, true);
          });
}

}  // namespace pumicemast::simulation
