#include "configuration/objects.h"

#include <nlohmann/json.hpp>

namespace pumicemast {

using nlohmann::json;

const char* to_string(RolloutObjective objective) {
  return objective == RolloutObjective::time ? "time" : "origin_bytes";
}

json to_json(const ModelVersion& object) {
  return {{"model", object.model},
          {"version", object.version},
          {"digest", object.digest},
          {"bytes", object.bytes},
          {"chunk_count", object.chunk_count}};
}

json to_json(const Rollout& object) {
  return {{"model", object.model},
          {"version", object.version},
          {"previous_version", object.previous_version},
          {"state", object.state},
          {"objective", to_string(object.objective)},
          {"max_unavailable", object.max_unavailable},
          {"priority", object.priority},
          {"created_by", object.created_by}};
}

json to_json(const ReplicaTarget& object) {
  return {{"model", object.model}, {"replicas", object.replicas}, {"floor", object.floor}};
}

json to_json(const Route& object) {
  return {{"id", object.id},
          {"path_prefix", object.path_prefix},
          {"service", object.service},
          {"alias", object.alias},
          {"model", object.model}};
}

json to_json(const Tenant& object) {
  return {{"id", object.id},
          {"requests_per_second", object.requests_per_second},
          {"burst", object.burst},
          {"in_flight", object.in_flight},
          {"priority", object.priority}};
}

json to_json(const PlannedStop& object) {
  return {{"machine", object.machine},
          {"state", object.state},
          {"note", object.note},
          {"force", object.force},
          {"created_by", object.created_by}};
}

json to_json(const Placement& object) {
  json machines = json::object();
  for (const auto& [machine, placement] : object.machines) {
    machines[machine] = {{"stage", placement.stage}, {"serve", placement.serve}};
  }
  return {{"model", object.model},
          {"fence", object.fence},
          {"paused", object.paused},
          {"machines", machines}};
}

json to_json(const LeaseRecord& object) {
  return {{"id", object.id},
          {"holder", object.holder},
          {"attempt", object.attempt},
          {"term", object.term},
          {"ttl_ms", object.ttl_ms}};
}

json to_json(const ExecutionClaim& object) {
  return {{"id", object.id},
          {"holder", object.holder},
          {"attempt", object.attempt},
          {"state", object.state}};
}

namespace {

template <class Field>
void read(const json& value, const char* name, Field& field) {
  field = value.at(name).get<Field>();
}

void read_fields(const json& value, ModelVersion& object) {
  read(value, "model", object.model);
  read(value, "version", object.version);
  read(value, "digest", object.digest);
  read(value, "bytes", object.bytes);
  read(value, "chunk_count", object.chunk_count);
}

void read_fields(const json& value, Rollout& object) {
  read(value, "model", object.model);
  read(value, "version", object.version);
  read(value, "previous_version", object.previous_version);
  read(value, "state", object.state);
  object.objective = value.at("objective").get<std::string>() == "origin_bytes"
                         ? RolloutObjective::origin_bytes
                         : RolloutObjective::time;
  read(value, "max_unavailable", object.max_unavailable);
  object.priority = value.value("priority", 0);  // Absent in objects of earlier releases.
  read(value, "created_by", object.created_by);
}

void read_fields(const json& value, ReplicaTarget& object) {
  read(value, "model", object.model);
  read(value, "replicas", object.replicas);
  read(value, "floor", object.floor);
}

void read_fields(const json& value, Route& object) {
  read(value, "id", object.id);
  read(value, "path_prefix", object.path_prefix);
  read(value, "service", object.service);
  read(value, "alias", object.alias);
  read(value, "model", object.model);
}

void read_fields(const json& value, Tenant& object) {
  read(value, "id", object.id);
  read(value, "requests_per_second", object.requests_per_second);
  read(value, "burst", object.burst);
  read(value, "in_flight", object.in_flight);
  read(value, "priority", object.priority);
}

void read_fields(const json& value, PlannedStop& object) {
  read(value, "machine", object.machine);
  read(value, "state", object.state);
  read(value, "note", object.note);
  read(value, "force", object.force);
  read(value, "created_by", object.created_by);
}

void read_fields(const json& value, Placement& object) {
  read(value, "model", object.model);
  read(value, "fence", object.fence);
  read(value, "paused", object.paused);
  for (const auto& [machine, placement] : value.at("machines").items()) {
    object.machines[machine] = {placement.at("stage").get<std::string>(),
                                placement.at("serve").get<std::string>()};
  }
}

void read_fields(const json& value, LeaseRecord& object) {
  read(value, "id", object.id);
  read(value, "holder", object.holder);
  read(value, "attempt", object.attempt);
  read(value, "term", object.term);
  read(value, "ttl_ms", object.ttl_ms);
}

void read_fields(const json& value, ExecutionClaim& object) {
  read(value, "id", object.id);
  read(value, "holder", object.holder);
  read(value, "attempt", object.attempt);
  read(value, "state", object.state);
}

}  // namespace

template <class Object>
leaf::result<Object> object_from_json(const json& value) {
  Object object;
  try {
    read_fields(value, object);
  } catch (const json::exception& failure) {
    return leaf::new_error(Error{ErrorCode::invalid_argument, Object::kKind, failure.what()});
  }
  return object;
}

template leaf::result<ModelVersion> object_from_json(const json& value);
template leaf::result<Rollout> object_from_json(const json& value);
template leaf::result<ReplicaTarget> object_from_json(const json& value);
template leaf::result<Route> object_from_json(const json& value);
template leaf::result<Tenant> object_from_json(const json& value);
template leaf::result<PlannedStop> object_from_json(const json& value);
template leaf::result<Placement> object_from_json(const json& value);
template leaf::result<LeaseRecord> object_from_json(const json& value);
template leaf::result<ExecutionClaim> object_from_json(const json& value);

}  // namespace pumicemast
