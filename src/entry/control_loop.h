/// Competes for the controller lease and executes the rollout controller's decisions while
/// this entry holds the lease.
#pragma once

#include <map>
#include <string>

#include "common/event_loop.h"
#include "common/metrics.h"
#include "configuration/object_store.h"
#include "entry/entry_settings.h"
#include "lease/lease_keeper.h"
#include "rollout/rollout_controller.h"

namespace pumicemast {

class ControlLoop {
 public:
  ControlLoop(const EntrySettings& settings, const Charts& charts, ObjectStore& store,
              const ConfigurationStore& configuration, const BackendDirectory& directory,
              Metrics& metrics, std::uint64_t incarnation);
  void start();
  /// Stops renewing the lease and making decisions; the lease expires after its time to live.
  void stop();
  const std::string& known_holder() const { return lease_.known_holder(); }
  bool is_controller() const { return was_holder_; }

 private:
  void tick();
  void read_lease();
  void write_lease(const WriteLease& write);
  void update_role(bool holds);
  void decide(TimePoint now);
  void execute(const ControllerAction& action, TimePoint now);
  void write(const std::string& kind, const std::string& name, const nlohmann::json& value,
             ObjectVersion expected, TimePoint now);

  const EntrySettings& settings_;
  ObjectStore& store_;
  const ConfigurationStore& configuration_;
  const BackendDirectory& directory_;
  Metrics& metrics_;
  LeaseKeeper lease_;
  RolloutController controller_;
  Timer tick_timer_;
  TimePoint next_lease_read_{};
  bool reading_lease_ = false;
  bool was_holder_ = false;
  /// Writes in flight or not yet seen by the watch, with the time after which they are retried.
  std::map<std::string, TimePoint> pending_;
};

}  // namespace pumicemast
