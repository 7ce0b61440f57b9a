#include "rollout/rollout_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <random>

#include "support/backends.h"
#include "support/charts.h"

namespace pumicemast {
namespace {

constexpr char kModel[] = "forms";

/// Test fleet with stored objects and agents that follow their placement step by step.
class ScriptedFleet {
 public:
  explicit ScriptedFleet(std::uint32_t machines, unsigned seed = 1) : random_(seed) {
    for (std::uint32_t index = 0; index < machines; ++index) {
      const std::string name = "m" + std::to_string(index);
      directory_.on_hello(tests::hello(name, "z" + std::to_string(index % 3)), now_);
      report(name);
    }
    put(ModelVersion{kModel, "v1", "digest-v1", 400, 1});
    put(ModelVersion{kModel, "v2", "digest-v2", 400, 1});
  }

  template <class Object>
  void put(const Object& object) {
    apply({Object::kKind, object.name(), 0, to_json(object), false});
  }
  template <class Object>
  const Object& get(const std::string& name) const {
    return configuration_.find<Object>(name)->value;
  }
  bool has_stop(const std::string& machine) const {
    return configuration_.find<PlannedStop>(machine) != nullptr;
  }

  /// Makes one decision and applies all its writes.
  void decide() {
    const ControllerActions actions = controller_.decide(configuration_, directory_, term_, now_);
    for (const ControllerAction& action : actions) {
      std::visit([this](const auto& write) { store(write); }, action);
    }
    std::set<std::string> stopping;
    for (const auto& [machine, stop] : configuration_.all<PlannedStop>()) {
      if (stop.value.state != "REQUESTED") stopping.insert(machine);
    }
    directory_.on_planned_stops(stopping);
  }

  /// Each connected agent, with probability 1/one_in, takes a step towards its placement and
  /// reports.
  void step_agents(unsigned one_in = 1) {
    for (const auto& [name, backend] : directory_.all()) {
      if (backend.connected && random_() % one_in == 0) step_agent(name);
    }
  }

  void settle(int steps = 30) {
    for (int step = 0; step < steps; ++step) {
      now_ += milliseconds(200);
      decide();
      step_agents();
    }
  }

  std::uint32_t live(const std::string& version = "") const {
    std::uint32_t count = 0;
    for (const auto& [name, backend] : directory_.all()) {
      if (!directory_.accepts_work(backend, now_)) continue;
      const ReplicaView* replica = backend.live_replica(kModel);
      if (replica != nullptr && (version.empty() || replica->version == version)) ++count;
    }
    return count;
  }

  void kill(const std::string& machine) { directory_.on_disconnected(machine, now_); }
  void advance_time(Duration time) {
    now_ += time;
    for (const auto& [name, backend] : directory_.all()) {
      if (backend.connected) report(name);
    }
  }
  void new_term() {
    controller_.on_lease_acquired(now_);
    ++term_;
  }
  std::string state() const { return get<Rollout>(kModel).state; }
  const Placement& placement() const { return get<Placement>(kModel); }

 private:
  struct Agent {
    std::string live;
    std::string staged;
  };

  void store(const WritePlacement& write) { put(write.placement); }
  void store(const WriteRollout& write) { put(write.rollout); }
  void store(const WritePlannedStop& write) { put(write.stop); }
  void apply(StoredObject object) {
    object.version = ++revision_;
    configuration_.apply_events(revision_, {object});
  }

  void step_agent(const std::string& name) {
    Agent& agent = agents_[name];
    MachinePlacement held;
    if (const auto* placement = configuration_.find<Placement>(kModel)) {
      const auto found = placement->value.machines.find(name);
      if (found != placement->value.machines.end()) held = found->second;
    }
    const auto* stop = configuration_.find<PlannedStop>(name);
    draining_[name] = stop != nullptr && stop->value.state != "REQUESTED";
    if (held.serve.empty() && held.stage.empty()) {
      agent = {};
    } else if (!held.serve.empty() && agent.live != held.serve) {
      if (agent.staged == held.serve) {
        agent.live = held.serve;
        agent.staged.clear();
      } else {
        agent.staged = held.serve;  // Fetching and verification take one step.
      }
    } else if (!held.stage.empty() && held.stage != agent.live) {
      agent.staged = held.stage;
    }
    report(name);
  }

