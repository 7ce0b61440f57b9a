/// Interface to the platform's object API.
///
/// A pure interface: the daemons use adapters/ObjectStoreClient, tests and the simulator an
/// object store in memory.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "configuration/configuration_store.h"

namespace pumicemast {

/// Outcome of a conditional write.
enum class WriteOutcome {
  applied,
  conflict,     ///< Another version was in force; not applied.
  not_applied,  ///< Refused (rate limit, outage) or never sent; certainly not applied.
  unknown,      ///< No response: may have been applied.
};

struct ObjectReadResult {
  bool answered = false;  ///< false: the API gave no usable response.
  bool exists = false;
  StoredObject object;
};

struct ObjectListResult {
  bool answered = false;
  std::uint64_t revision = 0;
  std::vector<StoredObject> objects;
};

struct ObjectWatchResult {
  bool answered = false;
  bool expired = false;  ///< The revision is too old: list again.
  std::uint64_t revision = 0;
  std::vector<StoredObject> events;
};

struct ObjectWriteResult {
  WriteOutcome outcome = WriteOutcome::unknown;
  ObjectVersion version = 0;  ///< New version when applied.
  std::string reason;
};

struct MachineListResult {
  bool answered = false;
  std::set<std::string> live;
  std::set<std::string> leaving;
};

/// Every call runs its callback exactly once, unless the store is destroyed first.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Reads one object; `exists` is false when there is none.
  virtual void read(const std::string& kind, const std::string& name,
                    std::function<void(const ObjectReadResult&)> on_done) = 0;
  /// Reads all objects of `kinds` at one revision.
  virtual void list(const std::vector<std::string>& kinds,
                    std::function<void(const ObjectListResult&)> on_done) = 0;
  /// Events of `kinds` after revision `after`; waits up to `wait` for the first.
  virtual void watch(const std::vector<std::string>& kinds, std::uint64_t after, Duration wait,
                     std::function<void(const ObjectWatchResult&)> on_done) = 0;
  /// Writes `value` if the object still has version `expected` (0: does not exist).
  virtual void write(const std::string& kind, const std::string& name, const nlohmann::json& value,
                     ObjectVersion expected,
                     std::function<void(const ObjectWriteResult&)> on_done) = 0;
  /// Deletes the object if it still has version `expected`.
  virtual void remove(const std::string& kind, const std::string& name, ObjectVersion expected,
                      std::function<void(const ObjectWriteResult&)> on_done) = 0;
  /// The platform's list of machines, which may be outdated.
  virtual void list_machines(std::function<void(const MachineListResult&)> on_done) = 0;
};

}  // namespace pumicemast
