/// Decides which machines stage and serve which model versions.
///
/// A decision core: no I/O. Only the holder of the controller lease runs it. Its decisions are
/// conditional writes, and placements carry the lease's term as fence. It keeps no state apart from
/// the time at which the lease was acquired: a new holder decides from the stored objects and the
/// agents' reports.
///
/// Invariants:
/// - a machine is ordered to switch versions only if at least
///   max(floor, target - max_unavailable) live replicas remain;
/// - a planned stop starts only if at least floor live replicas of each model remain, unless it is
///   forced;
/// - a machine is ordered to serve a version only if it has no live version or has verified it.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/state_chart.h"
#include "configuration/configuration_store.h"
#include "routing/backend_directory.h"

namespace pumicemast {

struct RolloutControllerOptions {
  /// Time for which a machine may be disconnected before it is replaced.
  Duration replace_after = seconds(10);
};

// ---- actions: conditional writes ----
struct WritePlacement {
  Placement placement;
  ObjectVersion expected = 0;
};
struct WriteRollout {
  Rollout rollout;
  ObjectVersion expected = 0;
};
struct WritePlannedStop {
  PlannedStop stop;
  ObjectVersion expected = 0;
};
using ControllerAction = std::variant<WritePlacement, WriteRollout, WritePlannedStop>;
using ControllerActions = std::vector<ControllerAction>;

class RolloutController {
 public:
  RolloutController(const StateChart& rollout_chart, const StateChart& drain_chart,
                    RolloutControllerOptions options)
      : rollout_chart_(rollout_chart), drain_chart_(drain_chart), options_(options) {}

  /// Called when this process acquired the lease. Disconnected machines get a new grace period.
  void on_lease_acquired(TimePoint now) { acquired_at_ = now; }
  /// Compares the actual with the desired state and returns the writes that bring them closer.
  /// @param term  the lease's term, stored as the fence of each placement.
  ControllerActions decide(const ConfigurationStore& configuration,
                           const BackendDirectory& directory, std::uint64_t term, TimePoint now);

 private:
  /// Inputs of a decision about one model.
  struct ModelContext {
    const ConfigurationStore& configuration;
    const BackendDirectory& directory;
    const Rollout& rollout;
    const ReplicaTarget& target;
    std::string desired;  ///< Version to be served; "" for none.
    TimePoint now;
  };

  void decide_model(const ConfigurationStore& configuration, const BackendDirectory& directory,
                    const Versioned<Rollout>& rollout, std::uint64_t term, TimePoint now,
                    ControllerActions& actions);
  void decide_stops(const ConfigurationStore& configuration, const BackendDirectory& directory,
                    TimePoint now, ControllerActions& actions);

  bool is_lost(const BackendDirectory& directory, const std::string& machine, TimePoint now) const;
  bool is_leaving(const ModelContext& context, const std::string& machine) const;
  bool has_live_replica(const ModelContext& context, const std::string& machine,
                        const std::string& version) const;
  std::uint32_t live_count(const ModelContext& context, const Placement& placement) const;
  std::uint32_t required_live(const ModelContext& context) const;
  std::uint32_t desired_replicas(const ModelContext& context) const;
  void remove_lost_machines(const ModelContext& context, Placement& placement) const;
  void remove_finished_stops(const ModelContext& context, Placement& placement) const;
  void add_machines(const ModelContext& context, Placement& placement) const;
  void remove_surplus(const ModelContext& context, Placement& placement) const;
  void advance_versions(const ModelContext& context, Placement& placement) const;
  std::string rollout_state(const ModelContext& context, const Placement& placement) const;
  std::uint64_t planned_bytes(const ModelContext& context, const std::string& machine) const;

  const StateChart& rollout_chart_;
  const StateChart& drain_chart_;
  RolloutControllerOptions options_;
  TimePoint acquired_at_{};
};

}  // namespace pumicemast
