#include "replica/replica_manager.h"

#include <cassert>

namespace pumicemast {

bool ReplicaManager::step(Replica& replica, const char* event, ReplicaActions& actions) {
  if (!chart_.accepts(replica.state, event)) return false;
  const std::string from = replica.state;
  replica.state = chart_.next(from, event);
  actions.push_back(ReplicaChanged{replica.model, replica.version.version, from, replica.state});
  return true;
}

const ReplicaOrder* ReplicaManager::order_of(const std::string& model) const {
  const auto found = orders_.find(model);
  return found == orders_.end() ? nullptr : &found->second;
}

const Replica* ReplicaManager::live(const std::string& model) const {
  for (const auto& [digest, replica] : replicas_) {
    if (replica.model == model && replica.state == "LIVE") return &replica;
  }
  return nullptr;
}

ReplicaActions ReplicaManager::on_orders(const std::vector<ReplicaOrder>& orders) {
  orders_.clear();
  for (const ReplicaOrder& order : orders) orders_[order.model] = order;
  orders_received_ = true;
  return reconcile();
}

void ReplicaManager::ensure_fetched(const ReplicaOrder& order, const VersionReference& version,
                                    ReplicaActions& actions) {
  if (!version.present()) return;
  Replica& replica = replicas_[version.digest];
  if (replica.state.empty()) {
    replica = Replica{order.model, version, chart_.initial(), "not fetched yet"};
  }
  replica.version.version = version.version;  // A version may be published under a second name.
  if (step(replica, "stage_ordered", actions)) {
    replica.note = "fetching";
    actions.push_back(StartFetch{order.model, version});
  }
}

void ReplicaManager::reconcile_model(const ReplicaOrder& order, ReplicaActions& actions) {
  ensure_fetched(order, order.stage, actions);
  ensure_fetched(order, order.serve, actions);
  if (!order.serve.present()) return;
  Replica& wanted = replicas_[order.serve.digest];
  if (wanted.state == "DRAINING" && step(wanted, "serve_ordered", actions)) {
    actions.push_back(OpenAdmission{wanted.model, wanted.version.digest});
  }
  if (wanted.state == "STAGED" && step(wanted, "serve_ordered", actions)) {
    wanted.note = "waiting for requests of the previous version";
    actions.push_back(CloseAdmission{wanted.model});
  }
}

void ReplicaManager::reopen_previous(const std::string& model, ReplicaActions& actions) const {
  const Replica* previous = live(model);
  if (previous != nullptr) actions.push_back(OpenAdmission{model, previous->version.digest});
}

void ReplicaManager::drop_unwanted(ReplicaActions& actions) {
  for (auto iterator = replicas_.begin(); iterator != replicas_.end();) {
    Replica& replica = iterator->second;
    const std::string& digest = iterator->first;
    const ReplicaOrder* order = order_of(replica.model);
    const bool wanted =
        order != nullptr && (order->stage.digest == digest || order->serve.digest == digest);
    // A live version continues to serve until its successor is live.
    const bool awaits_successor =
        replica.state == "LIVE" && order != nullptr && order->serve.present();
    // The engine may already be switching to it; dropping it could leave no version in service.
    if (wanted || awaits_successor || replica.activation_ordered) {
      ++iterator;
      continue;
    }
    const std::string before = replica.state;
    const std::uint64_t fence = order == nullptr ? 0 : order->fence;
    step(replica, "drop_ordered", actions);
    if (before == "FETCHING") actions.push_back(StopFetch{digest});
    if (before == "LIVE") actions.push_back(CloseAdmission{replica.model});
    if (before == "SWITCHING") reopen_previous(replica.model, actions);
    if (replica.state == "ABSENT") {
      actions.push_back(DropVersion{replica.model, digest, fence});
      iterator = replicas_.erase(iterator);
      continue;
    }
    ++iterator;
  }
}

ReplicaActions ReplicaManager::reconcile() {
  ReplicaActions actions;
  if (!orders_received_) return actions;
  for (const auto& [model, order] : orders_) reconcile_model(order, actions);
  drop_unwanted(actions);
  return actions;
}

ReplicaActions ReplicaManager::on_verified(const std::string& digest) {
  ReplicaActions actions;
  const auto found = replicas_.find(digest);
  if (found == replicas_.end() || !step(found->second, "content_verified", actions)) return actions;
  found->second.note = "verified; waiting for the order to serve";
  ReplicaActions more = reconcile();
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

ReplicaActions ReplicaManager::on_idle(const std::string& model) {
  ReplicaActions actions;
  for (auto& [digest, replica] : replicas_) {
    if (replica.model != model) continue;
    if (replica.state == "SWITCHING" && !replica.activation_ordered) {
      replica.activation_ordered = true;
      const ReplicaOrder* order = order_of(model);
      const std::uint64_t fence = order == nullptr ? 0 : order->fence;
      actions.push_back(ActivateVersion{model, replica.version, fence});
    }
    if (replica.state == "DRAINING") step(replica, "idle", actions);
  }
  for (auto iterator = replicas_.begin(); iterator != replicas_.end();) {
    Replica& replica = iterator->second;
    if (replica.model != model || replica.state != "ABSENT") {
      ++iterator;
      continue;
    }
    const ReplicaOrder* order = order_of(model);
    actions.push_back(DropVersion{model, iterator->first, order == nullptr ? 0 : order->fence});
    iterator = replicas_.erase(iterator);
  }
  return actions;
}

ReplicaActions ReplicaManager::on_activated(const std::string& model, const std::string& digest,
                                            bool activated, const std::string& reason) {
  ReplicaActions actions;
  const auto found = replicas_.find(digest);
  if (found == replicas_.end() || found->second.state != "SWITCHING") return actions;
  found->second.activation_ordered = false;
  if (!activated) {
    found->second.note = reason;
    step(found->second, "activation_failed", actions);
    actions.push_back(StartFetch{model, found->second.version});
    // The engine still serves the previous version.
    reopen_previous(model, actions);
    return actions;
  }
  for (auto& [other_digest, other] : replicas_) {
    if (other.model == model && other_digest != digest) step(other, "superseded", actions);
  }
  step(found->second, "activated", actions);
  found->second.note.clear();
  actions.push_back(OpenAdmission{model, digest});
  ReplicaActions more = reconcile();
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

ReplicaActions ReplicaManager::on_engine_lost() {
  ReplicaActions actions;
  for (auto& [digest, replica] : replicas_) {
    if (replica.state == "FETCHING") actions.push_back(StopFetch{digest});
    actions.push_back(CloseAdmission{replica.model});
    step(replica, "engine_lost", actions);
    replica.activation_ordered = false;
    replica.note = "the engine lost its memory";
  }
  ReplicaActions more = reconcile();
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

ReplicaActions ReplicaManager::on_engine_serves(const std::string& model,
                                                const VersionReference& version) {
  ReplicaActions actions;
  if (replicas_.contains(version.digest)) return actions;
  Replica& replica = replicas_[version.digest];
  replica = Replica{model, version, chart_.initial(), ""};
  for (const char* event : {"stage_ordered", "content_verified", "serve_ordered", "activated"}) {
    step(replica, event, actions);
  }
  actions.push_back(OpenAdmission{model, version.digest});
  return actions;
}

}  // namespace pumicemast
