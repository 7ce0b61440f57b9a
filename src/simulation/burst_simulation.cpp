#include "simulation/burst_simulation.h"

#include <algorithm>
#include <cassert>

#include "common/hash.h"
#include "simulation/fleet_layout.h"

namespace pumicemast::simulation {
namespace {

constexpr char kModel[] = "model";
/// How long the entries take to see that a machine died.
constexpr Duration kDeathSeenAfter = seconds(3);
/// Orders reach the agents within this time of being accepted.
constexpr std::int64_t kOrderSpreadUs = 50000;
constexpr Duration kIdleTick = seconds(1);
constexpr int kSamplesPerAllowedTime = 100;
constexpr std::uint32_t kVersions = 2;

std::string digest_of(std::uint32_t version) { return "digest-" + std::to_string(version); }

std::uint32_t version_of(const std::string& digest) { return digest == digest_of(0) ? 0 : 1; }

}  // namespace

/// One simulated machine: the production cores and what its engine really holds.
struct BurstSimulation::Agent {
  explicit Agent(const StateChart& chart) : replicas(chart) {}

  PeerId id = 0;
  MachinePlace place;
  bool alive = true;
  ReplicaManager replicas;
  std::unique_ptr<Swarm> swarms[kVersions];
  std::vector<ContentId> staged[kVersions];  ///< What the engine's memory holds.
  bool ticking = false;
  double live_at_s = -1;  ///< Of the wanted version.
};

BurstSimulation::BurstSimulation(const BurstSettings& settings, const StateChart& replica_chart)
    : settings_(settings),
      replica_chart_(replica_chart),
      random_(settings_.seed),
      faults_(FaultSchedule::draw(settings_)),
      network_(settings_.network, place_machines(settings_), settings_.seed),
      origin_(events_, network_, [this](ChunkIndex chunk) { return chunk_size(chunk); },
              {[this](const OriginRequest& request) {
                 return swarm_of(request.machine, request.version) != nullptr;
               },
               [this](const OriginRequest& request) {
                 receive(request.machine, request.version, std::nullopt, request.chunk,
                         content_of(request.version, request.chunk));
               },
               [this](const OriginRequest& request) { on_origin_failed(request); }}),
      end_(TimePoint(from_seconds(settings_.allowed_s * settings_.time_limit_share))) {
  const std::vector<MachinePlace> places = place_machines(settings_);
  std::vector<SwarmParticipant> participants;
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    auto agent = std::make_unique<Agent>(replica_chart_);
    agent->id = stable_hash(std::uint64_t{machine}, settings_.seed);
    agent->place = places[machine];
    numbers_[agent->id] = machine;
    participants.push_back({agent->id, agent->place.region, agent->place.zone});
    agents_.push_back(std::move(agent));
  }
  alive_ = settings_.machines;
  membership_ = std::make_shared<SwarmMembership>(std::move(participants), settings_.seed);
  shared_chunks_.resize(settings_.chunk_count());
  std::bernoulli_distribution is_shared(settings_.supersede.shared_chunks);
  for (ChunkIndex chunk = 0; chunk < settings_.chunk_count(); ++chunk) {
    shared_chunks_[chunk] = is_shared(random_);
  }
}

BurstSimulation::~BurstSimulation() = default;

BurstSimulation::ContentId BurstSimulation::content_of(std::uint32_t version,
                                                       ChunkIndex chunk) const {
  const bool own_content = version == 1 && !shared_chunks_[chunk];
  // 0 stands for nothing held.
  return 1 + chunk + (own_content ? settings_.chunk_count() : 0);
}

std::uint64_t BurstSimulation::chunk_size(ChunkIndex chunk) const {
  const std::uint64_t begin = std::uint64_t{chunk} * settings_.chunk_bytes;
  return std::min(settings_.chunk_bytes, settings_.model_bytes - begin);
}

Swarm* BurstSimulation::swarm_of(MachineNumber machine, std::uint32_t version) {
  Agent& agent = *agents_[machine];
  return agent.alive ? agent.swarms[version].get() : nullptr;
}

// ---- the run ----

