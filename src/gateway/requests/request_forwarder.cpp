#include "gateway/requests/request_forwarder.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pumicemast {
namespace {

constexpr int kFirstServerError = 500;
/// Limit of attempts whose connection could not be established, and which thus cannot have run.
constexpr std::uint32_t kMaximumConnectFailures = 4;

/// Whether callers take a response with this status to mean that the request did not run.
bool implies_not_run(int status) {
  constexpr int kStatusTimeout = 408;
  constexpr int kStatusMisdirected = 421;
  constexpr int kStatusTooMany = 429;
  return status == kStatusUnavailable || status == kStatusTooMany || status == kStatusTimeout ||
         status == kStatusMisdirected;
}

}  // namespace

RequestForwarder::RequestForwarder(BackendPool& pool, const WeightTargets& targets,
                                   RequestQuarantine& quarantine, ForwarderOptions options)
    : pool_(pool),
      targets_(targets),
      quarantine_(quarantine),
      options_(options),
      planner_(targets_, options_),
      response_relay_(pool_, options_),
      attempt_monitor_(pool_, targets_, options_),
      retries_(options.retry_ratio, options.retry_reserve),
      authorizer_(options.seed) {}

void RequestForwarder::set_routes(RouteTablePointer routes) {
  routes_ = std::move(routes);
  if (!routes_) return;
  for (auto& [number, session] : sessions_) {
    const auto allowed = RequestAuthorizer::allowed_regions(*routes_, session.request);
    if (allowed) session.allowed_regions = *allowed;
  }
}

bool RequestForwarder::dispatch(RequestNumber number, RequestSession& session, TimePoint now,
                                ForwarderActions& actions) {
  if (is_quarantined(session, now)) {
    give_up(number, session, RefusalReason::quarantined, now, actions);
    return true;
  }
  const BackendRequirements requirements = planner_.backend_requirements(session, now);
  const auto choice = pool_.choose(requirements, session.tried_backends, now);
  const bool too_slow = choice && session.service->engine &&
                        choice->expected_ms > planner_.admission_limit_ms(session, now);
  if (!choice || too_slow) {
    session.last_reason = too_slow ? RefusalReason::no_capacity : RefusalReason::no_backend;
    if (too_slow) session.expected_ms = choice->expected_ms;
    pool_.request_permit(requirements, session.tried_backends,
                         waiting_.size() + (session.waiting ? 0 : 1), now);
    return false;
  }
  send(number, session, *choice, now, actions);
  return true;
}

void RequestForwarder::send(RequestNumber number, RequestSession& session,
                            const BackendChoice& choice, TimePoint now, ForwarderActions& actions) {
  session.waiting = false;
  waiting_.erase(rank_of(number, session));
  reservations_.leave(number, actions);
  session.backend = choice.id;
  session.backend_incarnation = pool_.incarnation_of(choice.id);
  session.backend_address = choice.address;
  session.sent_at = now;
  session.last_progress = now;
  session.connected = false;
  session.head_received = false;
  session.first_token_seen = false;
  session.reading_paused = false;
  session.event_stream = false;
  session.streaming = false;
  session.buffered.clear();
  session.unused_response_bytes = 0;
  session.slot_released = false;
  session.end_held_until.reset();
  session.backend_ended = false;
  session.end_probed = false;
  session.later_response = false;
  session.ticks_after_close = 0;
  if (session.splitter.event_count() > session.events_before || session.splitter.inside_event())
    session.may_be_whole = session.closed_at.has_value() && !session.splitter.inside_event();
  session.closed_at.reset();
  session.splitter.discard_partial_event();
  session.events_before = session.splitter.event_count();
  session.tried_backends.insert(choice.id);
  session.tried_backend_names += (session.tried_backend_names.empty() ? "" : ",") + choice.id;
  session.last_version = choice.weight_version;
  session.naming_age = targets_.age(session.request.model, now);
  if (session.sends == 0) {
    session.first_sent = now;
    session.expected_ms = choice.expected_ms;
  }
  ++session.sends;
  ++counters_.sends;
  if (pool_.limits().limited(choice.id)) ++counters_.limited_sends;
  pool_.on_sent(choice.id, session.request.prompt_tokens, now);
  SendToBackend action;
  action.request = number;
  action.backend = choice.id;
  action.address = choice.address;
  action.time_left = session.deadline - now;
  action.expected_version =
      targets_.lowest_allowed(session.request.model, now) > 0 ? choice.weight_version : 0;
  if (session.response_started) action.resume_after = session.splitter.last_id().value_or("");
  action.tenant = session.tenant;
  if (session.ordered_by_priority) {
    action.priority = std::clamp(session.priority, kMostUrgentPriority, kLeastUrgentPriority);
  }
  action.max_idle_connections = pool_.max_idle_connections(*session.service);
  actions.emplace_back(std::move(action));
}

void RequestForwarder::release_slot(RequestSession& session) {
  if (session.backend.empty() || std::exchange(session.slot_released, true)) return;
  if (!session.first_token_seen) {
    pool_.on_first_token(session.backend, session.request.prompt_tokens);
  }
  pool_.on_finished(session.backend);
}

