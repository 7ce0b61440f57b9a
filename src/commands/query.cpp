#include "commands/query.h"

#include <cstdio>

namespace pumicemast {
namespace {

using Row = std::vector<std::string>;

std::string number(std::uint64_t value) { return std::to_string(value); }

std::string decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%g", value);
  return text;
}

std::string yes_no(bool value) { return value ? "yes" : "no"; }

Table show_versions(const QueryView& view) {
  Table table{{"model", "version", "digest", "bytes", "chunks", "object"}, {}};
  for (const auto& [name, object] : view.configuration.all<ModelVersion>()) {
    const ModelVersion& value = object.value;
    table.rows.push_back({value.model, value.version, value.digest.substr(0, 12),
                          number(value.bytes), number(value.chunk_count), number(object.version)});
  }
  return table;
}

struct RolloutProgress {
  std::uint32_t placed = 0;
  std::uint32_t live = 0;
  std::uint32_t staged = 0;
  std::uint64_t chunks_verified = 0;
  std::uint64_t chunks_wanted = 0;
};

RolloutProgress progress_of(const QueryView& view, const std::string& model,
                            const std::string& version) {
  RolloutProgress progress;
  const auto* placement = view.configuration.find<Placement>(model);
  const auto* object = view.configuration.find<ModelVersion>(model + "@" + version);
  if (placement == nullptr || object == nullptr) return progress;
  for (const auto& [machine, held] : placement->value.machines) {
    ++progress.placed;
    progress.chunks_wanted += object->value.chunk_count;
    const Backend* backend = view.directory.find(machine);
    const ReplicaView* replica = backend == nullptr ? nullptr : backend->replica(model, version);
    if (replica == nullptr) continue;
    const bool live = replica->is_live() && view.directory.is_reachable(*backend, view.now);
    const bool verified = replica->is_live() || replica->state == "STAGED";
    if (live) ++progress.live;
    if (replica->state == "STAGED") ++progress.staged;
    progress.chunks_verified += verified ? object->value.chunk_count : replica->chunks_verified;
  }
  return progress;
}

Table show_rollouts(const QueryView& view) {
  Table table{{"model", "version", "previous", "state", "objective", "max_unavailable", "placed",
               "live", "staged", "verified_percent", "by", "object"},
              {}};
  for (const auto& [name, object] : view.configuration.all<Rollout>()) {
    const Rollout& rollout = object.value;
    const bool reverting = rollout.state == "ABORTING" || rollout.state == "ABORTED";
    const RolloutProgress progress =
        progress_of(view, rollout.model, reverting ? rollout.previous_version : rollout.version);
    const std::uint64_t percent =
        progress.chunks_wanted == 0 ? 0 : progress.chunks_verified * 100 / progress.chunks_wanted;
    table.rows.push_back({rollout.model, rollout.version, rollout.previous_version, rollout.state,
                          to_string(rollout.objective), number(rollout.max_unavailable),
                          number(progress.placed), number(progress.live), number(progress.staged),
                          number(percent), rollout.created_by, number(object.version)});
  }
  return table;
}

Table show_targets(const QueryView& view) {
  Table table{{"model", "replicas", "floor", "live", "object"}, {}};
  for (const auto& [name, object] : view.configuration.all<ReplicaTarget>()) {
    std::uint32_t live = 0;
    for (const auto& [machine, backend] : view.directory.all()) {
      const bool counts = view.directory.accepts_work(backend, view.now);
      if (counts && backend.live_replica(name) != nullptr) ++live;
    }
    table.rows.push_back({name, number(object.value.replicas), number(object.value.floor),
                          number(live), number(object.version)});
  }
  return table;
}

Table show_routes(const QueryView& view) {
  Table table{{"route", "path", "service", "alias", "model", "object"}, {}};
  for (const auto& [name, object] : view.configuration.all<Route>()) {
    const Route& route = object.value;
    table.rows.push_back(
        {name, route.path_prefix, route.service, route.alias, route.model, number(object.version)});
  }
  return table;
}

Table show_tenants(const QueryView& view) {
  Table table{{"tenant", "rate", "burst", "in_flight", "priority", "object"}, {}};
  for (const auto& [name, object] : view.configuration.all<Tenant>()) {
    const Tenant& tenant = object.value;
    table.rows.push_back({name, decimal(tenant.requests_per_second), decimal(tenant.burst),
                          number(tenant.in_flight), std::to_string(tenant.priority),
                          number(object.version)});
  }
  return table;
}

Table show_stops(const QueryView& view) {
  Table table{{"machine", "state", "in_flight", "force", "note", "by", "object"}, {}};
  for (const auto& [name, object] : view.configuration.all<PlannedStop>()) {
    const Backend* backend = view.directory.find(name);
    table.rows.push_back({name, object.value.state,
                          backend == nullptr ? "-" : number(backend->status.in_flight),
                          yes_no(object.value.force), object.value.note, object.value.created_by,
                          number(object.version)});
  }
  return table;
}

std::string machine_state(const QueryView& view, const Backend& backend) {
  if (!backend.connected) return "LOST";
  if (!view.directory.is_reachable(backend, view.now)) return "SILENT";
  if (backend.status.drained) return "DRAINED";
  if (backend.status.draining || backend.stop_planned) return "DRAINING";
  return backend.leaving ? "LEAVING" : "SERVING";
}

Table show_machines(const QueryView& view) {
  Table table{{"machine", "region", "zone", "kind", "state", "in_flight", "revision",
               "origin_bytes", "peer_bytes"},
              {}};
  for (const auto& [name, backend] : view.directory.all()) {
    const BackendStatus& status = backend.status;
    table.rows.push_back({name, backend.hello.location.region, backend.hello.location.zone,
                          backend.hello.is_engine ? "engine" : backend.hello.service,
                          machine_state(view, backend), number(status.in_flight),
                          number(status.configuration_revision), number(status.origin_bytes),
                          number(status.peer_bytes)});
  }
  return table;
}

Table show_replicas(const QueryView& view) {
  Table table{{"model", "machine", "zone", "version", "state", "chunks", "note"}, {}};
  for (const auto& [name, backend] : view.directory.all()) {
    for (const auto& [model, replica] : backend.status.replicas) {
      table.rows.push_back({model, name, backend.hello.location.zone, replica.version,
                            backend.connected ? replica.state : "LOST",
                            number(replica.chunks_verified) + "/" + number(replica.chunk_count),
                            replica.note});
    }
  }
  return table;
}

Table show_status(const QueryView& view) {
  std::uint32_t reachable = 0;
  for (const auto& [name, backend] : view.directory.all()) {
    if (view.directory.is_reachable(backend, view.now)) ++reachable;
  }
  Table table{{"field", "value"}, {}};
  table.rows.push_back({"entry", view.entry});
  table.rows.push_back({"controller", view.controller});
  table.rows.push_back({"platform", view.platform_reachable ? "reachable" : "unreachable"});
  table.rows.push_back({"revision", number(view.configuration.revision())});
  table.rows.push_back({"machines_known", number(view.directory.all().size())});
  table.rows.push_back({"machines_reachable", number(reachable)});
  return table;
}

Table show(ShowSubject subject, const QueryView& view) {
  switch (subject) {
    case ShowSubject::versions:
      return show_versions(view);
    case ShowSubject::rollouts:
      return show_rollouts(view);
    case ShowSubject::targets:
      return show_targets(view);
    case ShowSubject::routes:
      return show_routes(view);
    case ShowSubject::tenants:
      return show_tenants(view);
    case ShowSubject::stops:
      return show_stops(view);
    case ShowSubject::machines:
      return show_machines(view);
    case ShowSubject::replicas:
      return show_replicas(view);
    case ShowSubject::status:
      break;
  }
  return show_status(view);
}

}  // namespace