BurstResult BurstSimulation::run() {
  schedule_faults();
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    const Duration delay(static_cast<Duration::rep>(random_() % kOrderSpreadUs));
    events_.schedule_in(delay, [this, machine] { order(machine, 0); });
  }
  if (settings_.supersede.at_share > 0) {
    events_.schedule_at(TimePoint(from_seconds(settings_.supersede.at_share * settings_.allowed_s)),
                        [this] { supersede(); });
  }
  sample();
  while (!finished() && events_.now() < end_ && events_.run_next()) {
  }
  sample();
  for (const auto& agent : agents_) {
    result_.survived.push_back(agent->alive);
    if (!agent->alive) continue;
    ++result_.survivors;
    if (agent->live_at_s >= 0) {
      result_.live_times_s.push_back(agent->live_at_s);
    } else {
      ++result_.never_live;
    }
  }
  for (const auto& agent : agents_) {
    for (const auto& swarm : agent->swarms) {
      if (!swarm) continue;
      const SwarmCounters& counters = swarm->counters();
      result_.duplicate_bytes += counters.duplicate_chunks * settings_.chunk_bytes;
      result_.corrupt_chunks += counters.corrupt_chunks;
      result_.request_timeouts += counters.request_timeouts;
      result_.takeovers += swarm->takeovers();
    }
  }
  std::sort(result_.live_times_s.begin(), result_.live_times_s.end());
  result_.origin_bytes = origin_.bytes_sent();
  result_.events = events_.executed();
  return std::move(result_);
}

bool BurstSimulation::finished() const {
  const bool version_is_final = settings_.supersede.at_share == 0 || wanted_version_ == 1;
  return version_is_final && live_wanted_ == alive_;
}

void BurstSimulation::sample() {
  result_.samples.push_back({to_seconds(events_.now().time_since_epoch()), live_wanted_, alive_,
                             origin_.bytes_sent(), result_.peer_bytes, result_.inter_region_bytes});
  if (finished()) return;
  events_.schedule_in(from_seconds(settings_.allowed_s / kSamplesPerAllowedTime),
                      [this] { sample(); });
}

void BurstSimulation::remember(const char* what, std::uint32_t subject) {
  result_.history.push_back(
      {to_seconds(events_.now().time_since_epoch()), what, subject, wanted_version_});
}

void BurstSimulation::schedule_faults() {
  faults_.apply_to(network_, settings_.faults);
  for (const ScheduledStall& stall : faults_.stalls) {
    events_.schedule_at(stall.from, [this, stall] { remember("stalled", stall.machine); });
  }
  if (faults_.has_cut) {
    events_.schedule_at(faults_.cut_from, [this] { remember("cut", faults_.cut_region); });
  }
  for (const auto& [time, machine] : faults_.deaths) {
    events_.schedule_at(time, [this, victim = machine] {
      if (alive_ > 1) die(victim);
    });
  }
}

void BurstSimulation::die(MachineNumber machine) {
  Agent& agent = *agents_[machine];
  if (!agent.alive) return;
  agent.alive = false;
  --alive_;
  if (agent.live_at_s >= 0) --live_wanted_;
  remember("died", machine);
  events_.schedule_in(kDeathSeenAfter, [this] { spread_membership(); });
}

void BurstSimulation::spread_membership() {
  std::vector<SwarmParticipant> participants;
  for (const auto& agent : agents_) {
    if (agent->alive) participants.push_back({agent->id, agent->place.region, agent->place.zone});
  }
  membership_ = std::make_shared<SwarmMembership>(std::move(participants), settings_.seed);
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    if (!agents_[machine]->alive) continue;
    // Each zone has entries of its own, which see their own machines' deaths; what happens
    // elsewhere reaches a region that is cut off only afterwards.
    if (!network_.connected(machine, kOrigin, events_.now())) continue;
    for (std::uint32_t version = 0; version < kVersions; ++version) {
      Swarm* swarm = swarm_of(machine, version);
      if (swarm == nullptr) continue;
      SwarmActions actions;
      swarm->on_membership(membership_, events_.now(), actions);
      carry_out(machine, version, actions);
    }
  }
}

void BurstSimulation::supersede() {
  const TimePoint now = events_.now();
  if (now >= faults_.api_down_from && now < faults_.api_down_until) {
    // Nothing is accepted while the object API is down.
    events_.schedule_at(faults_.api_down_until, [this] { supersede(); });
    return;
  }
  wanted_version_ = 1;
  live_wanted_ = 0;
  result_.last_order_s = to_seconds(now.time_since_epoch());
  for (const auto& agent : agents_) agent->live_at_s = -1;
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    const Duration delay(static_cast<Duration::rep>(random_() % kOrderSpreadUs));
    events_.schedule_in(delay, [this, machine] { order(machine, 1); });
  }
}

