// Waiting for slots of engines that grant them by priority: reservations, grants and denials.
#include <algorithm>

#include "common/hash.h"
#include "gateway/requests/request_forwarder.h"

namespace pumicemast {
namespace {

/// Limit of searches that find no engine with a queue, per timer interval. Each search visits all
/// engines, and there may be none while agents of an earlier version run.
constexpr int kMaximumFailedSearches = 8;

}  // namespace

void RequestForwarder::queue_for_slot(RequestNumber number, RequestSession& session, TimePoint now,
                                      ForwarderActions& actions) {
  if (!session.ordered_by_priority || !reservations_.may_reserve(number)) return;
  const bool own_zone_first = reservations_.tried(number).empty();
  std::set<std::string> excluded = reservations_.tried(number);
  excluded.insert(session.tried_backends.begin(), session.tried_backends.end());
  const std::vector<BackendChoice> engines =
      pool_.slot_candidates(planner_.backend_requirements(session, now), excluded,
                            SlotReservations::kCopies, own_zone_first, now);
  SlotRequest request;
  request.number = number;
  request.priority = std::clamp(session.priority, kMostUrgentPriority, kLeastUrgentPriority);
  request.returning = session.returning;
  request.tenant = session.tenant.empty() ? 0 : stable_hash(session.tenant);
  request.prompt_tokens = static_cast<std::uint32_t>(session.request.prompt_tokens);
  request.copies = static_cast<std::uint32_t>(engines.size());
  for (const BackendChoice& engine : engines) {
    request.useful_for = planner_.slot_useful_for(session, engine.expected_ms, now);
    if (request.useful_for <= Duration::zero()) continue;
    session.wait_until = std::max(session.wait_until, now + request.useful_for);
    reservations_.reserve(engine.id, engine.address, request, actions);
  }
  if (reservations_.waits(number)) reservations_.on_round(number);
}

void RequestForwarder::update_reservations(TimePoint now, ForwarderActions& actions) {
  for (const Address& engine : reservations_.engines()) {
    if (pool_.keeps_slot_queue(engine, now)) continue;
    for (const RequestNumber number : reservations_.on_queue_lost(engine)) {
      actions.emplace_back(LeaveSlotQueue{engine, number});
    }
  }
  int failed_searches = 0;
  for (const WaitingRank& rank : waiting_) {
    RequestSession& session = sessions_.at(rank.number);
    if (!session.ordered_by_priority || reservations_.waits(rank.number)) continue;
    queue_for_slot(rank.number, session, now, actions);
    if (!reservations_.waits(rank.number) && ++failed_searches == kMaximumFailedSearches) return;
  }
}

void RequestForwarder::on_slot_granted(const Address& engine, RequestNumber number, TimePoint now,
                                       ForwarderActions& actions) {
  reservations_.on_granted(number, engine);
  const auto found = sessions_.find(number);
  // The request was sent elsewhere or has ended; a withdrawal is on its way to the agent, which
  // then grants the slot again. Using it here as well would use it twice.
  if (found == sessions_.end() || !found->second.waiting) {
    reservations_.on_crossed_grant();
    return;
  }
  RequestSession& session = found->second;
  if (use_granted_slot(number, session, pool_.id_at(engine), now, actions)) return;
  reservations_.give_back(number, engine, actions);
  if (!reservations_.waits(number)) queue_elsewhere(number, session, now, actions);
}

bool RequestForwarder::use_granted_slot(RequestNumber number, RequestSession& session,
                                        const std::string& backend, TimePoint now,
                                        ForwarderActions& actions) {
  if (backend.empty() || !session.ordered_by_priority || now >= session.wait_until) return false;
  if (quarantine_.quarantined(session.fingerprint, now)) return false;
  BackendRequirements requirements = planner_.backend_requirements(session, now);
  requirements.granted_backend = backend;
  requirements.unreserved_only = false;
  const auto choice = pool_.choose(requirements, session.tried_backends, now);
  if (!choice || choice->expected_ms > planner_.admission_limit_ms(session, now)) return false;
  reservations_.on_used();
  send(number, session, *choice, now, actions);
  return true;
}

void RequestForwarder::on_slot_denied(const Address& engine, const SlotDenial& denial,
                                      TimePoint now, ForwarderActions& actions) {
  if (!reservations_.on_denied(denial.number, engine, denial.reason)) return;
  const auto found = sessions_.find(denial.number);
  if (found == sessions_.end() || !found->second.waiting) return;
  RequestSession& session = found->second;
  const std::string backend = pool_.id_at(engine);
  session.slot_denials += (session.slot_denials.empty() ? "" : ",") +
                          (backend.empty() ? engine.to_string() : backend) + "/" +
                          to_string(denial.reason);
  if (denial.expected_wait > Duration::zero()) {
    const TimePoint expected = now + denial.expected_wait;
    session.slot_expected_at = std::min(expected, session.slot_expected_at.value_or(expected));
  }
  if (!reservations_.waits(denial.number)) queue_elsewhere(denial.number, session, now, actions);
}

void RequestForwarder::on_slot_queue_lost(const Address& engine, TimePoint now,
                                          ForwarderActions& actions) {
  for (const RequestNumber number : reservations_.on_queue_lost(engine)) {
    const auto found = sessions_.find(number);
    if (found == sessions_.end() || !found->second.waiting || reservations_.waits(number)) continue;
    // This is no denial: without other engines it waits on, and may be sent on an estimate.
    queue_for_slot(number, found->second, now, actions);
  }
}

void RequestForwarder::queue_elsewhere(RequestNumber number, RequestSession& session, TimePoint now,
                                       ForwarderActions& actions) {
  if (quarantine_.quarantined(session.fingerprint, now)) {
    give_up(number, session, RefusalReason::quarantined, now, actions);
    return;
  }
  queue_for_slot(number, session, now, actions);
  if (reservations_.waits(number)) return;
  // All engines have said that a slot comes too late; waiting on would not change that.
  refuse_after_wait(number, session, now, actions);
}

std::optional<RefusalReason> RequestForwarder::slot_refusal(RequestNumber number) const {
  const auto reason = reservations_.denial_reason(number);
  if (!reason) return std::nullopt;
  switch (*reason) {
    case SlotDenialReason::more_urgent_first:
      return RefusalReason::more_urgent_first;
    case SlotDenialReason::tenant_over_share:
      return RefusalReason::tenant_over_share;
    case SlotDenialReason::no_capacity:
    case SlotDenialReason::engine_unavailable:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace pumicemast
