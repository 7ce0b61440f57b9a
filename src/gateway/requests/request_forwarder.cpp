#include "gateway/requests/request_forwarder.h"

#include <algorithm>
#include <cassert>

namespace pumicemast {
namespace {

constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
/// Attempts whose connection never came up, and which therefore can't have run.
constexpr std::uint32_t kMaximumUnsentFailures = 4;
/// Nothing is begun any more with less time than this.
constexpr Duration kLeastTimeLeft = milliseconds(30);

/// Whether a caller takes an answer of this status to mean that its request did not run.
bool promises_not_run(int status) {
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
      relay_(pool_, options_),
      watch_(pool_, targets_, options_),
      retries_(options.retry_ratio, options.retry_reserve),
      authorizer_(options.seed) {}

void RequestForwarder::on_request(RequestNumber number, RequestFacts request, TimePoint now,
                                  ForwarderActions& actions) {
  ++counters_.requests;
  RequestSession& session = sessions_[number];
  session.request = std::move(request);
  session.arrived = now;
  session.routes = routes_;
  const RequestGrant grant = authorizer_.authorize(routes_.get(), session.request);
  session.route = grant.route;
  session.service = grant.service;
  session.tenant = grant.tenant;
  session.fingerprint = fingerprint_for(session.request.content, session.tenant);
  session.priority = grant.priority;
  if (grant.route != nullptr) planner_.plan_times(session);
  if (grant.refusal) {
    refuse_unsent(number, session, *grant.refusal, now, actions);
    return;
  }
  if (stopping_) {
    refuse_unsent(number, session, {kStatusUnavailable, RefusalReason::stopping}, now, actions);
    return;
  }
  if (quarantine_.quarantined(session.fingerprint, now)) {
    // It has not run this time, and is not asked to come back: nobody would run it then.
    refuse(number, session, kStatusUnavailable, RefusalReason::quarantined, {}, now, actions);
    return;
  }
  retries_.of(session.service->name).on_first_attempt();
  if (session.returning) ++counters_.returning;
  if (session.service->engine && !session.returning) ++counters_.engine_first_attempts;
  if (must_yield(session, now)) {
    ++counters_.yielded;
    refuse_unsent(number, session, {kStatusUnavailable, RefusalReason::no_capacity}, now, actions);
    return;
  }
  if (dispatch(number, session, now, actions)) return;
  session.waiting = true;
  waiting_.insert(rank_of(number, session));
}

void RequestForwarder::refuse_unsent(RequestNumber number, RequestSession& session,
                                     const RequestRefusal& refusal, TimePoint now,
                                     ForwarderActions& actions) {
  const bool worth_coming_back = refusal.status == kStatusUnavailable;
  const Duration retry_after =
      worth_coming_back ? planner_.draw_retry_after(session, now) : Duration::zero();
  refuse(number, session, refusal.status, refusal.reason, retry_after, now, actions);
}

bool RequestForwarder::must_yield(const RequestSession& session, TimePoint now) const {
  return session.returning && session.service->engine &&
         overload_.is_overloaded(session.service->name, now);
}

bool RequestForwarder::dispatch(RequestNumber number, RequestSession& session, TimePoint now,
                                ForwarderActions& actions) {
  if (quarantine_.quarantined(session.fingerprint, now)) {
    give_up(number, session, RefusalReason::quarantined, now, actions);
    return true;
  }
  const BackendNeed need = planner_.need_of(session, now);
  const auto choice = pool_.choose(need, session.tried, now);
  const bool too_slow = choice && session.service->engine &&
                        choice->expected_ms > planner_.admission_limit_ms(session, now);
  if (!choice || too_slow) {
    session.last_reason = too_slow ? RefusalReason::no_capacity : RefusalReason::no_backend;
    if (too_slow) session.expected_ms = choice->expected_ms;
    pool_.request_permit(need, session.tried, waiting_.size() + (session.waiting ? 0 : 1), now);
    return false;
  }
  send(number, session, *choice, now, actions);
  return true;
}

void RequestForwarder::send(RequestNumber number, RequestSession& session,
                            const BackendChoice& choice, TimePoint now, ForwarderActions& actions) {
  session.waiting = false;
  waiting_.erase(rank_of(number, session));
  session.backend = choice.id;
  session.backend_life = pool_.life_of(choice.id);
  session.backend_address = choice.address;
  session.sent_at = now;
  session.last_progress = now;
  session.connected = false;
  session.head_seen = false;
  session.first_token_seen = false;
  session.events = false;
  session.buffered.clear();
  session.splitter.drop_rest();
  session.tried.insert(choice.id);
  session.tried_order += (session.tried_order.empty() ? "" : ",") + choice.id;
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
  if (session.answer_begun) action.resume_after = session.splitter.last_id().value_or("");
  action.tenant = session.tenant;
  action.resting_connections = pool_.resting_connections(*session.service);
  actions.emplace_back(std::move(action));
}

void RequestForwarder::leave_backend(RequestSession& session) {
  if (session.backend.empty()) return;
  if (!session.first_token_seen) {
    pool_.on_first_token(session.backend, session.request.prompt_tokens);
  }
  pool_.on_finished(session.backend);
  session.backend.clear();
}

void RequestForwarder::note_cut_off(const RequestSession& session, TimePoint now,
                                    ForwarderActions& actions) {
  crash_witness_.on_cut_off(session.backend_life, session.fingerprint, now);
  // The agent beside an engine tells of its end; nobody does for a plain service.
  if (!session.service->engine) {
    actions.emplace_back(ProbeBackend{session.backend, session.backend_address});
  }
}

void RequestForwarder::on_backend_ended(const std::string& backend, TimePoint now) {
  crash_witness_.on_ended(backend, now);
}

std::vector<BackendCrash> RequestForwarder::take_crashes(TimePoint now) {
  std::vector<BackendCrash> crashes = crash_witness_.take_crashes(now);
  for (const BackendCrash& crash : crashes) quarantine_.on_crash(crash);
  return crashes;
}

bool RequestForwarder::may_end_another(const RequestSession& session, TimePoint now) const {
  if (quarantine_.quarantined(session.fingerprint, now)) return true;
  if (!crash_witness_.awaits(session.fingerprint, now)) return false;
  return quarantine_.ends_under(session.fingerprint) + 1 >= quarantine_.ends_to_convict();
}

void RequestForwarder::on_connected(RequestNumber number) {
  const auto found = sessions_.find(number);
  if (found != sessions_.end()) found->second.connected = true;
}

void RequestForwarder::on_response_head(RequestNumber number, const ResponseFacts& facts,
                                        bool event_stream, TimePoint now) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  session.head_seen = true;
  session.facts = facts;
  session.last_progress = now;
  pool_.limits().on_answer(session.backend, facts.rate_limit, facts.success, session.sent_at, now);
  session.events = event_stream && facts.success && session.route->kind == RequestKind::stream;
}

void RequestForwarder::on_response_body(RequestNumber number, std::string_view bytes, TimePoint now,
                                        ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  const bool had_begun = session.first_token_seen;
  relay_.on_body(number, session, bytes, now, actions);
  if (!had_begun && session.first_token_seen) note_begin(session, now);
}

void RequestForwarder::note_begin(RequestSession& session, TimePoint now) {
  if (!session.service->engine) return;
  session.begun_late = targets_.start_forbidden(session.request.model, session.last_version, now);
  if (session.begun_late) ++counters_.begun_late;
}

void RequestForwarder::on_response_complete(RequestNumber number, TimePoint now,
                                            ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  const std::string backend = session.backend;
  if (session.facts.not_run) {
    ++counters_.refused_by_backend;
    if (session.facts.replaced) {
      pool_.on_failure(backend, now);
    } else {
      pool_.on_refusal(backend, now);
    }
    session.last_reason = RefusalReason::backend_refused;
    recover(number, session, now, actions);
    return;
  }
  // Whatever it answered, it has run the request and lives.
  quarantine_.on_ended_well(session.fingerprint, now);
  if (session.stream_begun && !session.events) {
    // A resumption that failed: its answer is not part of the stream.
    session.may_have_run = true;
    recover(number, session, now, actions);
    return;
  }
  if (!session.answer_begun && session.repeatable() && session.facts.status >= kFirstServerError) {
    session.may_have_run = true;
    pool_.on_failure(backend, now);
    // Another back end may do better; otherwise this answer is passed on.
    const auto choice = choose_again(session, now);
    if (choice) {
      send_again(number, session, *choice, now, actions);
      return;
    }
  }
  if (session.facts.success) pool_.on_success(backend);
  finish(number, session, now, actions);
}

void RequestForwarder::finish(RequestNumber number, RequestSession& session, TimePoint now,
                              ForwarderActions& actions) {
  if (!session.answer_begun && promises_not_run(session.facts.status)) {
    // Passed on it would promise that the request did not run, which its back end did not say.
    session.may_have_run = true;
    leave_backend(session);
    give_up(number, session, RefusalReason::backend_failed, now, actions);
    return;
  }
  relay_.finish(number, session, now, actions);
  ++counters_.finished;
  leave_backend(session);
  summarize(session, "finished", "", session.facts.status, now);
  sessions_.erase(number);
}

void RequestForwarder::on_attempt_failed(RequestNumber number, AttemptFailure failure,
                                         TimePoint now, ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  RequestSession& session = found->second;
  const bool refused_then_cut = session.head_seen && session.facts.not_run;
  pool_.on_failure(session.backend, now);
  if (failure == AttemptFailure::cut_off) note_cut_off(session, now, actions);
  if (failure == AttemptFailure::not_sent) {
    --session.sends;
    ++session.unsent_failures;
    session.last_reason = RefusalReason::no_backend;
  } else if (!refused_then_cut) {
    session.may_have_run = true;
    session.last_reason = RefusalReason::backend_failed;
  }
  if (failure == AttemptFailure::not_sent && !session.answer_begun &&
      session.unsent_failures <= kMaximumUnsentFailures) {
    // Nothing was sent, so that this is no repeat.
    leave_backend(session);
    if (dispatch(number, session, now, actions)) return;
    give_up(number, session, session.last_reason, now, actions);
    return;
  }
  recover(number, session, now, actions);
}

std::optional<BackendChoice> RequestForwarder::choose_again(const RequestSession& session,
                                                            TimePoint now) {
  const bool harmless = !session.may_have_run || session.repeatable();
  if (!harmless || session.sends >= session.route->attempts) return std::nullopt;
  if (session.deadline - now <= kLeastTimeLeft) return std::nullopt;
  if (may_end_another(session, now)) return std::nullopt;
  const auto choice = pool_.choose(planner_.need_of(session, now), session.tried, now);
  if (!choice || choice->expected_ms >= to_fractional_milliseconds(session.deadline - now))
    return std::nullopt;
  // Last, so that only what is sent costs a retry.
  if (retries_.of(session.service->name).try_spend()) return choice;
  ++counters_.budget_exhausted;
  return std::nullopt;
}

void RequestForwarder::send_again(RequestNumber number, RequestSession& session,
                                  const BackendChoice& choice, TimePoint now,
                                  ForwarderActions& actions) {
  leave_backend(session);
  ++(session.answer_begun ? counters_.resumes : counters_.repeats);
  send(number, session, choice, now, actions);
}

void RequestForwarder::recover(RequestNumber number, RequestSession& session, TimePoint now,
                               ForwarderActions& actions) {
  leave_backend(session);
  // What was begun can only go on where a stream says after which event.
  const bool can_continue =
      !session.answer_begun || (session.stream_begun && session.splitter.last_id().has_value());
  const auto choice = can_continue ? choose_again(session, now) : std::nullopt;
  if (choice) {
    send_again(number, session, *choice, now, actions);
  } else if (session.answer_begun) {
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
  const Duration retry_after = reason == RefusalReason::quarantined
                                   ? Duration::zero()
                                   : planner_.draw_retry_after(session, now);
  refuse(number, session, kStatusUnavailable, reason, retry_after, now, actions);
}

void RequestForwarder::refuse(RequestNumber number, RequestSession& session, int status,
                              RefusalReason reason, Duration retry_after, TimePoint now,
                              ForwarderActions& actions) {
  assert(!session.answer_begun);
  assert(status != kStatusUnavailable || !session.may_have_run);
  ++counters_.refused;
  if (retry_after > Duration::zero()) {
    ++counters_.told_to_return;
    planner_.note_told(session, retry_after, now);
  }
  actions.emplace_back(RefuseCaller{number, status, reason, retry_after});
  summarize(session, "refused", to_string(reason), status, now);
  waiting_.erase(rank_of(number, session));
  sessions_.erase(number);
}

void RequestForwarder::abort(RequestNumber number, RequestSession& session, RefusalReason reason,
                             TimePoint now, ForwarderActions& actions) {
  ++counters_.aborted;
  actions.emplace_back(CutAnswer{number, reason});
  summarize(session, "aborted", to_string(reason), session.facts.status, now);
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
    leave_backend(session);
  }
  summarize(session, "gone", "caller_left", 0, now);
  waiting_.erase(rank_of(number, session));
  sessions_.erase(found);
}

void RequestForwarder::on_capacity(TimePoint now, ForwarderActions& actions) {
  const auto waiting = waiting_;
  for (const WaitingRank& rank : waiting) {
    const auto found = sessions_.find(rank.number);
    if (found == sessions_.end() || must_yield(found->second, now)) continue;
    dispatch(rank.number, found->second, now, actions);
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
