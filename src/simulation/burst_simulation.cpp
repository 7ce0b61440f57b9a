#include "simulation/burst_simulation.h"

#include <algorithm>
#include <cassert>

#include "common/hash.h"
#include "simulation/fleet_layout.h"

namespace pumicemast::simulation {
namespace {

constexpr char kModel[] = "model";
/// Time until the entries detect that a machine died.
constexpr Duration kDeathDetectionDelay = seconds(3);
/// Longest time from the acceptance of an order until an agent receives it, in microseconds.
constexpr std::int64_t kMaximumOrderDelayUs = 50000;
constexpr Duration kIdleTick = seconds(1);
constexpr int kSamplesPerAllowedTime = 100;

std::string digest_of(std::uint32_t version) { return "digest-" + std::to_string(version); }

std::uint32_t version_of(const std::string& digest) { return digest == digest_of(0) ? 0 : 1; }

/// For each chunk, whether both versions have the same bytes in it.
std::vector<bool> choose_shared_chunks(const BurstSettings& settings, std::mt19937_64& random) {
  std::vector<bool> shared(settings.chunk_count());
  std::bernoulli_distribution is_shared(settings.supersede.shared_chunks);
  for (ChunkIndex chunk = 0; chunk < settings.chunk_count(); ++chunk) {
    shared[chunk] = is_shared(random);
  }
  return shared;
}

}  // namespace

BurstSimulation::BurstSimulation(const BurstSettings& settings, const StateChart& replica_chart)
    : settings_(settings),
      replica_chart_(replica_chart),
      random_(settings_.seed),
      faults_(FaultSchedule::generate(settings_)),
      weights_(settings_, choose_shared_chunks(settings_, random_)),
      traffic_(settings_, faults_, weights_, machines_, events_, random_,
               {[this](MachineNumber machine, std::uint32_t version) {
                  on_swarm_complete(machine, version);
                },
                [this](MachineNumber machine) { record_event("avoided", machine); }}),
      end_(TimePoint(from_seconds(settings_.allowed_s * settings_.time_limit_factor))) {
  const std::vector<MachineLocation> locations = assign_locations(settings_);
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    auto added = std::make_unique<SimulatedMachine>(replica_chart_);
    added->id = stable_hash(std::uint64_t{machine}, settings_.seed);
    added->location = locations[machine];
    machines_.push_back(std::move(added));
    traffic_.add_machine(machine);
  }
  alive_ = settings_.machines;
  membership_ = alive_members();
}

BurstSimulation::~BurstSimulation() = default;

// ---- run ----

BurstResult BurstSimulation::run() {
  schedule_faults();
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    const Duration delay(static_cast<Duration::rep>(random_() % kMaximumOrderDelayUs));
    events_.schedule_in(delay, [this, machine] { order(machine, 0); });
  }
  if (settings_.supersede.at_fraction > 0) {
    events_.schedule_at(
        TimePoint(from_seconds(settings_.supersede.at_fraction * settings_.allowed_s)),
        [this] { supersede(); });
  }
  sample();
  while (!finished() && events_.now() < end_ && events_.run_next()) {
  }
  sample();
  for (const auto& agent : machines_) {
    result_.survived.push_back(agent->alive);
    if (!agent->alive) continue;
    ++result_.survivors;
    if (agent->live_at_s >= 0) {
      result_.live_times_s.push_back(agent->live_at_s);
    } else {
      ++result_.never_live;
    }
  }
  for (const auto& agent : machines_) {
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
  const TrafficTotals& totals = traffic_.totals();
  result_.peer_bytes = totals.peer_bytes;
  result_.inter_region_bytes = totals.inter_region_bytes;
  result_.messages = totals.messages;
  result_.peak_agent_memory = totals.peak_agent_memory;
  result_.origin_bytes = traffic_.origin_bytes();
  result_.events = events_.executed();
  return std::move(result_);
}

bool BurstSimulation::finished() const {
  const bool version_is_final = settings_.supersede.at_fraction == 0 || target_version_ == 1;
  return version_is_final && live_on_target_ == alive_;
}