void BurstSimulation::order(MachineNumber machine, std::uint32_t version) {
  Agent& agent = *agents_[machine];
  if (!agent.alive) return;
  if (!network_.connected(machine, kOrigin, events_.now())) {
    events_.schedule_in(kUnreachableAfter, [this, machine, version] { order(machine, version); });
    return;
  }
  ReplicaOrder order;
  order.model = kModel;
  order.stage = {std::to_string(version), digest_of(version)};
  order.serve = order.stage;
  order.fence = version + 1;
  carry_out(machine, agent.replicas.on_orders({order}));
}

void BurstSimulation::tick(MachineNumber machine) {
  Agent& agent = *agents_[machine];
  if (!agent.alive) return;
  bool busy = false;
  for (std::uint32_t version = 0; version < kVersions; ++version) {
    Swarm* swarm = swarm_of(machine, version);
    if (swarm == nullptr) continue;
    SwarmActions actions;
    swarm->on_tick(events_.now(), actions);
    busy = busy || !swarm->complete();
    carry_out(machine, version, actions);
  }
  const Duration interval = busy ? settings_.swarm.announce_interval : kIdleTick;
  events_.schedule_in(interval, [this, machine] { tick(machine); });
}

// ---- replica actions ----

void BurstSimulation::carry_out(MachineNumber machine, const ReplicaActions& actions) {
  for (const ReplicaAction& action : actions) {
    std::visit([&](const auto& typed) { act(machine, typed); }, action);
  }
}

void BurstSimulation::act(MachineNumber machine, const StartFetch& action) {
  Agent& agent = *agents_[machine];
  const std::uint32_t version = version_of(action.version.digest);
  const ChunkIndex count = settings_.chunk_count();
  ChunkSet have(count);
  auto& staged = agent.staged[version];
  staged.resize(count, 0);
  const auto& other = agent.staged[1 - version];
  for (ChunkIndex chunk = 0; chunk < count; ++chunk) {
    // The agent copies what another version at this machine shares.
    if (!other.empty() && other[chunk] == content_of(version, chunk)) staged[chunk] = other[chunk];
    if (staged[chunk] == content_of(version, chunk)) have.insert(chunk);
  }
  SwarmOptions options = settings_.swarm;
  options.self = agent.id;
  options.seed = settings_.seed * kVersions + version;
  agent.swarms[version] = std::make_unique<Swarm>(options, std::move(have));
  SwarmActions actions;
  agent.swarms[version]->on_membership(membership_, events_.now(), actions);
  carry_out(machine, version, actions);
  if (agent.ticking) return;
  agent.ticking = true;
  tick(machine);
}

void BurstSimulation::act(MachineNumber machine, const StopFetch& action) {
  agents_[machine]->swarms[version_of(action.digest)].reset();
}

void BurstSimulation::act(MachineNumber machine, const CloseAdmission&) {
  // No requests are simulated here: the model is idle at once.
  events_.schedule_in(Duration(1), [this, machine] {
    Agent& agent = *agents_[machine];
    if (agent.alive) carry_out(machine, agent.replicas.on_idle(kModel));
  });
}

void BurstSimulation::act(MachineNumber, const OpenAdmission&) {}

void BurstSimulation::act(MachineNumber machine, const ActivateVersion& action) {
  Agent& agent = *agents_[machine];
  const std::uint32_t version = version_of(action.version.digest);
  for (ChunkIndex chunk = 0; chunk < settings_.chunk_count(); ++chunk) {
    // The engine would serve whatever is there: this is the check that nothing is missing.
    if (agent.staged[version][chunk] != content_of(version, chunk)) {
      ++result_.partial_or_mixed_served;
      break;
    }
  }
  carry_out(machine, agent.replicas.on_activated(kModel, action.version.digest, true, ""));
}

void BurstSimulation::act(MachineNumber machine, const DropVersion& action) {
  const std::uint32_t version = version_of(action.digest);
  agents_[machine]->swarms[version].reset();
  agents_[machine]->staged[version].clear();
}

void BurstSimulation::act(MachineNumber machine, const ReplicaChanged& action) {
  if (action.to != "LIVE") return;
  Agent& agent = *agents_[machine];
  const double now_s = to_seconds(events_.now().time_since_epoch());
  const auto version = static_cast<std::uint32_t>(std::stoul(action.version));
  result_.history.push_back({now_s, "live", machine, version});
  if (version != wanted_version_ || agent.live_at_s >= 0) return;
  agent.live_at_s = now_s;
  ++live_wanted_;
}

