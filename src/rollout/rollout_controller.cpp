#include "rollout/rollout_controller.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pumicemast {
namespace {

bool stop_in_force(const PlannedStop& stop) {
  return stop.state == "DRAINING" || stop.state == "DRAINED";
}

}  // namespace

bool RolloutController::is_lost(const BackendDirectory& directory, const std::string& machine,
                                TimePoint now) const {
  const Backend* backend = directory.find(machine);
  const TimePoint disconnected_since = backend == nullptr ? acquired_at_ : backend->disconnected_at;
  if (backend != nullptr && backend->connected) return false;
  return now - std::max(disconnected_since, acquired_at_) >= options_.replace_after;
}

bool RolloutController::is_leaving(const ModelContext& context, const std::string& machine) const {
  const Backend* backend = context.directory.find(machine);
  if (backend != nullptr && (backend->leaving || backend->status.draining)) return true;
  return context.configuration.find<PlannedStop>(machine) != nullptr;
}

bool RolloutController::has_live_replica(const ModelContext& context, const std::string& machine,
                                         const std::string& version) const {
  const Backend* backend = context.directory.find(machine);
  if (backend == nullptr || !context.directory.accepts_work(*backend, context.now)) return false;
  const ReplicaView* replica = backend->live_replica(context.rollout.model);
  return replica != nullptr && (version.empty() || replica->version == version);
}

std::uint32_t RolloutController::live_count(const ModelContext& context,
                                            const Placement& placement) const {
  std::uint32_t count = 0;
  for (const auto& [machine, held] : placement.machines) {
    if (!has_live_replica(context, machine, "")) continue;
    // A machine that has been ordered to switch may still report its old version.
    const bool about_to_switch =
        !held.serve.empty() && !has_live_replica(context, machine, held.serve);
    if (!about_to_switch) ++count;
  }
  return count;
}

std::uint32_t RolloutController::required_live(const ModelContext& context) const {
  const std::uint32_t replicas = context.target.replicas;
  const std::uint32_t allowed = std::min(replicas, context.rollout.max_unavailable);
  return std::max(context.target.floor, replicas - allowed);
}

void RolloutController::remove_lost_machines(const ModelContext& context,
                                             Placement& placement) const {
  std::erase_if(placement.machines, [&](const auto& entry) {
    return is_lost(context.directory, entry.first, context.now);
  });
}

void RolloutController::remove_finished_stops(const ModelContext& context,
                                              Placement& placement) const {
  std::erase_if(placement.machines, [&](const auto& entry) {
    const auto* stop = context.configuration.find<PlannedStop>(entry.first);
    return stop != nullptr && stop->value.state == "DRAINED";
  });
}

std::uint64_t RolloutController::planned_bytes(const ModelContext& context,
                                               const std::string& machine) const {
  std::uint64_t bytes = 0;
  for (const auto& [model, placement] : context.configuration.all<Placement>()) {
    const auto held = placement.value.machines.find(machine);
    if (held == placement.value.machines.end()) continue;
    std::set<std::string> versions{held->second.stage, held->second.serve};
    versions.erase("");
    for (const std::string& version : versions) {
      const auto* object = context.configuration.find<ModelVersion>(model + "@" + version);
      if (object != nullptr) bytes += object->value.bytes;
    }
  }
  return bytes;
}

std::uint32_t RolloutController::desired_replicas(const ModelContext& context) const {
  const bool switching =
      context.rollout.state == "RUNNING" && !context.rollout.previous_version.empty();
  // If all replicas must stay live, none can be switched; one additional replica is placed first.
  const bool needs_surge = switching && required_live(context) >= context.target.replicas;
  return context.target.replicas + (needs_surge ? 1 : 0);
}

