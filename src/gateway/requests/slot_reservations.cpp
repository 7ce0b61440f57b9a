#include "gateway/requests/slot_reservations.h"

#include <utility>

namespace pumicemast {

void SlotReservations::reserve(const std::string& backend, const Address& engine,
                               const SlotRequest& request, ForwarderActions& actions) {
  State& state = states_[request.number];
  state.engines.insert(engine);
  state.tried.insert(backend);
  ++counters_.queued;
  actions.emplace_back(QueueForSlot{engine, request});
}

bool SlotReservations::may_reserve(RequestNumber number) const {
  const auto found = states_.find(number);
  return found == states_.end() || found->second.rounds < kRounds;
}

std::set<std::string> SlotReservations::tried(RequestNumber number) const {
  const auto found = states_.find(number);
  return found == states_.end() ? std::set<std::string>() : found->second.tried;
}

std::set<Address> SlotReservations::engines() const {
  std::set<Address> result;
  for (const auto& [number, state] : states_) {
    result.insert(state.engines.begin(), state.engines.end());
  }
  return result;
}

bool SlotReservations::waits(RequestNumber number) const {
  const auto found = states_.find(number);
  return found != states_.end() && !found->second.engines.empty();
}

bool SlotReservations::on_denied(RequestNumber number, const Address& engine,
                                 SlotDenialReason reason) {
  const auto found = states_.find(number);
  if (found == states_.end() || found->second.engines.erase(engine) == 0) return false;
  ++counters_.denied;
  std::optional<SlotDenialReason>& known = found->second.reason;
  const bool specific = reason == SlotDenialReason::more_urgent_first ||
                        reason == SlotDenialReason::tenant_over_share;
  if (!known || specific || *known == SlotDenialReason::engine_unavailable) known = reason;
  return true;
}

void SlotReservations::on_granted(RequestNumber number, const Address& engine) {
  const auto found = states_.find(number);
  if (found != states_.end()) found->second.engines.erase(engine);
}

void SlotReservations::give_back(RequestNumber number, const Address& engine,
                                 ForwarderActions& actions) {
  ++counters_.returned;
  actions.emplace_back(LeaveSlotQueue{engine, number});
}

void SlotReservations::leave(RequestNumber number, ForwarderActions& actions) {
  const auto found = states_.find(number);
  if (found == states_.end()) return;
  for (const Address& engine : found->second.engines) {
    ++counters_.withdrawn;
    actions.emplace_back(LeaveSlotQueue{engine, number});
  }
  states_.erase(found);
}

std::vector<RequestNumber> SlotReservations::on_queue_lost(const Address& engine) {
  std::vector<RequestNumber> affected;
  for (auto& [number, state] : states_) {
    if (state.engines.erase(engine) == 0) continue;
    ++counters_.denied;
    affected.push_back(number);
  }
  return affected;
}

std::optional<SlotDenialReason> SlotReservations::denial_reason(RequestNumber number) const {
  const auto found = states_.find(number);
  return found == states_.end() ? std::nullopt : found->second.reason;
}

}  // namespace pumicemast