void BurstSimulation::sample() {
  result_.samples.push_back({to_seconds(events_.now().time_since_epoch()), live_on_target_, alive_,
                             traffic_.origin_bytes(), traffic_.totals().peer_bytes,
                             traffic_.totals().inter_region_bytes});
  if (finished()) return;
  events_.schedule_in(from_seconds(settings_.allowed_s / kSamplesPerAllowedTime),
                      [this] { sample(); });
}

void BurstSimulation::record_event(const char* what, std::uint32_t subject) {
  result_.history.push_back(
      {to_seconds(events_.now().time_since_epoch()), what, subject, target_version_});
}

void BurstSimulation::schedule_faults() {
  faults_.apply_to(traffic_.network(), settings_.faults);
  for (const ScheduledStall& stall : faults_.stalls) {
    events_.schedule_at(stall.from, [this, stall] { record_event("stalled", stall.machine); });
  }
  if (faults_.has_isolation) {
    events_.schedule_at(faults_.isolated_from,
                        [this] { record_event("cut", faults_.isolated_region); });
  }
  for (const auto& [time, machine] : faults_.deaths) {
    events_.schedule_at(time, [this, killed = machine] {
      if (alive_ > 1) kill(killed);
    });
  }
}

void BurstSimulation::kill(MachineNumber machine) {
  SimulatedMachine& agent = *machines_[machine];
  if (!agent.alive) return;
  agent.alive = false;
  --alive_;
  if (agent.live_at_s >= 0) --live_on_target_;
  record_event("died", machine);
  events_.schedule_in(kDeathDetectionDelay, [this] { distribute_membership(); });
}

std::shared_ptr<const SwarmMembership> BurstSimulation::alive_members() const {
  std::vector<SwarmParticipant> participants;
  for (const auto& machine : machines_) {
    if (!machine->alive) continue;
    participants.push_back({machine->id, machine->location.region, machine->location.zone});
  }
  return std::make_shared<SwarmMembership>(std::move(participants), settings_.seed);
}

void BurstSimulation::distribute_membership() {
  membership_ = alive_members();
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    if (!machines_[machine]->alive) continue;
    // Each zone has its own entries, which detect the deaths of their own machines. An isolated
    // region learns of deaths elsewhere only after its isolation.
    if (!traffic_.network().connected(machine, kOrigin, events_.now())) continue;
    for (std::uint32_t version = 0; version < kVersions; ++version) {
      Swarm* swarm = traffic_.swarm_of(machine, version);
      if (swarm == nullptr) continue;
      SwarmActions actions;
      swarm->on_membership(membership_, events_.now(), actions);
      traffic_.execute_actions(machine, version, actions);
    }
  }
}

void BurstSimulation::supersede() {
  const TimePoint now = events_.now();
  if (now >= faults_.api_down_from && now < faults_.api_down_until) {
    // No order is accepted during an outage of the object API.
    events_.schedule_at(faults_.api_down_until, [this] { supersede(); });
    return;
  }
  target_version_ = 1;
  live_on_target_ = 0;
  result_.last_order_s = to_seconds(now.time_since_epoch());
  for (const auto& agent : machines_) agent->live_at_s = -1;
  for (MachineNumber machine = 0; machine < settings_.machines; ++machine) {
    const Duration delay(static_cast<Duration::rep>(random_() % kMaximumOrderDelayUs));
    events_.schedule_in(delay, [this, machine] { order(machine, 1); });
  }
}

void BurstSimulation::order(MachineNumber machine, std::uint32_t version) {
  SimulatedMachine& agent = *machines_[machine];
  if (!agent.alive) return;
  if (!traffic_.network().connected(machine, kOrigin, events_.now())) {
    events_.schedule_in(kUnreachableDetectionDelay,
                        [this, machine, version] { order(machine, version); });
    return;
  }
  ReplicaOrder order;
  order.model = kModel;
  order.stage = {std::to_string(version), digest_of(version)};
  order.serve = order.stage;
  order.fence = version + 1;
  execute_actions(machine, agent.replicas.on_orders({order}));
}

void BurstSimulation::tick(MachineNumber machine) {
  SimulatedMachine& agent = *machines_[machine];
  if (!agent.alive) return;
  bool busy = false;
  for (std::uint32_t version = 0; version < kVersions; ++version) {
    Swarm* swarm = traffic_.swarm_of(machine, version);
    if (swarm == nullptr) continue;
    SwarmActions actions;
    swarm->on_tick(events_.now(), actions);
    busy = busy || !swarm->complete();
    traffic_.execute_actions(machine, version, actions);
  }
  const Duration interval = busy ? settings_.swarm.announce_interval : kIdleTick;
  events_.schedule_in(interval, [this, machine] { tick(machine); });
}