void RolloutController::add_machines(const ModelContext& context, Placement& placement) const {
  if (context.desired.empty()) return;
  const std::string version_name = context.rollout.model + "@" + context.desired;
  const auto* version = context.configuration.find<ModelVersion>(version_name);
  if (version == nullptr) return;
  std::uint32_t remaining = 0;
  std::map<std::string, std::uint32_t> per_zone;
  for (const auto& [machine, held] : placement.machines) {
    if (is_leaving(context, machine)) continue;
    ++remaining;
    const Backend* backend = context.directory.find(machine);
    if (backend != nullptr) ++per_zone[backend->hello.location.zone];
  }
  const std::uint32_t wanted = desired_replicas(context);

  using Order = std::tuple<std::uint32_t, bool, std::uint64_t, std::string>;
  while (remaining < wanted) {
    const Backend* best = nullptr;
    Order best_order;
    for (const auto& [machine, backend] : context.directory.all()) {
      if (!backend.hello.is_engine || placement.machines.contains(machine)) continue;
      if (is_leaving(context, machine)) continue;
      if (!context.directory.accepts_work(backend, context.now)) continue;
      const std::uint64_t planned = planned_bytes(context, machine);
      if (planned + version->value.bytes > backend.hello.memory_bytes) continue;
      const bool holds = backend.replica(context.rollout.model, context.desired) != nullptr;
      Order order{per_zone[backend.hello.location.zone], !holds, planned, machine};
      if (best == nullptr || order < best_order) {
        best = &backend;
        best_order = std::move(order);
      }
    }
    if (best == nullptr) return;
    placement.machines[best->hello.machine] = {context.desired, context.desired};
    ++per_zone[best->hello.location.zone];
    ++remaining;
  }
}

void RolloutController::remove_surplus(const ModelContext& context, Placement& placement) const {
  std::vector<std::string> remaining;
  for (const auto& [machine, held] : placement.machines) {
    if (!is_leaving(context, machine)) remaining.push_back(machine);
  }
  const bool settled = context.rollout.state == "COMPLETED" || context.rollout.state == "ABORTED";
  while (remaining.size() > desired_replicas(context)) {
    // Removes machines without a live replica first, then machines of the zone with the most.
    std::map<std::string, std::uint32_t> per_zone;
    for (const std::string& machine : remaining) {
      const Backend* backend = context.directory.find(machine);
      if (backend != nullptr) ++per_zone[backend->hello.location.zone];
    }
    const auto removal_order = [&](const std::string& machine) {
      const Backend* backend = context.directory.find(machine);
      const std::uint32_t zone = backend == nullptr ? 0 : per_zone[backend->hello.location.zone];
      return std::tuple(!has_live_replica(context, machine, ""), zone, machine);
    };
    const auto surplus = std::max_element(remaining.begin(), remaining.end(),
                                          [&](const auto& left, const auto& right) {
                                            return removal_order(left) < removal_order(right);
                                          });
    const bool is_live = has_live_replica(context, *surplus, "");
    if (is_live && !settled) return;  // The additional replica is kept until the rollout ends.
    if (is_live && live_count(context, placement) <= context.target.replicas) return;
    placement.machines.erase(*surplus);
    remaining.erase(surplus);
  }
}

void RolloutController::advance_versions(const ModelContext& context, Placement& placement) const {
  for (auto& [machine, held] : placement.machines) held.stage = context.desired;
  if (context.desired.empty()) {
    for (auto& [machine, held] : placement.machines) held.serve.clear();
    return;
  }
  if (context.rollout.state == "PAUSED") return;
  std::uint32_t live = live_count(context, placement);
  for (auto& [machine, held] : placement.machines) {
    if (held.serve == context.desired) continue;
    const bool serves_now = has_live_replica(context, machine, "");
    if (!serves_now) {
      // The order takes no live replica away; the agent serves after it has verified all bytes.
      const Backend* backend = context.directory.find(machine);
      if (held.serve.empty() || (backend != nullptr && backend->connected)) {
        held.serve = context.desired;
      }
      continue;
    }
    const Backend* backend = context.directory.find(machine);
    const ReplicaView* staged = backend->replica(context.rollout.model, context.desired);
    const bool verified =
        staged != nullptr && (staged->state == "STAGED" || staged->state == "LIVE");
    if (!verified) continue;
    if (staged->state != "LIVE") {
      if (live <= required_live(context)) continue;
      --live;
    }
    held.serve = context.desired;
  }
}

std::string RolloutController::rollout_state(const ModelContext& context,
                                             const Placement& placement) const {
  const std::string& state = context.rollout.state;
  std::uint32_t live = 0;
  bool all_desired = true;
  for (const auto& [machine, held] : placement.machines) {
    if (is_leaving(context, machine)) continue;
    const bool is_live =
        !context.desired.empty() && has_live_replica(context, machine, context.desired);
    if (is_live) ++live;
    all_desired = all_desired && is_live;
  }
  if (state == "ABORTING") {
    const bool reverted = context.desired.empty() ? placement.machines.empty() : all_desired;
    return reverted ? rollout_chart_.next(state, "all_reverted") : state;
  }
  if (all_desired && live >= context.target.replicas) {
    return rollout_chart_.next(state, "all_live");
  }
  return state;
}

