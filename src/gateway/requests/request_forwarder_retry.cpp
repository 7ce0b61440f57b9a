// What follows a failed attempt: a retry or a resumption at another back end, or the end.
#include "gateway/requests/request_forwarder.h"

namespace pumicemast {
namespace {

constexpr int kStatusBadGateway = 502;
constexpr int kStatusGatewayTimeout = 504;
/// No retry is sent when less time than this is left until the deadline.
constexpr Duration kMinimumTimeLeft = milliseconds(30);

}  // namespace

std::optional<BackendChoice> RequestForwarder::choose_retry_backend(const RequestSession& session,
                                                                    TimePoint now) {
  const bool safe_to_retry = !session.may_have_run || session.repeatable();
  if (!safe_to_retry || session.sends >= session.route->attempts) return std::nullopt;
  if (session.deadline - now <= kMinimumTimeLeft) return std::nullopt;
  if (may_crash_another(session, now)) return std::nullopt;
  const auto choice =
      pool_.choose(planner_.backend_requirements(session, now), session.tried_backends, now);
  if (!choice || choice->expected_ms >= to_fractional_milliseconds(session.deadline - now))
    return std::nullopt;
  // The last check, so that a retry is spent only when the request is sent.
  if (retries_.for_service(session.service->name).try_spend()) return choice;
  ++counters_.budget_exhausted;
  return std::nullopt;
}

void RequestForwarder::retry_on(RequestNumber number, RequestSession& session,
                                const BackendChoice& choice, TimePoint now,
                                ForwarderActions& actions) {
  release_backend(session);
  ++(session.response_started ? counters_.resumes : counters_.repeats);
  send(number, session, choice, now, actions);
}

void RequestForwarder::retry_or_fail(RequestNumber number, RequestSession& session, TimePoint now,
                                     ForwarderActions& actions) {
  release_backend(session);
  // A response that has been started can only be continued after an event with an id.
  const bool can_continue = !session.response_started ||
                            (session.stream_started && session.splitter.last_id().has_value());
  const auto choice = can_continue ? choose_retry_backend(session, now) : std::nullopt;
  if (choice) {
    retry_on(number, session, *choice, now, actions);
  } else if (session.response_started) {
    abort(number, session, RefusalReason::backend_failed, now, actions);
  } else {
    give_up(number, session, session.last_reason, now, actions);
  }
}

void RequestForwarder::give_up(RequestNumber number, RequestSession& session, RefusalReason reason,
                               TimePoint now, ForwarderActions& actions) {
  if (session.may_have_run) {
    const int status =
        reason == RefusalReason::deadline_passed ? kStatusGatewayTimeout : kStatusBadGateway;
    refuse(number, session, status, reason, {}, now, actions);
    return;
  }
  const Duration retry_after =
      reason == RefusalReason::quarantined ? Duration::zero() : choose_retry_after(session, now);
  refuse(number, session, kStatusUnavailable, reason, retry_after, now, actions);
}

}  // namespace pumicemast
