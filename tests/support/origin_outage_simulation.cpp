#include "support/origin_outage_simulation.h"

#include <algorithm>

#include "common/hash.h"
#include "host/download/download_tuning.h"

namespace pumicemast::tests {
namespace {

constexpr Duration kStep = milliseconds(5);
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kNetworkDelay = milliseconds(3);
/// From the end of an agent until the others notice that its connections are lost.
constexpr Duration kDisconnectDelay = milliseconds(100);
/// Interval at which the agents get the list of swarm members.
constexpr Duration kMembershipInterval = milliseconds(1600);
constexpr std::uint64_t kVersion = 2;

}  // namespace

OriginOutageSimulation::OriginOutageSimulation(const OriginOutageSettings& settings)
    : settings_(settings), random_(settings.seed) {
  for (std::uint32_t index = 0; index < settings_.agents; ++index) add_agent();
}

void OriginOutageSimulation::add_agent() {
  auto agent = std::make_unique<Agent>();
  const std::size_t index = agents_.size();
  agent->id = stable_hash(std::uint64_t{index}, std::uint64_t{settings_.seed});
  agent->region = static_cast<std::uint32_t>(index % settings_.regions);
  agent->swarm = std::make_unique<Swarm>(
      download_options(agent->id, kVersion, settings_.agents, settings_.origin_connections),
      ChunkSet(settings_.chunks));
  by_id_[agent->id] = index;
  agents_.push_back(std::move(agent));
}

void OriginOutageSimulation::replace_agent(std::size_t index) {
  agents_[index]->alive = false;
  std::erase_if(calls_, [&](const OriginCall& call) { return call.agent == index; });
  const PeerId lost = agents_[index]->id;
  for (std::size_t other = 0; other < agents_.size(); ++other) {
    at(now_ + kDisconnectDelay, [this, other, lost] {
      with_agent(other, [&](Agent& agent, SwarmActions& actions) {
        agent.swarm->on_peer_lost(lost, now_, actions);
      });
    });
  }
  add_agent();
  const std::size_t added = agents_.size() - 1;
  agents_[added]->region = agents_[index]->region;
  with_agent(added, [&](Agent& agent, SwarmActions& actions) {
    agent.swarm->on_membership(members(), now_, actions);
  });
}

std::shared_ptr<const SwarmMembership> OriginOutageSimulation::members() const {
  std::vector<SwarmParticipant> participants;
  for (const auto& agent : agents_) {
    if (agent->alive) participants.push_back({agent->id, agent->region, agent->region});
  }
  return std::make_shared<SwarmMembership>(std::move(participants), kVersion, settings_.chunks);
}

bool OriginOutageSimulation::origin_unreachable() const {
  return now_ >= start_ + settings_.outage_start && now_ < start_ + settings_.outage_end;
}

OriginOutageResult OriginOutageSimulation::run() {
  const auto distribute_membership = [this] {
    const auto list = members();
    for (std::size_t index = 0; index < agents_.size(); ++index) {
      with_agent(index, [&](Agent& agent, SwarmActions& actions) {
        agent.swarm->on_membership(list, now_, actions);
      });
    }
  };
  for (TimePoint time = start_; time < start_ + settings_.max_run_time;
       time += kMembershipInterval) {
    at(time, distribute_membership);
  }
  for (std::uint32_t count = 0; count < settings_.replaced_agents; ++count) {
    const TimePoint time =
        start_ + settings_.replacement_period * count / settings_.replaced_agents;
    at(time, [this] {
      std::size_t replaced = random_() % agents_.size();
      while (!agents_[replaced]->alive) replaced = random_() % agents_.size();
      replace_agent(replaced);
    });
  }
  const auto all_complete = [this] {
    return std::all_of(agents_.begin(), agents_.end(),
                       [](const auto& agent) { return !agent->alive || agent->complete_at; });
  };
  const TimePoint churn_ends = start_ + settings_.replacement_period;
  TimePoint next_tick = start_;
  while (now_ < start_ + settings_.max_run_time && (now_ < churn_ends || !all_complete())) {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    step_origin();
    step_uplinks();
    if (now_ < next_tick) continue;
    next_tick += kTickInterval;
    for (std::size_t index = 0; index < agents_.size(); ++index) {
      with_agent(index,
                 [&](Agent& agent, SwarmActions& actions) { agent.swarm->on_tick(now_, actions); });
    }
  }
  record_completions();
  return result_;
}

void OriginOutageSimulation::record_completions() {
  std::vector<double> times;
  for (const auto& agent : agents_) {
    if (!agent->alive) continue;
    if (agent->complete_at) {
      times.push_back(to_seconds(*agent->complete_at - start_));
    } else {
      ++result_.incomplete;
    }
  }
  if (times.empty()) return;
  std::sort(times.begin(), times.end());
  const auto at_fraction = [&](double fraction) {
    return times[static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1))];
  };
  result_.first_complete_s = times.front();
  result_.half_complete_s = at_fraction(0.5);
  result_.p90_complete_s = at_fraction(0.9);
  result_.last_complete_s = times.back();
}