// ---- replica actions ----

void BurstSimulation::execute_actions(MachineNumber machine, const ReplicaActions& actions) {
  for (const ReplicaAction& action : actions) {
    std::visit([&](const auto& typed) { execute(machine, typed); }, action);
  }
}

void BurstSimulation::execute(MachineNumber machine, const StartFetch& action) {
  SimulatedMachine& agent = *machines_[machine];
  const std::uint32_t version = version_of(action.version.digest);
  const ChunkIndex count = settings_.chunk_count();
  ChunkSet have(count);
  auto& staged = agent.staged[version];
  staged.resize(count, 0);
  const auto& other = agent.staged[1 - version];
  for (ChunkIndex chunk = 0; chunk < count; ++chunk) {
    // The agent copies the chunks that it shares with another version on this machine.
    if (!other.empty() && other[chunk] == weights_.content_of(version, chunk))
      staged[chunk] = other[chunk];
    if (staged[chunk] == weights_.content_of(version, chunk)) have.insert(chunk);
  }
  SwarmOptions options = settings_.swarm;
  options.self = agent.id;
  options.seed = settings_.seed * kVersions + version;
  agent.swarms[version] = std::make_unique<Swarm>(options, std::move(have));
  SwarmActions actions;
  agent.swarms[version]->on_membership(membership_, events_.now(), actions);
  traffic_.execute_actions(machine, version, actions);
  if (agent.ticking) return;
  agent.ticking = true;
  tick(machine);
}

void BurstSimulation::execute(MachineNumber machine, const StopFetch& action) {
  machines_[machine]->swarms[version_of(action.digest)].reset();
}

void BurstSimulation::execute(MachineNumber machine, const CloseAdmission&) {
  // The simulation has no requests, so the model becomes idle immediately.
  events_.schedule_in(Duration(1), [this, machine] {
    SimulatedMachine& agent = *machines_[machine];
    if (agent.alive) execute_actions(machine, agent.replicas.on_idle(kModel));
  });
}

void BurstSimulation::execute(MachineNumber, const OpenAdmission&) {}

void BurstSimulation::execute(MachineNumber machine, const ActivateVersion& action) {
  SimulatedMachine& agent = *machines_[machine];
  const std::uint32_t version = version_of(action.version.digest);
  for (ChunkIndex chunk = 0; chunk < settings_.chunk_count(); ++chunk) {
    // An engine serves whatever its memory holds, so check that every chunk is correct.
    if (agent.staged[version][chunk] != weights_.content_of(version, chunk)) {
      ++result_.partial_or_mixed_served;
      break;
    }
  }
  execute_actions(machine, agent.replicas.on_activated(kModel, action.version.digest, true, ""));
}

void BurstSimulation::execute(MachineNumber machine, const DropVersion& action) {
  const std::uint32_t version = version_of(action.digest);
  machines_[machine]->swarms[version].reset();
  machines_[machine]->staged[version].clear();
}

void BurstSimulation::execute(MachineNumber machine, const ReplicaChanged& action) {
  if (action.to != "LIVE") return;
  SimulatedMachine& agent = *machines_[machine];
  const double now_s = to_seconds(events_.now().time_since_epoch());
  const auto version = static_cast<std::uint32_t>(std::stoul(action.version));
  result_.history.push_back({now_s, "live", machine, version});
  if (version != target_version_ || agent.live_at_s >= 0) return;
  agent.live_at_s = now_s;
  ++live_on_target_;
}

void BurstSimulation::on_swarm_complete(MachineNumber machine, std::uint32_t version) {
  // Runs from the event queue because the replica manager may destroy this swarm, whose actions are
  // still being executed.
  events_.schedule_in(Duration(0), [this, machine, version] {
    SimulatedMachine& agent = *machines_[machine];
    if (agent.alive) execute_actions(machine, agent.replicas.on_verified(digest_of(version)));
  });
}

}  // namespace pumicemast::simulation
