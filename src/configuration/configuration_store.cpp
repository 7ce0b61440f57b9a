#include "configuration/configuration_store.h"

#include <algorithm>
#include <set>

namespace pumicemast {

template <class Object>
void ConfigurationStore::apply_typed(const StoredObject& object, ConfigurationChange& change) {
  auto& map = std::get<ObjectMap<Object>>(objects_);
  const std::string key = object.kind + "/" + object.name;
  if (object.deleted) {
    map.erase(object.name);
    change.changed.push_back(key);
    return;
  }
  handle_error(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, object_from_json<Object>(object.value));
        map[object.name] = {object.version, std::move(value)};
        change.changed.push_back(key);
        return {};
      },
      [&](const Error& error) {
        change.rejected.push_back({error.code, key, error.reason});
      });
}

void ConfigurationStore::apply(const StoredObject& object, ConfigurationChange& change) {
  ObjectVersion& known = versions_[object.kind + "/" + object.name];
  if (object.version <= known) {
    if (object.version < known) ++change.outdated;
    return;
  }
  known = object.version;
  std::apply(
      [&](auto&... maps) {
        const auto apply_to = [&](auto& map) {
          using Object = std::decay_t<decltype(map.begin()->second.value)>;
          if (object.kind == Object::kKind) apply_typed<Object>(object, change);
        };
        (apply_to(maps), ...);
      },
      objects_);
}

void ConfigurationStore::apply_if_new(const StoredObject& object, ConfigurationChange& change) {
  // A listing discards the versions of deleted objects; a late event about such an object must
  // not restore it.
  const bool covered_by_listing = object.version <= revision_;
  if (covered_by_listing && !versions_.contains(object.kind + "/" + object.name)) {
    ++change.outdated;
    return;
  }
  apply(object, change);
}

void ConfigurationStore::erase(const std::string& key) {
  const auto slash = key.find('/');
  const std::string kind = key.substr(0, slash);
  const std::string name = key.substr(slash + 1);
  std::apply(
      [&](auto&... maps) {
        const auto erase_from = [&](auto& map) {
          using Object = std::decay_t<decltype(map.begin()->second.value)>;
          if (kind == Object::kKind) map.erase(name);
        };
        (erase_from(maps), ...);
      },
      objects_);
}

ConfigurationChange ConfigurationStore::apply_listing(std::uint64_t revision,
                                                      const std::vector<StoredObject>& objects) {
  ConfigurationChange change;
  if (revision < revision_) {
    ++change.outdated;
    return change;
  }
  std::set<std::string> listed;
  for (const StoredObject& object : objects) {
    listed.insert(object.kind + "/" + object.name);
    apply(object, change);
  }
  for (auto iterator = versions_.begin(); iterator != versions_.end();) {
    const auto& [key, version] = *iterator;
    if (listed.contains(key) || version > revision) {
      ++iterator;
      continue;
    }
    erase(key);
    change.changed.push_back(key);
    iterator = versions_.erase(iterator);
  }
  revision_ = revision;
  listed_ = true;
  return change;
}

ConfigurationChange ConfigurationStore::apply_events(std::uint64_t revision,
                                                     const std::vector<StoredObject>& events) {
  ConfigurationChange change;
  for (const StoredObject& event : events) apply_if_new(event, change);
  revision_ = std::max(revision_, revision);
  return change;
}

const ModelVersion* ConfigurationStore::find_digest(const std::string& model,
                                                    const std::string& digest) const {
  for (const auto& [name, object] : all<ModelVersion>()) {
    if (object.value.model == model && object.value.digest == digest) return &object.value;
  }
  return nullptr;
}

}  // namespace pumicemast