void OriginOutageSimulation::step_origin() {
  if (origin_unreachable()) {
    const auto lost = std::move(calls_);
    calls_.clear();
    for (const OriginCall& call : lost) fail_origin(call.agent, call.chunk);
    return;
  }
  if (calls_.empty()) return;
  const double bytes = settings_.origin_bytes_per_second * to_seconds(kStep);
  const double bytes_per_call = bytes / static_cast<double>(calls_.size());
  const double copy_bytes = settings_.chunk_bytes * settings_.chunks * settings_.origin_overhead;
  for (OriginCall& call : calls_) call.bytes_left -= bytes_per_call;
  result_.origin_copies += bytes / copy_bytes;
  std::vector<OriginCall> arrived;
  for (const OriginCall& call : calls_) {
    if (call.bytes_left <= 0) arrived.push_back(call);
  }
  std::erase_if(calls_, [](const OriginCall& call) { return call.bytes_left <= 0; });
  for (const OriginCall& call : arrived) {
    with_agent(call.agent, [&](Agent& agent, SwarmActions& actions) {
      agent.origin_failures = 0;
      agent.swarm->on_chunk(std::nullopt, call.chunk, ChunkArrival::verified, now_, actions);
    });
  }
}

void OriginOutageSimulation::step_uplinks() {
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    Agent& agent = *agents_[index];
    double bytes = settings_.link_bytes_per_second * to_seconds(kStep);
    while (agent.alive && bytes > 0 && !agent.uplink.empty()) {
      const double taken = std::min(bytes, agent.uplink_bytes_left);
      bytes -= taken;
      agent.uplink_bytes_left -= taken;
      if (agent.uplink_bytes_left > 0) break;
      const SendChunk sent = agent.uplink.front();
      agent.uplink.pop_front();
      agent.uplink_bytes_left = agent.uplink.empty() ? 0 : settings_.chunk_bytes;
      const PeerId sender = agent.id;
      send_to(sent.peer, [this, sender, sent](Agent& receiver, SwarmActions& actions) {
        receiver.swarm->on_chunk(sender, sent.chunk, ChunkArrival::verified, now_, actions);
      });
      at(now_ + 2 * kNetworkDelay, [this, index] {
        with_agent(index,
                   [&](Agent& own, SwarmActions& actions) { own.swarm->on_sent(now_, actions); });
      });
    }
  }
}

void OriginOutageSimulation::with_agent(std::size_t index,
                                        const std::function<void(Agent&, SwarmActions&)>& task) {
  if (!agents_[index]->alive) return;
  SwarmActions actions;
  task(*agents_[index], actions);
  execute_actions(index, actions);
}

