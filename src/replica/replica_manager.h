/// Brings the replicas of one machine to what its assignment orders.
///
/// A decision core: no I/O. It interprets charts/replica.ini and reconciles after every
/// event. Promises:
/// - a version is activated only after every byte of it was verified in the engine;
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

/// A version of a model by name and content.
struct VersionReference {
  std::string version;  ///< "" for none.
  std::string digest;
  bool operator==(const VersionReference&) const = default;
  bool present() const { return !digest.empty(); }
};

/// What this machine is to hold of one model.
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
  std::string note;  ///< Why it is not live, for operators.
  bool activation_ordered = false;
};

// ---- actions, to be carried out in order ----
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
/// Fenced order: serve `version`. Answer with on_activated().
struct ActivateVersion {
  std::string model;
  VersionReference version;
  std::uint64_t fence = 0;
};
/// Fenced order: free the memory of a version that does not serve.
struct DropVersion {
  std::string model;
  std::string digest;
  std::uint64_t fence = 0;
};
/// A replica changed its state; for the log and the next status report.
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

  /// The whole desired state; models that are missing from it are to be dropped.
  ReplicaActions on_orders(const std::vector<ReplicaOrder>& orders);
  /// Every byte of `digest` is verified in the engine's staging memory.
  ReplicaActions on_verified(const std::string& digest);
  /// Answer to ActivateVersion. A failure that says the content is incomplete leads to a
  /// new fetch.
  ReplicaActions on_activated(const std::string& model, const std::string& digest, bool activated,
                              const std::string& reason);
  /// No request of `model` is in progress at this machine.
  ReplicaActions on_idle(const std::string& model);
  /// The engine restarted: nothing that it held is there any more.
  ReplicaActions on_engine_lost();
  /// Recovery after an agent's restart: the engine serves `digest` already.
  ReplicaActions on_engine_serves(const std::string& model, const VersionReference& version);

  /// Keyed by digest. Two models may not share a digest at one machine.
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
  std::map<std::string, ReplicaOrder> orders_;  ///< By model.
  std::map<std::string, Replica> replicas_;
  bool orders_received_ = false;  ///< Nothing is dropped before the first orders arrived.
};

}  // namespace pumicemast
