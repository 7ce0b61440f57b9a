// Timer-driven part of RequestForwarder: deadlines, and attempts that are stalled, late or
// quarantined.
#include "gateway/requests/request_forwarder.h"

namespace pumicemast {
namespace {

/// The final response is sent this long before the deadline, so that it reaches the caller in time.
constexpr Duration kDeadlineMargin = milliseconds(20);

}  // namespace

void RequestForwarder::cancel_late_attempt(RequestNumber number, RequestSession& session,
                                           TimePoint now, ForwarderActions& actions) {
  ++counters_.taken_back;
  ++session.taken_back;
  actions.emplace_back(CancelAttempt{number});
  session.may_have_run = true;
  session.last_reason = RefusalReason::weights_stale;
  retry_or_fail(number, session, now, actions);
}

void RequestForwarder::cancel_quarantined_attempt(RequestNumber number, RequestSession& session,
                                                  TimePoint now, ForwarderActions& actions) {
  actions.emplace_back(CancelAttempt{number});
  session.may_have_run = true;
  release_backend(session);
  if (session.response_started) {
    abort(number, session, RefusalReason::quarantined, now, actions);
  } else {
    give_up(number, session, RefusalReason::quarantined, now, actions);
  }
}

void RequestForwarder::check_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                                     ForwarderActions& actions) {
  if (!session.first_token_seen && is_quarantined(session, now)) {
    cancel_quarantined_attempt(number, session, now, actions);
    return;
  }
  switch (attempt_monitor_.assess(session, now)) {
    case AttemptState::healthy:
      return;
    case AttemptState::not_connected:
      actions.emplace_back(CancelAttempt{number});
      on_attempt_failed(number, AttemptFailure::not_sent, now, actions);
      return;
    case AttemptState::starts_too_late:
      cancel_late_attempt(number, session, now, actions);
      return;
    case AttemptState::stalled:
      replace_attempt(number, session, now, actions);
      return;
  }
}

void RequestForwarder::replace_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                                       ForwarderActions& actions) {
  const auto choice = choose_retry_backend(session, now);
  if (!choice) return;
  actions.emplace_back(CancelAttempt{number});
  pool_.on_failure(session.backend, now);
  record_possible_crash(session, now, actions);
  session.may_have_run = true;
  retry_on(number, session, *choice, now, actions);
}

void RequestForwarder::on_tick(TimePoint now, ForwarderActions& actions) {
  on_capacity(now, actions);
  update_reservations(now, actions);
  std::vector<RequestNumber> numbers;
  numbers.reserve(sessions_.size());
  for (const auto& [number, session] : sessions_) numbers.push_back(number);
  for (const RequestNumber number : numbers) {
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) continue;
    enforce_deadline(number, found->second, now, actions);
  }
}

void RequestForwarder::enforce_deadline(RequestNumber number, RequestSession& session,
                                        TimePoint now, ForwarderActions& actions) {
  if (session.end_held_until) {
    decide_inferred_end(number, session, now, actions);
  } else if (now >= session.deadline - kDeadlineMargin) {
    end_at_deadline(number, session, now, actions);
  } else if (!session.waiting) {
    check_attempt(number, session, now, actions);
  } else if (now >= session.wait_until) {
    refuse_after_wait(number, session, now, actions);
  }
}

void RequestForwarder::refuse_after_wait(RequestNumber number, RequestSession& session,
                                         TimePoint now, ForwarderActions& actions) {
  if (!session.returning) {
    overload_.on_avoidable_refusal(session.capacity_group(), session.overload_level(), now);
  }
  give_up(number, session, refusal_reason_after_wait(number, session, now), now, actions);
}

RefusalReason RequestForwarder::refusal_reason_after_wait(RequestNumber number,
                                                          const RequestSession& session,
                                                          TimePoint now) const {
  if (const auto denied = slot_refusal(number)) return *denied;
  if (session.last_reason != RefusalReason::no_backend) return session.last_reason;
  const BackendRequirements requirements = planner_.backend_requirements(session, now);
  if (const auto excluded = placement_refusal(requirements)) return *excluded;
  if (pool_.pause_ends_at(requirements, now)) return RefusalReason::backends_paused;
  if (pool_.has_limited_backend(requirements)) return RefusalReason::rate_limited;
  if (pool_.has_cold_backend(requirements, now)) return RefusalReason::backend_cold;
  if (!session.service->engine) return RefusalReason::no_backend;
  if (pool_.has_weights(requirements, now)) return RefusalReason::no_capacity;
  return requirements.lowest_version > 0 ? RefusalReason::weights_stale : RefusalReason::no_backend;
}

void RequestForwarder::end_at_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                                       ForwarderActions& actions) {
  end_request(number, session, RefusalReason::deadline_passed, now, actions);
}

void RequestForwarder::end_request(RequestNumber number, RequestSession& session,
                                   RefusalReason reason, TimePoint now, ForwarderActions& actions) {
  if (!session.backend.empty()) {
    session.may_have_run = true;
    actions.emplace_back(CancelAttempt{number});
    release_backend(session);
  }
  if (session.response_started) {
    abort(number, session, reason, now, actions);
  } else {
    give_up(number, session, reason, now, actions);
  }
}

void RequestForwarder::end_all(TimePoint now, ForwarderActions& actions) {
  while (!sessions_.empty()) {
    const auto& [number, session] = *sessions_.begin();
    end_request(number, sessions_.begin()->second, RefusalReason::stopping, now, actions);
  }
}

}  // namespace pumicemast