// ---- swarm actions ----

void BurstSimulation::carry_out(MachineNumber machine, std::uint32_t version,
                                const SwarmActions& actions) {
  for (const SwarmAction& action : actions) {
    if (swarm_of(machine, version) == nullptr) return;
    std::visit([&](const auto& typed) { act(machine, version, typed); }, action);
  }
  const Swarm* swarm = swarm_of(machine, version);
  if (swarm == nullptr) return;
  result_.peak_agent_memory =
      std::max(result_.peak_agent_memory, swarm->chunks_in_memory() * settings_.chunk_bytes);
}

void BurstSimulation::message(MachineNumber from, PeerId to, std::uint32_t version,
                              std::function<void(Swarm&, SwarmActions&)> deliver) {
  const auto number = numbers_.find(to);
  assert(number != numbers_.end());
  const MachineNumber receiver = number->second;
  ++result_.messages;
  const bool reachable =
      agents_[receiver]->alive && network_.connected(from, receiver, events_.now());
  if (!reachable) {
    events_.schedule_in(kUnreachableAfter, [this, from, to] { lose_peer(from, to); });
    return;
  }
  const TimePoint arrival = network_.message(from, receiver, events_.now());
  events_.schedule_at(arrival, [this, receiver, version, deliver = std::move(deliver)] {
    Swarm* swarm = swarm_of(receiver, version);
    if (swarm == nullptr) return;
    SwarmActions actions;
    deliver(*swarm, actions);
    carry_out(receiver, version, actions);
  });
}

void BurstSimulation::lose_peer(MachineNumber machine, PeerId peer) {
  for (std::uint32_t version = 0; version < kVersions; ++version) {
    Swarm* swarm = swarm_of(machine, version);
    if (swarm == nullptr) continue;
    SwarmActions actions;
    swarm->on_peer_lost(peer, events_.now(), actions);
    carry_out(machine, version, actions);
  }
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version,
                          const RequestFromPeer& action) {
  const PeerId self = agents_[machine]->id;
  const MachineNumber receiver = numbers_.at(action.peer);
  // A peer without this version refuses, as the daemon's shell does.
  if (agents_[receiver]->alive && agents_[receiver]->swarms[version] == nullptr) {
    const TimePoint back = network_.message(receiver, machine, events_.now());
    events_.schedule_at(back, [this, machine, version, action] {
      Swarm* swarm = swarm_of(machine, version);
      if (swarm == nullptr) return;
      SwarmActions actions;
      swarm->on_refused(action.peer, action.chunk, events_.now(), actions);
      carry_out(machine, version, actions);
    });
    return;
  }
  message(machine, action.peer, version, [this, self, action](Swarm& swarm, SwarmActions& actions) {
    swarm.on_request(self, action.chunk, action.progress, events_.now(), actions);
  });
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version,
                          const CancelFromPeer& action) {
  const PeerId self = agents_[machine]->id;
  message(machine, action.peer, version,
          [self, action](Swarm& swarm, SwarmActions&) { swarm.on_cancel(self, action.chunk); });
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version,
                          const RequestFromOrigin& action) {
  origin_.request({machine, version, action.chunk});
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version,
                          const CancelFromOrigin& action) {
  origin_.cancel({machine, version, action.chunk});
}

void BurstSimulation::on_origin_failed(const OriginRequest& request) {
  Swarm* swarm = swarm_of(request.machine, request.version);
  if (swarm == nullptr) return;
  SwarmActions actions;
  swarm->on_origin_failed(request.chunk, seconds(1), events_.now(), actions);
  carry_out(request.machine, request.version, actions);
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version, const SendChunk& action) {
  const std::uint64_t bytes = chunk_size(action.chunk);
  const MachineNumber receiver = numbers_.at(action.peer);
  const TimePoint sent = network_.send(machine, bytes, events_.now());
  events_.schedule_at(sent, [this, machine, receiver, version, action, bytes] {
    Agent& sender = *agents_[machine];
    if (!sender.alive) return;  // Died in mid-transfer.
    const bool held = !sender.staged[version].empty();
    const ContentId content = held ? sender.staged[version][action.chunk] : 0;
    if (Swarm* swarm = swarm_of(machine, version)) {
      SwarmActions actions;
      swarm->on_sent(events_.now(), actions);
      carry_out(machine, version, actions);
    }
    if (!held) return;
    const bool reachable =
        agents_[receiver]->alive && network_.connected(machine, receiver, events_.now());
    if (!reachable) {
      events_.schedule_in(kUnreachableAfter,
                          [this, machine, action] { lose_peer(machine, action.peer); });
      return;
    }
    const TimePoint arrived = network_.deliver(machine, receiver, bytes, events_.now());
    const ContentId carried = faults_.corrupting[machine] ? 0 : content;
    const PeerId source = sender.id;
    events_.schedule_at(arrived,
                        [this, machine, receiver, version, action, bytes, carried, source] {
                          result_.peer_bytes += bytes;
                          if (agents_[machine]->place.region != agents_[receiver]->place.region) {
                            result_.inter_region_bytes += bytes;
                          }
                          receive(receiver, version, source, action.chunk, carried);
                        });
  });
}