void RequestForwarder::release_backend(RequestSession& session) {
  release_slot(session);
  session.backend.clear();
}

void RequestForwarder::record_possible_crash(const RequestSession& session, TimePoint now,
                                             ForwarderActions& actions) {
  crash_correlator_.on_response_interrupted(session.backend_incarnation, session.fingerprint, now,
                                            session.prompt_parts);
  // The agent of an engine reports the engine's exit; a plain service has no agent.
  if (!session.service->engine) {
    actions.emplace_back(ProbeBackend{session.backend, session.backend_address});
  }
}

void RequestForwarder::on_backend_ended(const std::string& backend, TimePoint now) {
  crash_correlator_.on_process_exit(backend, now);
  for (auto& [number, session] : sessions_) {
    if (session.end_held_until && session.backend == backend) session.backend_ended = true;
  }
}

std::vector<BackendCrash> RequestForwarder::take_crashes(TimePoint now) {
  std::vector<BackendCrash> crashes = crash_correlator_.take_crashes(now);
  for (const BackendCrash& crash : crashes) quarantine_.on_crash(crash);
  return crashes;
}

bool RequestForwarder::may_crash_another(const RequestSession& session, TimePoint now) const {
  if (quarantine_.first_quarantined(session.suspects, now) != nullptr) return true;
  return std::any_of(
      session.suspects.begin(), session.suspects.end(), [&](const CrashSuspect& suspect) {
        return quarantine_.crash_count(suspect) + 1 >= quarantine_.crash_threshold() &&
               crash_correlator_.awaits_confirmation(suspect, now);
      });
}

bool RequestForwarder::is_quarantined(RequestSession& session, TimePoint now) const {
  const CrashSuspect* suspect = quarantine_.first_quarantined(session.suspects, now);
  if (suspect == nullptr) return false;
  session.quarantined_by =
      std::string(to_string(suspect->kind)) + ":" + to_string(suspect->fingerprint);
  return true;
}

void RequestForwarder::on_connected(RequestNumber number) {
  const auto found = sessions_.find(number);
  if (found != sessions_.end()) found->second.connected = true;
}

void RequestForwarder::on_response_head(RequestNumber number, const ResponseMetadata& response,
                                        bool event_stream, TimePoint now) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  session.head_received = true;
  on_later_bytes(session);
  session.response = response;
  session.last_progress = now;
  pool_.limits().on_response(session.backend, response.rate_limit, response.success,
                             session.sent_at, now);
  pool_.on_notice(session.backend_incarnation, response.notice, session.sent_at, now);
  session.event_stream = event_stream && response.success;
  session.streaming = session.event_stream && session.route->kind == RequestKind::stream;
}

void RequestForwarder::on_response_body(RequestNumber number, std::string_view bytes, TimePoint now,
                                        ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  const bool had_first_token = session.first_token_seen;
  on_later_bytes(session);
  response_relay_.on_body(number, session, bytes, now, actions);
  if (!had_first_token && session.first_token_seen) record_first_token(session, now);
  if (response_relay_.exceeds_limits(session)) end_oversized(number, session, now, actions);
}

void RequestForwarder::end_oversized(RequestNumber number, RequestSession& session, TimePoint now,
                                     ForwarderActions& actions) {
  actions.emplace_back(CancelAttempt{number});
  if (session.response.not_run) {
    evaluate_response(number, session, now, actions);
  } else {
    on_attempt_failed(number, AttemptFailure::malformed, now, actions);
  }
}

void RequestForwarder::record_first_token(RequestSession& session, TimePoint now) {
  if (!session.service->engine) return;
  session.begun_late = targets_.start_forbidden(session.request.model, session.last_version, now);
  if (session.begun_late) ++counters_.begun_late;
}

void RequestForwarder::on_response_complete(RequestNumber number, ResponseEnd end, TimePoint now,
                                            ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  session.splitter.end_stream();
  if (end == ResponseEnd::inferred_from_close) {
    session.closed_at = now;
    record_inferred_end(session);
  }
  if (ends_early(session, end)) {
    if (end == ResponseEnd::inferred_from_close)
      record_verdict(session, false, EndEvidence::content, now);
    fail_truncated(number, session, now, actions);
  } else if (end == ResponseEnd::stated || !check_inferred_end(number, session, now, actions)) {
    evaluate_response(number, session, now, actions);
  }
}

void RequestForwarder::evaluate_response(RequestNumber number, RequestSession& session,
                                         TimePoint now, ForwarderActions& actions) {
  const std::string backend = session.backend;
  if (session.response.not_run) {
    ++counters_.refused_by_backend;
    if (session.response.replaced) {
      pool_.on_failure(backend, now);
    } else {
      pool_.on_refusal(backend, now);
    }
    session.last_reason = RefusalReason::backend_refused;
    retry_or_fail(number, session, now, actions);
    return;
  }
  // Whatever the status is, the back end has run the request and is alive.
  quarantine_.on_completed(session.suspects, now);
  if (session.stream_started && !session.streaming) {
    // The resumption failed; its response is not part of the stream.
    session.may_have_run = true;
    retry_or_fail(number, session, now, actions);
    return;
  }
  if (!session.response_started && session.repeatable() &&
      session.response.status >= kFirstServerError) {
    session.may_have_run = true;
    pool_.on_failure(backend, now);
    // Another back end may succeed; without one, this response is relayed.
    const auto choice = choose_retry_backend(session, now);
    if (choice) {
      retry_on(number, session, *choice, now, actions);
      return;
    }
  }
  if (session.response.success) pool_.on_success(backend);
  finish(number, session, now, actions);
}

