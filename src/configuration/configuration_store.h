/// The configuration in force at one process: the newest known state of every object.
///
/// A decision core: no I/O. Versions only grow: an event or listing that is older than the
/// state in force is ignored, in whatever order the platform delivers them.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "configuration/objects.h"

namespace pumicemast {

/// An object as the platform's API delivers it.
struct StoredObject {
  std::string kind;
  std::string name;
  ObjectVersion version = 0;
  nlohmann::json value;
  bool deleted = false;
};

/// An object together with the version that a conditional update must expect.
template <class Object>
struct Versioned {
  ObjectVersion version = 0;
  Object value;
};

template <class Object>
using ObjectMap = std::map<std::string, Versioned<Object>>;

/// Effects of an update; the owner turns them into counters and state-change log lines.
struct ConfigurationChange {
  std::vector<std::string> changed;  ///< `kind/name` of each object that changed its version.
  std::vector<Error> rejected;       ///< Malformed objects; their last valid version stays.
  std::uint32_t outdated = 0;        ///< Events and listings older than the state in force.
};

class ConfigurationStore {
 public:
  /// Applies a full listing taken at `revision`. Objects that are missing from it and not
  /// newer than it have been deleted.
  ConfigurationChange apply_listing(std::uint64_t revision,
                                    const std::vector<StoredObject>& objects);
  /// Applies watch events that bring the view up to `revision`.
  ConfigurationChange apply_events(std::uint64_t revision, const std::vector<StoredObject>& events);

  /// Highest revision up to which the view is complete.
  std::uint64_t revision() const { return revision_; }
  /// Whether a listing was ever applied; before that, a missing object may still exist.
  bool listed() const { return listed_; }

  template <class Object>
  const ObjectMap<Object>& all() const {
    return std::get<ObjectMap<Object>>(objects_);
  }
  /// Null when the object does not exist.
  template <class Object>
  const Versioned<Object>* find(const std::string& name) const {
    const auto& map = all<Object>();
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
  }
  /// The version of `model` that carries `digest`, or null.
  const ModelVersion* find_digest(const std::string& model, const std::string& digest) const;

 private:
  void apply(const StoredObject& object, ConfigurationChange& change);
  void apply_if_new(const StoredObject& object, ConfigurationChange& change);
  void erase(const std::string& key);
  template <class Object>
  void apply_typed(const StoredObject& object, ConfigurationChange& change);

  std::uint64_t revision_ = 0;
  bool listed_ = false;
  /// Version of the last applied write or deletion of each `kind/name`.
  std::map<std::string, ObjectVersion> versions_;
  std::tuple<ObjectMap<ModelVersion>, ObjectMap<Rollout>, ObjectMap<ReplicaTarget>,
             ObjectMap<Route>, ObjectMap<Tenant>, ObjectMap<PlannedStop>, ObjectMap<Placement>>
      objects_;
};

}  // namespace pumicemast
