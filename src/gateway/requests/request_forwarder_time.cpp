// What becomes of requests as time passes: deadlines, attempts that are silent, late or unwanted.
#include "gateway/requests/request_forwarder.h"

namespace pumicemast {
namespace {

/// The answer at a deadline leaves a moment early, so that the caller still gets it.
constexpr Duration kDeadlineMargin = milliseconds(20);

}  // namespace

void RequestForwarder::take_back(RequestNumber number, RequestSession& session, TimePoint now,
                                 ForwarderActions& actions) {
  ++counters_.taken_back;
  ++session.taken_back;
  actions.emplace_back(CancelAttempt{number});
  session.may_have_run = true;
  session.last_reason = RefusalReason::weights_stale;
  recover(number, session, now, actions);
}

void RequestForwarder::withdraw(RequestNumber number, RequestSession& session, TimePoint now,
                                ForwarderActions& actions) {
  actions.emplace_back(CancelAttempt{number});
  session.may_have_run = true;
  leave_backend(session);
  if (session.answer_begun) {
    abort(number, session, RefusalReason::quarantined, now, actions);
  } else {
    give_up(number, session, RefusalReason::quarantined, now, actions);
  }
}

void RequestForwarder::check_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                                     ForwarderActions& actions) {
  if (!session.first_token_seen && quarantine_.quarantined(session.fingerprint, now)) {
    withdraw(number, session, now, actions);
    return;
  }
  switch (watch_.judge(session, now)) {
    case AttemptState::sound:
      return;
    case AttemptState::not_connected:
      actions.emplace_back(CancelAttempt{number});
      on_attempt_failed(number, AttemptFailure::not_sent, now, actions);
      return;
    case AttemptState::begins_too_late:
      take_back(number, session, now, actions);
      return;
    case AttemptState::silent:
      replace_attempt(number, session, now, actions);
      return;
  }
}

void RequestForwarder::replace_attempt(RequestNumber number, RequestSession& session, TimePoint now,
                                       ForwarderActions& actions) {
  const auto choice = choose_again(session, now);
  if (!choice) return;
  actions.emplace_back(CancelAttempt{number});
  pool_.on_failure(session.backend, now);
  note_cut_off(session, now, actions);
  session.may_have_run = true;
  send_again(number, session, *choice, now, actions);
}

void RequestForwarder::on_tick(TimePoint now, ForwarderActions& actions) {
  on_capacity(now, actions);
  std::vector<RequestNumber> numbers;
  numbers.reserve(sessions_.size());
  for (const auto& [number, session] : sessions_) numbers.push_back(number);
  for (const RequestNumber number : numbers) {
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) continue;
    keep_deadline(number, found->second, now, actions);
  }
}

void RequestForwarder::keep_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                                     ForwarderActions& actions) {
  if (now >= session.deadline - kDeadlineMargin) {
    end_at_deadline(number, session, now, actions);
  } else if (!session.waiting) {
    check_attempt(number, session, now, actions);
  } else if (now >= session.wait_until) {
    if (!session.returning) overload_.on_avoidable_refusal(session.service->name, now);
    give_up(number, session, reason_at_end(session, now), now, actions);
  }
}

RefusalReason RequestForwarder::reason_at_end(const RequestSession& session, TimePoint now) const {
  const bool chose_none = session.last_reason == RefusalReason::no_backend;
  if (chose_none && pool_.limits_requests(session.service->name)) {
    return RefusalReason::rate_limited;
  }
  if (!chose_none || !session.service->engine) return session.last_reason;
  const std::uint64_t lowest = targets_.lowest_allowed(session.request.model, now);
  if (pool_.holds(session.service->name, lowest, now)) return RefusalReason::no_capacity;
  return lowest > 0 ? RefusalReason::weights_stale : RefusalReason::no_backend;
}

void RequestForwarder::end_at_deadline(RequestNumber number, RequestSession& session, TimePoint now,
                                       ForwarderActions& actions) {
  if (!session.backend.empty()) {
    session.may_have_run = true;
    actions.emplace_back(CancelAttempt{number});
    leave_backend(session);
  }
  if (session.answer_begun) {
    abort(number, session, RefusalReason::deadline_passed, now, actions);
  } else {
    give_up(number, session, RefusalReason::deadline_passed, now, actions);
  }
}

}  // namespace pumicemast
