/// Typed forms of the objects that pumicemast keeps in the platform's object API.
///
/// Each type has a kind, a name within the kind, and a JSON form. Unknown fields are
/// ignored, so that a newer release may add some; a missing field or a wrong type is an error.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/error.h"

namespace pumicemast {

/// Version of one object: the store's revision at its last write. 0: does not exist.
using ObjectVersion = std::uint64_t;

/// A published version of a model's weights.
struct ModelVersion {
  static constexpr char kKind[] = "model_version";
  std::string model;
  std::string version;
  std::string digest;
  std::uint64_t bytes = 0;
  std::uint32_t chunk_count = 0;
  std::string name() const { return model + "@" + version; }
};

enum class RolloutObjective { time, origin_bytes };
const char* to_string(RolloutObjective objective);

/// The newest change of a model's version; at most one per model.
struct Rollout {
  static constexpr char kKind[] = "rollout";
  std::string model;
  std::string version;
  std::string previous_version;   ///< "" when the model was not served before.
  std::string state = "RUNNING";  ///< A state of charts/rollout.ini.
  RolloutObjective objective = RolloutObjective::time;
  std::uint32_t max_unavailable = 1;
  int priority = 0;  ///< Higher gets a larger share of the links when several run.
  std::string created_by;
  std::string name() const { return model; }
};

/// Wanted number of replicas of a model.
struct ReplicaTarget {
  static constexpr char kKind[] = "replica_target";
  std::string model;
  std::uint32_t replicas = 0;
  std::uint32_t floor = 0;  ///< Live replicas that planned changes must leave.
  std::string name() const { return model; }
};

/// Sends requests to a plain service by path, or a model name to another model.
struct Route {
  static constexpr char kKind[] = "route";
  std::string id;
  std::string path_prefix;  ///< For plain services; "" for a model alias.
  std::string service;
  std::string alias;  ///< Model name that callers use; "" for a path route.
  std::string model;
  std::string name() const { return id; }
};

/// Limits and priority of one tenant.
struct Tenant {
  static constexpr char kKind[] = "tenant";
  std::string id;
  double requests_per_second = 0;
  double burst = 0;
  std::uint32_t in_flight = 0;
  int priority = 0;  ///< Higher goes first.
  std::string name() const { return id; }
};

/// A planned stop of one back-end machine.
struct PlannedStop {
  static constexpr char kKind[] = "planned_stop";
  std::string machine;
  std::string state = "REQUESTED";  ///< A state of charts/drain.ini.
  std::string note;                 ///< Why the stop is delayed.
  bool force = false;               ///< Ignore replica floors.
  std::string created_by;
  std::string name() const { return machine; }
};

/// Versions of a model that one machine is assigned.
struct MachinePlacement {
  std::string stage;  ///< Version to hold verified; "" for none.
  std::string serve;  ///< Version to serve; "" for none.
  bool operator==(const MachinePlacement&) const = default;
};

/// The controller's decision for one model.
struct Placement {
  static constexpr char kKind[] = "placement";
  std::string model;
  std::uint64_t fence = 0;  ///< Term of the lease under which it was decided.
  bool paused = false;
  std::map<std::string, MachinePlacement> machines;
  std::string name() const { return model; }
};

/// A lease kept in the store. Followers determine expiry by their own clocks from the time at
/// which they last saw the object's version change, never by comparing wall clocks.
struct LeaseRecord {
  static constexpr char kKind[] = "lease";
  std::string id;
  std::string holder;
  std::string attempt;  ///< Unique to one write, to recognise it after a lost response.
  std::uint64_t term = 0;
  std::uint32_t ttl_ms = 0;
  std::string name() const { return id; }
};

/// Claims the single execution of a non-repeatable request that carries an idempotency key.
struct ExecutionClaim {
  static constexpr char kKind[] = "execution_claim";
  std::string id;  ///< Derived from tenant and key.
  std::string holder;
  std::string attempt;
  std::string state = "CLAIMED";  ///< CLAIMED, FINISHED or NOT_RUN.
  std::string name() const { return id; }
};

nlohmann::json to_json(const ModelVersion& object);
nlohmann::json to_json(const Rollout& object);
nlohmann::json to_json(const ReplicaTarget& object);
nlohmann::json to_json(const Route& object);
nlohmann::json to_json(const Tenant& object);
nlohmann::json to_json(const PlannedStop& object);
nlohmann::json to_json(const Placement& object);
nlohmann::json to_json(const LeaseRecord& object);
nlohmann::json to_json(const ExecutionClaim& object);

/// Reads an object; fails with invalid_argument naming the kind and the field.
template <class Object>
leaf::result<Object> object_from_json(const nlohmann::json& value);

}  // namespace pumicemast
