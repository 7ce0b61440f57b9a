/// Keeps a process's configuration up to date from the object API: one listing, then repeated
/// long polls, with backoff while the API is down or refuses.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "common/event_loop.h"
#include "configuration/object_store.h"

namespace pumicemast {

class ConfigurationWatcher {
 public:
  struct Callbacks {
    std::function<void(std::uint64_t revision, const std::vector<StoredObject>&)> on_listing;
    std::function<void(std::uint64_t revision, const std::vector<StoredObject>&)> on_events;
    /// The API has become reachable (true) or unreachable (false).
    std::function<void(bool reachable)> on_reachability;
  };

  /// @param pause  minimum time between two watches: changes within it share one read, which limits
  /// the
  ///               load of many processes on the platform.
  ConfigurationWatcher(ObjectStore& store, std::vector<std::string> kinds, Duration pause,
                       Callbacks callbacks, std::uint64_t seed);
  void start();
  bool reachable() const { return reachable_; }

 private:
  void list();
  void watch();
  void retry_later();
  void set_reachable(bool reachable);

  ObjectStore& store_;
  std::vector<std::string> kinds_;
  Duration pause_;
  Callbacks callbacks_;
  std::minstd_rand random_;
  Timer timer_;
  std::uint64_t revision_ = 0;
  bool listed_ = false;
  bool reachable_ = false;
  std::uint32_t failures_ = 0;
};

}  // namespace pumicemast