void BurstSimulation::receive(MachineNumber machine, std::uint32_t version,
                              std::optional<PeerId> source, ChunkIndex chunk, ContentId content) {
  Swarm* swarm = swarm_of(machine, version);
  if (swarm == nullptr) return;
  std::bernoulli_distribution corrupted(settings_.faults.corrupt_share);
  const bool intact = content == content_of(version, chunk) && !corrupted(random_);
  // What fails verification never reaches the engine.
  if (intact) agents_[machine]->staged[version][chunk] = content;
  SwarmActions actions;
  swarm->on_chunk(source, chunk, intact ? ChunkArrival::verified : ChunkArrival::corrupt,
                  events_.now(), actions);
  carry_out(machine, version, actions);
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version, const RefuseChunk& action) {
  const PeerId self = agents_[machine]->id;
  message(machine, action.peer, version, [this, self, action](Swarm& swarm, SwarmActions& actions) {
    swarm.on_refused(self, action.chunk, events_.now(), actions);
  });
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version,
                          const AnnounceChunks& action) {
  // One event for all neighbours of a zone: announcements are most of what is sent.
  const auto chunks = std::make_shared<const std::vector<ChunkIndex>>(action.chunks);
  std::map<std::uint32_t, std::vector<MachineNumber>> by_zone;
  for (const PeerId peer : action.peers) {
    const MachineNumber receiver = numbers_.at(peer);
    ++result_.messages;
    if (agents_[receiver]->alive && network_.connected(machine, receiver, events_.now())) {
      by_zone[agents_[receiver]->place.zone].push_back(receiver);
    } else {
      events_.schedule_in(kUnreachableAfter, [this, machine, peer] { lose_peer(machine, peer); });
    }
  }
  for (const auto& entry : by_zone) {
    const std::vector<MachineNumber>& receivers = entry.second;
    const TimePoint arrival = network_.message(machine, receivers.front(), events_.now());
    events_.schedule_at(arrival, [this, machine, version, chunks, receivers] {
      for (const MachineNumber receiver : receivers) hear(receiver, machine, version, *chunks);
    });
  }
}

void BurstSimulation::hear(MachineNumber receiver, MachineNumber sender, std::uint32_t version,
                           const std::vector<ChunkIndex>& chunks) {
  Swarm* swarm = swarm_of(receiver, version);
  if (swarm == nullptr) return;
  SwarmActions actions;
  swarm->on_peer_has(agents_[sender]->id, chunks, events_.now(), actions);
  carry_out(receiver, version, actions);
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version, const JoinPeer& action) {
  send_join(machine, action.peer, version, false);
}

void BurstSimulation::send_join(MachineNumber from, PeerId to, std::uint32_t version, bool reply) {
  const PeerId self = agents_[from]->id;
  const auto held = std::make_shared<const ChunkSet>(agents_[from]->swarms[version]->have());
  const MachineNumber receiver = numbers_.at(to);
  message(from, to, version,
          [this, self, held, receiver, version, reply](Swarm& swarm, SwarmActions& actions) {
            swarm.on_peer_joined(self, *held, events_.now(), actions);
            if (!reply) send_join(receiver, self, version, true);
          });
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t version, const SwarmComplete&) {
  // From the queue: the replica core may end this swarm, whose actions are being carried out.
  events_.schedule_in(Duration(0), [this, machine, version] {
    Agent& agent = *agents_[machine];
    if (agent.alive) carry_out(machine, agent.replicas.on_verified(digest_of(version)));
  });
}

void BurstSimulation::act(MachineNumber machine, std::uint32_t, const PeerAvoided&) {
  remember("avoided", machine);
}

}  // namespace pumicemast::simulation