void RequestForwarder::finish(RequestNumber number, RequestSession& session, TimePoint now,
                              ForwarderActions& actions) {
  if (!session.response_started && implies_not_run(session.response.status)) {
    // Relaying it would state that the request did not run, which the back end did not say.
    session.may_have_run = true;
    release_backend(session);
    give_up(number, session, RefusalReason::backend_failed, now, actions);
    return;
  }
  response_relay_.finish(number, session, now, actions);
  ++counters_.finished;
  release_backend(session);
  summarize(session, "finished", "", session.response.status, now);
  sessions_.erase(number);
}

void RequestForwarder::on_attempt_failed(RequestNumber number, AttemptFailure failure,
                                         TimePoint now, ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  const bool refused_before_loss = session.head_received && session.response.not_run;
  pool_.on_failure(session.backend, now);
  const bool interrupted =
      failure == AttemptFailure::connection_lost || failure == AttemptFailure::truncated;
  if (interrupted) record_possible_crash(session, now, actions);
  if (failure == AttemptFailure::not_sent) {
    --session.sends;
    ++session.connect_failures;
    session.last_reason = RefusalReason::no_backend;
  } else if (!refused_before_loss) {
    session.may_have_run = true;
    session.last_reason = RefusalReason::backend_failed;
  }
  if (failure == AttemptFailure::not_sent && !session.response_started &&
      session.connect_failures <= kMaximumConnectFailures) {
    // Nothing was sent, so this is not a retry and costs none of the budget.
    release_backend(session);
    if (dispatch(number, session, now, actions)) return;
    give_up(number, session, session.last_reason, now, actions);
    return;
  }
  retry_or_fail(number, session, now, actions);
}

void RequestForwarder::refuse(RequestNumber number, RequestSession& session, int status,
                              RefusalReason reason, Duration retry_after, TimePoint now,
                              ForwarderActions& actions) {
  assert(!session.response_started);
  assert(status != kStatusUnavailable || !session.may_have_run);
  ++counters_.refused;
  if (retry_after > Duration::zero()) {
    ++counters_.told_to_return;
    planner_.record_retry_after(session, retry_after, now);
  }
  reservations_.leave(number, actions);
  actions.emplace_back(SendRefusal{number, status, reason, retry_after});
  summarize(session, "refused", to_string(reason), status, now);
  waiting_.erase(rank_of(number, session));
  sessions_.erase(number);
}

void RequestForwarder::abort(RequestNumber number, RequestSession& session, RefusalReason reason,
                             TimePoint now, ForwarderActions& actions) {
  ++counters_.aborted;
  actions.emplace_back(AbortResponse{number, reason});
  summarize(session, "aborted", to_string(reason), session.response.status, now);
  sessions_.erase(number);
}

void RequestForwarder::on_caller_gone(RequestNumber number, TimePoint now,
                                      ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end()) return;
  RequestSession& session = found->second;
  ++counters_.callers_gone;
  if (!session.backend.empty()) {
    actions.emplace_back(CancelAttempt{number});
    release_backend(session);
  }
  reservations_.leave(number, actions);
  summarize(session, "gone", "caller_left", 0, now);
  waiting_.erase(rank_of(number, session));
  sessions_.erase(found);
}

void RequestForwarder::on_capacity(TimePoint now, ForwarderActions& actions) {
  const auto waiting = waiting_;
  std::set<const ServiceProfile*> without_room;
  for (const WaitingRank& rank : waiting) {
    const auto found = sessions_.find(rank.number);
    if (found == sessions_.end() || must_yield(found->second, now)) continue;
    RequestSession& session = found->second;
    // Queued requests wait longer: many of them would each search all engines without a result.
    if (session.ordered_by_priority && !is_quarantined(session, now)) {
      if (!without_room.contains(session.service) && !pool_.may_have_room(*session.service, now)) {
        without_room.insert(session.service);
      }
      if (without_room.contains(session.service)) {
        session.last_reason = RefusalReason::no_backend;
        continue;
      }
    }
    dispatch(rank.number, session, now, actions);
  }
}

void RequestForwarder::summarize(const RequestSession& session, const char* outcome,
                                 const char* reason, int status, TimePoint now) {
  summaries_.push_back(session.summarize(outcome, reason, status, now));
}

std::vector<RequestSummary> RequestForwarder::take_summaries() {
  std::vector<RequestSummary> result = std::move(summaries_);
  summaries_.clear();
  return result;
}

}  // namespace pumicemast