void OriginOutageSimulation::send_to(PeerId peer, std::function<void(Agent&, SwarmActions&)> task) {
  const auto found = by_id_.find(peer);
  if (found == by_id_.end()) return;
  at(now_ + kNetworkDelay,
     [this, index = found->second, task = std::move(task)] { with_agent(index, task); });
}

void OriginOutageSimulation::execute_actions(std::size_t index, const SwarmActions& actions) {
  for (const SwarmAction& action : actions) {
    std::visit([&](const auto& typed) { execute(index, typed); }, action);
  }
}

void OriginOutageSimulation::fail_origin(std::size_t index, ChunkIndex chunk) {
  at(now_ + 2 * kNetworkDelay, [this, index, chunk] {
    with_agent(index, [&](Agent& agent, SwarmActions& actions) {
      const Duration pause = origin_retry_delay(agent.id, ++agent.origin_failures);
      agent.swarm->on_origin_failed(chunk, pause, now_, actions);
    });
  });
}

void OriginOutageSimulation::execute(std::size_t index, const RequestFromPeer& action) {
  const PeerId requester = agents_[index]->id;
  send_to(action.peer, [this, requester, action](Agent& agent, SwarmActions& actions) {
    agent.swarm->on_request(requester, action.chunk, action.progress, now_, actions);
  });
}

void OriginOutageSimulation::execute(std::size_t index, const CancelFromPeer& action) {
  const PeerId requester = agents_[index]->id;
  send_to(action.peer, [requester, action](Agent& agent, SwarmActions&) {
    agent.swarm->on_cancel(requester, action.chunk);
  });
}

void OriginOutageSimulation::execute(std::size_t index, const RequestFromOrigin& action) {
  const bool refused = origin_unreachable() || calls_.size() >= settings_.origin_connections;
  if (refused) {
    ++result_.refused_calls;
    fail_origin(index, action.chunk);
  } else {
    calls_.push_back({index, action.chunk, settings_.chunk_bytes * settings_.origin_overhead});
  }
}

void OriginOutageSimulation::execute(std::size_t index, const CancelFromOrigin& action) {
  std::erase_if(calls_, [&](const OriginCall& call) {
    return call.agent == index && call.chunk == action.chunk;
  });
}

void OriginOutageSimulation::execute(std::size_t index, const SendChunk& action) {
  Agent& agent = *agents_[index];
  if (agent.uplink.empty()) agent.uplink_bytes_left = settings_.chunk_bytes;
  agent.uplink.push_back(action);
}

void OriginOutageSimulation::execute(std::size_t index, const RefuseChunk& action) {
  const PeerId refusing = agents_[index]->id;
  send_to(action.peer, [this, refusing, action](Agent& agent, SwarmActions& actions) {
    agent.swarm->on_refused(refusing, action.chunk, now_, actions);
  });
}

void OriginOutageSimulation::execute(std::size_t index, const AnnounceChunks& action) {
  const PeerId holder = agents_[index]->id;
  for (const PeerId peer : action.peers) {
    send_to(peer, [this, holder, chunks = action.chunks](Agent& agent, SwarmActions& actions) {
      agent.swarm->on_peer_has(holder, chunks, now_, actions);
    });
  }
}

void OriginOutageSimulation::execute(std::size_t index, const JoinPeer& action) {
  const PeerId joining = agents_[index]->id;
  const ChunkSet held = agents_[index]->swarm->have();
  send_to(action.peer, [this, joining, held](Agent& agent, SwarmActions& actions) {
    agent.swarm->on_peer_joined(joining, held, now_, actions);
    const PeerId own = agent.id;
    const ChunkSet own_held = agent.swarm->have();
    send_to(joining, [this, own, own_held](Agent& joined, SwarmActions& joined_actions) {
      joined.swarm->on_peer_joined(own, own_held, now_, joined_actions);
    });
  });
}

void OriginOutageSimulation::execute(std::size_t index, const SwarmComplete&) {
  agents_[index]->complete_at = now_;
}

}  // namespace pumicemast::tests