void RolloutController::decide_model(const ConfigurationStore& configuration,
                                     const BackendDirectory& directory,
                                     const Versioned<Rollout>& rollout, std::uint64_t term,
                                     TimePoint now, ControllerActions& actions) {
  const auto* target = configuration.find<ReplicaTarget>(rollout.value.model);
  if (target == nullptr) return;
  const bool reverting = rollout.value.state == "ABORTING" || rollout.value.state == "ABORTED";
  const ModelContext context{configuration,
                             directory,
                             rollout.value,
                             target->value,
                             reverting ? rollout.value.previous_version : rollout.value.version,
                             now};

  const auto* stored = configuration.find<Placement>(rollout.value.model);
  Placement placement;
  if (stored != nullptr) placement = stored->value;
  placement.model = rollout.value.model;
  remove_lost_machines(context, placement);
  remove_finished_stops(context, placement);
  add_machines(context, placement);
  remove_surplus(context, placement);
  advance_versions(context, placement);
  if (context.desired.empty()) {
    // Machines without a live replica are removed from the placement.
    std::erase_if(placement.machines,
                  [&](const auto& entry) { return !has_live_replica(context, entry.first, ""); });
  }
  placement.paused = rollout.value.state == "PAUSED";
  placement.fence = term;

  const bool changed = stored == nullptr || stored->value.machines != placement.machines ||
                       stored->value.paused != placement.paused ||
                       stored->value.fence != placement.fence;
  if (changed) {
    actions.push_back(WritePlacement{placement, stored == nullptr ? 0 : stored->version});
    return;  // The rollout's state is derived only from a placement that is stored.
  }
  const std::string state = rollout_state(context, placement);
  if (state != rollout.value.state) {
    Rollout next = rollout.value;
    next.state = state;
    actions.push_back(WriteRollout{next, rollout.version});
  }
}

void RolloutController::decide_stops(const ConfigurationStore& configuration,
                                     const BackendDirectory& directory, TimePoint now,
                                     ControllerActions& actions) {
  // Replicas of stops admitted in this decision, so that two stops cannot use one spare replica.
  std::map<std::string, std::uint32_t> admitted_stops;
  for (const auto& [machine, object] : configuration.all<PlannedStop>()) {
    PlannedStop stop = object.value;
    const Backend* backend = directory.find(machine);
    if (stop.state == "DRAINING") {
      const bool lost = is_lost(directory, machine, now);
      if (lost || (backend != nullptr && backend->connected && backend->status.drained)) {
        stop.state = drain_chart_.next(stop.state, "in_flight_zero");
        stop.note = lost ? "the machine is gone" : "";
      }
    }
    if (stop.state == "REQUESTED") {
      std::string blocker;
      for (const auto& [model, target] : configuration.all<ReplicaTarget>()) {
        if (backend == nullptr || backend->live_replica(model) == nullptr) continue;
        std::uint32_t live = 0;
        for (const auto& [other_name, other] : directory.all()) {
          const auto* other_stop = configuration.find<PlannedStop>(other_name);
          const bool stopping = other_stop != nullptr && stop_in_force(other_stop->value);
          if (other_name == machine || stopping || !directory.accepts_work(other, now)) continue;
          if (other.live_replica(model) != nullptr) ++live;
        }
        if (live < target.value.floor + admitted_stops[model]) blocker = model;
      }
      if (blocker.empty() || stop.force) {
        stop.state = drain_chart_.next(stop.state, "stop_admitted");
        stop.note.clear();
        for (const auto& [model, target] : configuration.all<ReplicaTarget>()) {
          if (backend != nullptr && backend->live_replica(model) != nullptr)
            ++admitted_stops[model];
        }
      } else {
        stop.note = "waits: fewer live replicas of " + blocker + " than its floor would be left";
      }
    }
    if (stop.state != object.value.state || stop.note != object.value.note) {
      actions.push_back(WritePlannedStop{stop, object.version});
    }
  }
}

ControllerActions RolloutController::decide(const ConfigurationStore& configuration,
                                            const BackendDirectory& directory, std::uint64_t term,
                                            TimePoint now) {
  ControllerActions actions;
  for (const auto& [model, rollout] : configuration.all<Rollout>()) {
    decide_model(configuration, directory, rollout, term, now, actions);
  }
  decide_stops(configuration, directory, now, actions);
  return actions;
}

}  // namespace pumicemast
