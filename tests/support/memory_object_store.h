/// An in-memory object store that answers synchronously, with scripted faults.
#pragma once

#include <deque>

#include "configuration/object_store.h"

namespace pumicemast::tests {

/// Fault of a write: refused, lost without being applied, or applied with its answer lost.
enum class WriteFault { none, refused, lost_before, lost_after };

class MemoryObjectStore : public ObjectStore {
 public:
  /// Faults of the next writes, in order; writes succeed when it is empty.
  std::deque<WriteFault> faults;
  bool readable = true;
  std::uint32_t writes = 0;

  void read(const std::string& kind, const std::string& name,
            std::function<void(const ObjectReadResult&)> on_done) override {
    const auto found = objects_.find(kind + "/" + name);
    ObjectReadResult result;
    result.answered = readable;
    result.exists = readable && found != objects_.end();
    if (result.exists) result.object = found->second;
    on_done(result);
  }
  void list(const std::vector<std::string>&,
            std::function<void(const ObjectListResult&)> on_done) override {
    on_done({true, revision_, all()});
  }
  void watch(const std::vector<std::string>&, std::uint64_t, Duration,
             std::function<void(const ObjectWatchResult&)>) override {}
  void write(const std::string& kind, const std::string& name, const nlohmann::json& value,
             ObjectVersion expected,
             std::function<void(const ObjectWriteResult&)> on_done) override {
    change({kind, name, 0, value, false}, expected, on_done);
  }
  void remove(const std::string& kind, const std::string& name, ObjectVersion expected,
              std::function<void(const ObjectWriteResult&)> on_done) override {
    change({kind, name, 0, {}, true}, expected, on_done);
  }
  void list_machines(std::function<void(const MachineListResult&)> on_done) override {
    on_done({true, {}, {}});
  }

  std::vector<StoredObject> all() const {
    std::vector<StoredObject> objects;
    for (const auto& [key, object] : objects_) objects.push_back(object);
    return objects;
  }
  std::uint64_t revision() const { return revision_; }

 private:
  void change(StoredObject object, ObjectVersion expected,
              const std::function<void(const ObjectWriteResult&)>& on_done) {
    ++writes;
    const WriteFault fault = faults.empty() ? WriteFault::none : faults.front();
    if (!faults.empty()) faults.pop_front();
    if (fault == WriteFault::refused) return on_done({WriteOutcome::not_applied, 0, "outage"});
    if (fault == WriteFault::lost_before) return on_done({WriteOutcome::unknown, 0, "lost"});
    const std::string key = object.kind + "/" + object.name;
    const auto found = objects_.find(key);
    const ObjectVersion current = found == objects_.end() ? 0 : found->second.version;
    if (current != expected) return on_done({WriteOutcome::conflict, 0, ""});
    object.version = ++revision_;
    if (object.deleted) {
      objects_.erase(key);
    } else {
      objects_[key] = object;
    }
    if (fault == WriteFault::lost_after) return on_done({WriteOutcome::unknown, 0, "lost"});
    on_done({WriteOutcome::applied, revision_, ""});
  }

  std::map<std::string, StoredObject> objects_;
  std::uint64_t revision_ = 0;
};

}  // namespace pumicemast::tests