leaf::result<Table> run_show(const ShowCommand& command, const QueryView& view) {
  return filter_table(show(command.subject, view), command.conditions);
}

Table run_explain(const ExplainCommand& command, const QueryView& view) {
  Table table{{"step", "state", "detail"}, {}};
  const auto add = [&](const std::string& step, bool passed, const std::string& detail) {
    table.rows.push_back({step, passed ? "yes" : "no", detail});
    return passed;
  };
  const auto* rollout = view.configuration.find<Rollout>(command.model);
  if (!add("rollout exists", rollout != nullptr,
           rollout == nullptr ? "create a rollout of this model" : rollout->value.state)) {
    return table;
  }
  const auto* target = view.configuration.find<ReplicaTarget>(command.model);
  if (!add("target exists", target != nullptr,
           target == nullptr ? "set a target for this model"
                             : number(target->value.replicas) + " replicas")) {
    return table;
  }
  const Backend* backend = view.directory.find(command.machine);
  if (!add("machine is known", backend != nullptr,
           backend == nullptr ? "its agent never connected to this entry" : "")) {
    return table;
  }
  const bool reachable = view.directory.is_reachable(*backend, view.now);
  if (!add("machine is reachable", reachable, machine_state(view, *backend))) return table;
  const auto* placement = view.configuration.find<Placement>(command.model);
  const bool placed = placement != nullptr && placement->value.machines.contains(command.machine);
  if (!add("placed here", placed,
           placed ? "" : "the target is met elsewhere, or the machine has no memory for it")) {
    return table;
  }
  const MachinePlacement& held = placement->value.machines.at(command.machine);
  const std::string version = held.serve.empty() ? held.stage : held.serve;
  const ReplicaView* replica = backend->replica(command.model, version);
  if (!add("version " + version + " is at the machine", replica != nullptr,
           replica == nullptr ? "the order has not reached the agent yet"
                              : number(replica->chunks_verified) + "/" +
                                    number(replica->chunk_count) + " chunks verified")) {
    return table;
  }
  add("live", replica->is_live(),
      replica->state + (replica->note.empty() ? "" : ": " + replica->note));
  return table;
}

}  // namespace pumicemast