  void report(const std::string& name) {
    const Agent& agent = agents_[name];
    BackendStatus status;
    status.queue_limit = 10;
    status.draining = status.drained = draining_[name];
    const auto add = [&](const std::string& version, const char* state) {
      if (version.empty()) return;
      status.replicas.emplace(kModel, ReplicaView{version, "digest-" + version, state, 1, 1, ""});
    };
    add(agent.live, "LIVE");
    add(agent.staged, "STAGED");
    directory_.on_status(name, status, now_);
  }

  std::mt19937 random_;
  TimePoint now_{seconds(100)};
  std::uint64_t revision_ = 0;
  std::uint64_t term_ = 1;
  ConfigurationStore configuration_;
  BackendDirectory directory_{seconds(3600)};
  RolloutController controller_{tests::charts().rollout, tests::charts().drain, {seconds(10)}};
  std::map<std::string, Agent> agents_;
  std::map<std::string, bool> draining_;
};

Rollout rollout(const std::string& version, const std::string& previous,
                std::uint32_t max_unavailable = 1) {
  Rollout result;
  result.model = kModel;
  result.version = version;
  result.previous_version = previous;
  result.max_unavailable = max_unavailable;
  return result;
}

}  // namespace

class RolloutControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutControllerTest);
  CPPUNIT_TEST(spreads_a_first_rollout_over_the_zones);
  CPPUNIT_TEST(switches_within_the_unavailability_limit);
  CPPUNIT_TEST(surges_when_the_floor_is_the_target);
  CPPUNIT_TEST(aborts_back_to_the_previous_version);
  CPPUNIT_TEST(a_paused_rollout_switches_nothing);
  CPPUNIT_TEST(replaces_a_dead_machine_after_the_grace_period);
  CPPUNIT_TEST(a_new_term_gives_known_machines_time_to_connect);
  CPPUNIT_TEST(a_stop_waits_for_the_floor_and_for_its_replacement);
  CPPUNIT_TEST(two_stops_cannot_share_one_spare_replica);
  CPPUNIT_TEST(places_nothing_without_enough_memory);
  CPPUNIT_TEST(never_falls_below_the_floor_in_random_histories);
  CPPUNIT_TEST_SUITE_END();

 public:
  void spreads_a_first_rollout_over_the_zones() {
    ScriptedFleet fleet(9);
    start(fleet, 6, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETED"), fleet.state());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, fleet.live("v1"));
    std::map<int, int> per_zone;
    for (const auto& [machine, held] : fleet.placement().machines) {
      ++per_zone[std::stoi(machine.substr(1)) % 3];
    }
    for (const auto& [zone, count] : per_zone) CPPUNIT_ASSERT_EQUAL(2, count);
  }

  void switches_within_the_unavailability_limit() {
    ScriptedFleet fleet(6);
    start(fleet, 6, 2);
    fleet.put(rollout("v2", "v1", 2));
    for (int step = 0; step < 60; ++step) {
      fleet.decide();
      fleet.step_agents(3);
      std::uint32_t switching = 0;
      for (const auto& [machine, held] : fleet.placement().machines) {
        if (held.serve == "v2") ++switching;
      }
      CPPUNIT_ASSERT(switching <= fleet.live("v2") + 2);
    }
    fleet.settle();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, fleet.live("v2"));
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETED"), fleet.state());
  }

  void surges_when_the_floor_is_the_target() {
    ScriptedFleet fleet(4);
    start(fleet, 3, 3);
    fleet.put(rollout("v2", "v1", 1));
    std::uint32_t lowest = 3;
    for (int step = 0; step < 60; ++step) {
      fleet.settle(1);
      lowest = std::min(lowest, fleet.live());
    }
    CPPUNIT_ASSERT(lowest >= 3);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, fleet.live("v2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.placement().machines.size());
  }

  void aborts_back_to_the_previous_version() {
    ScriptedFleet fleet(4);
    start(fleet, 4, 1);
    fleet.put(rollout("v2", "v1", 1));
    fleet.settle(4);
    Rollout aborting = rollout("v2", "v1", 1);
    aborting.state = "ABORTING";
    fleet.put(aborting);
    fleet.settle();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, fleet.live("v1"));
    CPPUNIT_ASSERT_EQUAL(std::string("ABORTED"), fleet.state());
  }

  void a_paused_rollout_switches_nothing() {
    ScriptedFleet fleet(4);
    start(fleet, 4, 1);
    Rollout paused = rollout("v2", "v1", 1);
    paused.state = "PAUSED";
    fleet.put(paused);
    fleet.settle();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, fleet.live("v1"));
    CPPUNIT_ASSERT(fleet.placement().paused);
  }

  void replaces_a_dead_machine_after_the_grace_period() {
    ScriptedFleet fleet(4);
    start(fleet, 3, 1);
    const std::string killed = fleet.placement().machines.begin()->first;
    fleet.kill(killed);
    fleet.advance_time(seconds(5));
    fleet.settle(1);
    CPPUNIT_ASSERT(fleet.placement().machines.contains(killed));
    fleet.advance_time(seconds(6));
    fleet.settle();
    CPPUNIT_ASSERT(!fleet.placement().machines.contains(killed));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, fleet.live("v1"));
  }

  void a_new_term_gives_known_machines_time_to_connect() {
    ScriptedFleet fleet(4);
    start(fleet, 3, 1);
    const std::string killed = fleet.placement().machines.begin()->first;
    fleet.kill(killed);
    fleet.advance_time(seconds(60));
    fleet.new_term();
    fleet.decide();
    CPPUNIT_ASSERT(fleet.placement().machines.contains(killed));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.placement().fence);
    fleet.advance_time(seconds(11));
    fleet.decide();
    CPPUNIT_ASSERT(!fleet.placement().machines.contains(killed));
  }

  void a_stop_waits_for_the_floor_and_for_its_replacement() {
    ScriptedFleet fleet(3);
    start(fleet, 2, 2);
    const std::string stopping = fleet.placement().machines.begin()->first;
    fleet.put(PlannedStop{stopping, "REQUESTED", "", false, "me"});
    fleet.decide();
    CPPUNIT_ASSERT_EQUAL(std::string("REQUESTED"), fleet.get<PlannedStop>(stopping).state);
    CPPUNIT_ASSERT(fleet.get<PlannedStop>(stopping).note.find("floor") != std::string::npos);
    fleet.settle();
    CPPUNIT_ASSERT_EQUAL(std::string("DRAINED"), fleet.get<PlannedStop>(stopping).state);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, fleet.live("v1"));
    CPPUNIT_ASSERT(!fleet.placement().machines.contains(stopping));
  }

  void two_stops_cannot_share_one_spare_replica() {
    ScriptedFleet fleet(3);
    start(fleet, 3, 2);
    for (const char* machine : {"m0", "m1"}) {
      fleet.put(PlannedStop{machine, "REQUESTED", "", false, "me"});
    }
    fleet.settle();
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, fleet.live("v1"));
    CPPUNIT_ASSERT_EQUAL(std::string("DRAINED"), fleet.get<PlannedStop>("m0").state);
    CPPUNIT_ASSERT_EQUAL(std::string("REQUESTED"), fleet.get<PlannedStop>("m1").state);
    fleet.put(PlannedStop{"m1", "REQUESTED", "", true, "me"});
    fleet.settle();
    CPPUNIT_ASSERT_EQUAL(std::string("DRAINED"), fleet.get<PlannedStop>("m1").state);
  }

  void places_nothing_without_enough_memory() {
    ScriptedFleet fleet(2);
    fleet.put(ModelVersion{kModel, "huge", "digest-huge", 2000, 1});
    fleet.put(ReplicaTarget{kModel, 2, 0});
    fleet.put(rollout("huge", ""));
    fleet.settle();
    CPPUNIT_ASSERT(fleet.placement().machines.empty());
  }

  /// Random stops, superseding rollouts and lagging agents. Checks that planned changes alone never
  /// reduce the live replicas below the floor.
  void never_falls_below_the_floor_in_random_histories() {
    for (unsigned seed = 1; seed <= 60; ++seed) {
      std::mt19937 random(seed);
      ScriptedFleet fleet(8, seed);
      start(fleet, 5, 3);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, fleet.live());
      std::string serving = "v1";
      for (int step = 0; step < 200; ++step) {
        if (step % 50 == 10) {
          const std::string next = serving == "v1" ? "v2" : "v1";
          fleet.put(rollout(next, serving, 1 + random() % 4));
          serving = next;
        }
        if (random() % 40 == 0) {
          const std::string machine = "m" + std::to_string(random() % 8);
          if (!fleet.has_stop(machine)) {
            fleet.put(PlannedStop{machine, "REQUESTED", "", false, "me"});
          }
        }
        fleet.decide();
        fleet.step_agents(1 + random() % 4);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " step " + std::to_string(step),
                               fleet.live() >= 3);
      }
    }
  }

 private:
  static void start(ScriptedFleet& fleet, std::uint32_t replicas, std::uint32_t floor) {
    fleet.put(ReplicaTarget{kModel, replicas, floor});
    fleet.put(rollout("v1", ""));
    fleet.settle();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutControllerTest);

}  // namespace pumicemast
