/// Reconciles the replicas of one machine with the orders of its assignment.
///
/// A decision core: no I/O. Interprets charts/replica.ini and reconciles after every event.
/// Invariants:
/// - a version is activated only after all its bytes have been verified in the engine;
/// - activation waits until no request of the previous version is in progress;
/// - a live version that is still needed is dropped only after its successor is live.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "common/state_chart.h"

namespace pumicemast {

/// A model version, identified by name and content digest.
struct VersionReference {
  std::string version;  ///< "" for none.
  std::string digest;
  bool operator==(const VersionReference&) const = default;
  bool present() const { return !digest.empty(); }
};

/// Versions of one model that this machine should stage and serve.
struct ReplicaOrder {
  std::string model;
  VersionReference stage;
  VersionReference serve;
  std::uint64_t fence = 0;
  bool paused = false;
};

struct Replica {
  std::string model;
  VersionReference version;
  std::string state;
  std::string note;  ///< Reason why it is not live, shown to operators.
  bool activation_ordered = false;
};

// ---- actions, to be executed in order ----
struct StartFetch {
  std::string model;
  VersionReference version;
};
struct StopFetch {
  std::string digest;
};
struct CloseAdmission {
  std::string model;
};
struct OpenAdmission {
  std::string model;
  std::string digest;
};
/// Fenced order to serve `version`. The result is reported with on_activated().
struct ActivateVersion {
  std::string model;
  VersionReference version;
  std::uint64_t fence = 0;
};
/// Fenced order to free the memory of a version that is not served.
struct DropVersion {
  std::string model;
  std::string digest;
  std::uint64_t fence = 0;
};
/// State change of a replica, for the log and the next status report.
struct ReplicaChanged {
  std::string model;
  std::string version;
  std::string from;
  std::string to;
};
using ReplicaAction = std::variant<StartFetch, StopFetch, CloseAdmission, OpenAdmission,
                                   ActivateVersion, DropVersion, ReplicaChanged>;
using ReplicaActions = std::vector<ReplicaAction>;

class ReplicaManager {
 public:
  explicit ReplicaManager(const StateChart& chart) : chart_(chart) {}

  /// Sets the complete desired state; models that it does not contain are dropped.
  ReplicaActions on_orders(const std::vector<ReplicaOrder>& orders);
  /// Called when all bytes of `digest` are verified in the engine's staging memory.
  ReplicaActions on_verified(const std::string& digest);
  /// Result of ActivateVersion. After a failure, the previous version is served again and the
  /// failed version is fetched again.
  ReplicaActions on_activated(const std::string& model, const std::string& digest, bool activated,
                              const std::string& reason);
  /// Called when no request of `model` is in progress at this machine.
  ReplicaActions on_idle(const std::string& model);
  /// Called when the engine has restarted and lost the contents of its memory.
  ReplicaActions on_engine_lost();
  /// Recovery after a restart of the agent: the engine already serves `version`.
  ReplicaActions on_engine_serves(const std::string& model, const VersionReference& version);

  /// Keyed by digest. Two models must not share a digest on one machine.
  const std::map<std::string, Replica>& replicas() const { return replicas_; }
  const Replica* live(const std::string& model) const;

 private:
  bool step(Replica& replica, const char* event, ReplicaActions& actions);
  void ensure_fetched(const ReplicaOrder& order, const VersionReference& version,
                      ReplicaActions& actions);
  void reconcile_model(const ReplicaOrder& order, ReplicaActions& actions);
  void reopen_previous(const std::string& model, ReplicaActions& actions) const;
  void drop_unwanted(ReplicaActions& actions);
  ReplicaActions reconcile();
  const ReplicaOrder* order_of(const std::string& model) const;

  const StateChart& chart_;
  std::map<std::string, ReplicaOrder> orders_;  ///< Keyed by model.
  std::map<std::string, Replica> replicas_;
  bool orders_received_ = false;  ///< Nothing is dropped before the first orders arrive.
};

}  // namespace pumicemast
