// New requests: whether they are refused, sent at once or wait.
#include <utility>

#include "gateway/requests/request_forwarder.h"

namespace pumicemast {

void RequestForwarder::on_request(RequestNumber number, RequestMetadata request, TimePoint now,
                                  ForwarderActions& actions) {
  ++counters_.requests;
  RequestSession& session = sessions_[number];
  session.request = std::move(request);
  session.arrived = now;
  session.routes = routes_;
  const AuthorizationResult authorization = authorizer_.authorize(routes_.get(), session.request);
  session.route = authorization.route;
  session.service = authorization.service;
  session.tenant = authorization.tenant;
  session.allowed_regions = authorization.allowed_regions;
  session.fingerprint = fingerprint_for(session.request.content, session.tenant);
  if (!session.request.prompt_parts_readable) ++counters_.unreadable_prompt_parts;
  session.priority = authorization.priority;
  session.ordered_by_priority = authorization.ordered_by_priority;
  if (authorization.route != nullptr) planner_.plan_times(session);
  identify_suspects(session);
  if (authorization.refusal) {
    refuse_before_sending(number, session, *authorization.refusal, now, actions);
    return;
  }
  if (stopping_) {
    refuse_before_sending(number, session, {kStatusUnavailable, RefusalReason::stopping}, now,
                          actions);
    return;
  }
  if (session.request.body_refused) {
    refuse_before_sending(number, session, {kStatusUnavailable, RefusalReason::memory}, now,
                          actions);
    return;
  }
  if (is_quarantined(session, now)) {
    // It has not run, but no retry time is stated: while it is in quarantine no gateway runs it.
    refuse(number, session, kStatusUnavailable, RefusalReason::quarantined, {}, now, actions);
    return;
  }
  if (const auto excluded = placement_refusal(planner_.backend_requirements(session, now))) {
    refuse_before_sending(number, session, {kStatusUnavailable, *excluded}, now, actions);
    return;
  }
  retries_.for_service(session.service->name).on_first_attempt();
  if (session.returning) ++counters_.returning;
  if (session.service->engine && !session.returning) ++counters_.engine_first_attempts;
  if (must_yield(session, now)) {
    ++counters_.yielded;
    refuse_before_sending(number, session, {kStatusUnavailable, RefusalReason::no_capacity}, now,
                          actions);
    return;
  }
  if (dispatch(number, session, now, actions)) return;
  if (refuse_while_paused(number, session, now, actions)) return;
  session.waiting = true;
  waiting_.insert(rank_of(number, session));
  queue_for_slot(number, session, now, actions);
}

void RequestForwarder::identify_suspects(RequestSession& session) {
  session.suspects = {session.fingerprint};
  if (session.service == nullptr) return;
  for (const std::string& id : session.request.shared_prompt_parts) {
    session.prompt_parts.push_back(
        {id, fingerprint_prompt_part(session.service->name, session.request.model, id)});
    session.suspects.emplace_back(session.prompt_parts.back().fingerprint,
                                  SuspectKind::prompt_part);
  }
}

void RequestForwarder::refuse_before_sending(RequestNumber number, RequestSession& session,
                                             const RequestRefusal& refusal, TimePoint now,
                                             ForwarderActions& actions) {
  const bool retryable = refusal.status == kStatusUnavailable;
  const Duration retry_after = retryable ? choose_retry_after(session, now) : Duration::zero();
  refuse(number, session, refusal.status, refusal.reason, retry_after, now, actions);
}

bool RequestForwarder::refuse_while_paused(RequestNumber number, RequestSession& session,
                                           TimePoint now, ForwarderActions& actions) {
  const auto resumes_at = pool_.pause_ends_at(planner_.backend_requirements(session, now), now);
  if (!resumes_at || *resumes_at < session.wait_until) return false;
  refuse_before_sending(number, session, {kStatusUnavailable, RefusalReason::backends_paused}, now,
                        actions);
  return true;
}

Duration RequestForwarder::choose_retry_after(const RequestSession& session, TimePoint now) {
  if (session.service == nullptr) return planner_.random_retry_after(session, now);
  const auto resumes_at = pool_.pause_ends_at(planner_.backend_requirements(session, now), now);
  if (!resumes_at && session.slot_expected_at) {
    return planner_.random_retry_after_slot(session, now, *session.slot_expected_at);
  }
  return planner_.random_retry_after(session, now, resumes_at);
}

std::optional<RefusalReason> RequestForwarder::placement_refusal(
    const BackendRequirements& requirements) const {
  switch (pool_.placement_of(requirements)) {
    case ZoneVerdict::allowed:
      return std::nullopt;
    case ZoneVerdict::region_not_allowed:
      return RefusalReason::region_not_allowed;
    case ZoneVerdict::evacuated:
      return RefusalReason::zone_evacuated;
  }
  return std::nullopt;
}

bool RequestForwarder::must_yield(const RequestSession& session, TimePoint now) const {
  return session.returning && session.service->engine &&
         overload_.is_overloaded(session.capacity_group(), session.overload_level(), now);
}

}  // namespace pumicemast
