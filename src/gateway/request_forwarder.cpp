#include "gateway/request_forwarder.h"

#include <algorithm>
#include <cassert>

namespace pumicemast {
namespace {

constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
/// Attempts whose connection never came up, and which therefore can't have run.
constexpr std::uint32_t kMaximumUnsentFailures = 4;
constexpr Duration kUnstatedTimeLeft = seconds(30);
/// Nothing is begun any more with less time than this.
constexpr Duration kLeastTimeLeft = milliseconds(30);
/// The answer at a deadline leaves a moment early, so that the caller still gets it.
constexpr Duration kDeadlineMargin = milliseconds(20);

double to_ms(Duration duration) { return to_seconds(duration) * 1000; }

Duration scaled(Duration duration, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

}  // namespace

const char* to_string(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::no_configuration:
      return "no_configuration";
    case RefusalReason::no_route:
      return "no_route";
    case RefusalReason::no_key:
      return "no_key";
    case RefusalReason::no_capacity:
      return "no_capacity";
    case RefusalReason::no_backend:
      return "no_backend";
    case RefusalReason::weights_stale:
      return "weights_stale";
    case RefusalReason::backend_refused:
      return "backend_refused";
    case RefusalReason::backend_failed:
      return "backend_failed";
    case RefusalReason::deadline_passed:
      return "deadline_passed";
    case RefusalReason::stopping:
      return "stopping";
  }
  return "unknown";
}

RequestForwarder::RequestForwarder(BackendPool& pool, const WeightTargets& targets,
                                   ForwarderOptions options)
    : pool_(pool),
      targets_(targets),
      options_(options),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)) {}

RetryBudget& RequestForwarder::budget(const std::string& service) {
  return budgets_.try_emplace(service, options_.retry_ratio, options_.retry_reserve).first->second;
}

bool RequestForwarder::repeatable(const Session& session) const {
  const RouteRule& route = *session.route;
  return route.kind == RequestKind::repeatable ||
         (route.kind == RequestKind::stream && route.resumable);
}

const std::string& RequestForwarder::pick_service(const RouteRule& route) {
  static const std::string kNone;
  if (route.services.empty()) return kNone;
  double total = 0;
  for (const WeightedService& candidate : route.services) total += candidate.weight;
  std::uniform_real_distribution<double> uniform(0, total);
  double position = uniform(random_);
  for (const WeightedService& candidate : route.services) {
    position -= candidate.weight;
    if (position < 0) return candidate.service;
  }
  return route.services.back().service;
}

const RouteRule* RequestForwarder::authorize(RequestNumber number, Session& session,
                                             ForwarderActions& actions) {
  const TimePoint now = session.arrived;
  if (!routes_) {
    refuse(number, session, kStatusUnavailable, RefusalReason::no_configuration,
           draw_retry_after(session, now), now, actions);
    return nullptr;
  }
  session.routes = routes_;
  const RouteRule* route = routes_->match(session.request.host, session.request.target);
  if (route == nullptr) {
    refuse(number, session, kStatusNotFound, RefusalReason::no_route, {}, now, actions);
    return nullptr;
  }
  session.route = route;
  session.priority = route->priority;
  const TenantRule* tenant = routes_->tenant_of(session.request.api_key);
  if (tenant != nullptr) {
    session.tenant = tenant->name;
    session.priority = tenant->priority.value_or(route->priority);
  } else if (routes_->has_tenants() && !route->open_to_all) {
    refuse(number, session, kStatusUnauthorized, RefusalReason::no_key, {}, now, actions);
    return nullptr;
  }
  return route;
}

void RequestForwarder::on_request(RequestNumber number, RequestFacts request, TimePoint now,
                                  ForwarderActions& actions) {
  ++counters_.requests;
  Session& session = sessions_[number];
  session.request = std::move(request);
  session.arrived = now;
  const RouteRule* route = authorize(number, session, actions);
  if (route == nullptr) return;
  const Duration time_left =
      session.request.time_left > Duration::zero() ? session.request.time_left : kUnstatedTimeLeft;
  session.deadline = now + std::min(time_left, route->timeout);
  session.wait_until = now + scaled(route->goal, options_.wait_share);
  const std::string& service = pick_service(*route);
  session.service = session.routes->service(service);
  if (session.service == nullptr) {
    refuse(number, session, kStatusUnavailable, RefusalReason::no_backend,
           draw_retry_after(session, now), now, actions);
    return;
  }
  if (stopping_) {
    refuse(number, session, kStatusUnavailable, RefusalReason::stopping,
           draw_retry_after(session, now), now, actions);
    return;
  }
  budget(service).on_first_attempt();
  if (dispatch(number, session, now, actions)) return;
  session.waiting = true;
  waiting_.insert(number);
}

BackendNeed RequestForwarder::need_of(const Session& session, TimePoint now) const {
  BackendNeed need;
  need.service = session.service;
  need.prompt_tokens = session.request.prompt_tokens;
  need.lowest_version = targets_.lowest_allowed(session.request.model, now);
  need.preferred_version = session.answer_version;
  need.urgent = session.sends > 0;
  return need;
}

double RequestForwarder::admission_limit_ms(const Session& session, TimePoint now) const {
  const double goal_ms = to_ms(session.route->goal);
  // What has begun is worth finishing, also late.
  if (session.sends > 0) return to_ms(session.deadline - now);
  return goal_ms * options_.admit_share - to_ms(now - session.arrived);
}

bool RequestForwarder::dispatch(RequestNumber number, Session& session, TimePoint now,
                                ForwarderActions& actions) {
  const auto choice = pool_.choose(need_of(session, now), session.tried, now);
  if (!choice) {
    session.last_reason = RefusalReason::no_backend;
    return false;
  }
  if (session.service->engine && choice->expected_ms > admission_limit_ms(session, now)) {
    session.last_reason = RefusalReason::no_capacity;
    session.expected_ms = choice->expected_ms;
    return false;
  }
  send(number, session, *choice, now, actions);
  return true;
}

void RequestForwarder::send(RequestNumber number, Session& session, const BackendChoice& choice,
                            TimePoint now, ForwarderActions& actions) {
  session.waiting = false;
  waiting_.erase(number);
  session.backend = choice.id;
  session.sent_at = now;
  session.last_progress = now;
  session.connected = false;
  session.head_seen = false;
  session.first_token_seen = false;
  session.events = false;
  session.keep_answer = false;
  session.buffered.clear();
  session.splitter.drop_rest();
  session.tried.insert(choice.id);
  session.tried_order += (session.tried_order.empty() ? "" : ",") + choice.id;
  session.last_version = choice.weight_version;
  if (session.sends == 0) {
    session.first_sent = now;
    session.expected_ms = choice.expected_ms;
  }
  ++session.sends;
  ++counters_.sends;
  pool_.on_sent(choice.id, session.request.prompt_tokens, now);
  SendToBackend action;
  action.request = number;
  action.backend = choice.id;
  action.address = choice.address;
  action.maximum_connections = session.service->maximum_connections;
  action.time_left = session.deadline - now;
  action.expected_version =
      targets_.lowest_allowed(session.request.model, now) > 0 ? choice.weight_version : 0;
  if (session.answer_begun) action.resume_after = session.splitter.last_id().value_or("");
  action.tenant = session.tenant;
  action.attempt_repeatable = repeatable(session);
  actions.emplace_back(std::move(action));
}

void RequestForwarder::leave_backend(Session& session) {
  if (session.backend.empty()) return;
  if (!session.first_token_seen) {
    pool_.on_first_token(session.backend, session.request.prompt_tokens);
  }
  pool_.on_finished(session.backend);
  session.backend.clear();
}

void RequestForwarder::on_connected(RequestNumber number) {
  const auto found = sessions_.find(number);
  if (found != sessions_.end()) found->second.connected = true;
}

bool RequestForwarder::on_response_head(RequestNumber number, const ResponseFacts& facts,
                                        bool event_stream, TimePoint now,
                                        ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return false;
  Session& session = found->second;
  session.head_seen = true;
  session.facts = facts;
  session.last_progress = now;
  session.events = event_stream && facts.success && session.route->kind == RequestKind::stream;
  (void)actions;
  return true;
}

void RequestForwarder::note_progress(Session& session, TimePoint now) {
  if (session.last_event != TimePoint{}) {
    session.longest_gap = std::max(session.longest_gap, now - session.last_event);
  }
  session.last_event = now;
  session.last_progress = now;
  if (session.first_token_seen) return;
  session.first_token_seen = true;
  pool_.on_first_token(session.backend, session.request.prompt_tokens);
  if (session.first_event == TimePoint{}) session.first_event = now;
}

void RequestForwarder::on_response_body(RequestNumber number, std::string_view bytes, TimePoint now,
                                        ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  Session& session = found->second;
  if (session.events) {
    relay_events(number, session, bytes, now, actions);
    return;
  }
  session.last_progress = now;
  // The answer to a resumption that is no stream is no part of the one that was begun.
  if (session.stream_begun) return;
  if (session.answer_begun) {
    actions.emplace_back(RelayBytes{number, std::string(bytes)});
    return;
  }
  session.buffered.append(bytes);
  if (session.buffered.size() <= options_.whole_answer_bytes || session.facts.not_run) return;
  session.answer_begun = true;
  actions.emplace_back(BeginAnswer{number, std::nullopt});
  actions.emplace_back(RelayBytes{number, std::move(session.buffered)});
  session.buffered.clear();
}

void RequestForwarder::relay_events(RequestNumber number, Session& session, std::string_view bytes,
                                    TimePoint now, ForwarderActions& actions) {
  std::string ready =
      session.route->resumable ? session.splitter.take_whole_events(bytes) : std::string(bytes);
  if (ready.empty()) return;
  note_progress(session, now);
  if (!session.answer_begun) {
    session.answer_begun = true;
    session.stream_begun = true;
    session.answer_version = session.last_version;
    actions.emplace_back(BeginAnswer{number, std::nullopt});
  }
  actions.emplace_back(RelayBytes{number, std::move(ready)});
}

void RequestForwarder::on_response_complete(RequestNumber number, TimePoint now,
                                            ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  Session& session = found->second;
  const std::string backend = session.backend;
  if (session.facts.not_run) {
    ++counters_.refused_by_backend;
    if (session.facts.replaced) {
      pool_.on_failure(backend, now);
    } else {
      pool_.on_refusal(backend, now);
    }
    session.last_reason = RefusalReason::backend_refused;
    leave_backend(session);
    retry_or_give_up(number, session, now, actions);
    return;
  }
  if (!session.facts.success && repeatable(session) && session.facts.status >= kFirstServerError &&
      !session.answer_begun) {
    // Another back end may do better; if none may be tried, this answer is passed on.
    session.may_have_run = true;
    pool_.on_failure(backend, now);
    if (session.sends < session.route->attempts && spend_retry(session)) {
      leave_backend(session);
      retry_or_give_up(number, session, now, actions);
      return;
    }
  }
  if (session.stream_begun && !session.events) {
    // A resumption that failed: its answer is not part of the stream.
    session.may_have_run = true;
    leave_backend(session);
    resume_or_abort(number, session, now, actions);
    return;
  }
  if (session.facts.success) pool_.on_success(backend);
  finish(number, session, now, actions);
}

void RequestForwarder::finish(RequestNumber number, Session& session, TimePoint now,
                              ForwarderActions& actions) {
  const bool ambiguous_promise = session.facts.status == kStatusUnavailable ||
                                 session.facts.status == 429 || session.facts.status == 408 ||
                                 session.facts.status == 421;
  if (!session.answer_begun && ambiguous_promise) {
    // Passed on it would promise that the request did not run, which its back end did not say.
    session.may_have_run = true;
    leave_backend(session);
    give_up(number, session, RefusalReason::backend_failed, now, actions);
    return;
  }
  if (session.events) {
    const std::string rest = session.splitter.take_rest();
    if (!session.answer_begun) actions.emplace_back(BeginAnswer{number, std::nullopt});
    if (!rest.empty()) actions.emplace_back(RelayBytes{number, rest});
  } else if (!session.answer_begun) {
    actions.emplace_back(BeginAnswer{number, session.buffered.size()});
    if (!session.buffered.empty()) {
      actions.emplace_back(RelayBytes{number, std::move(session.buffered)});
    }
    if (session.first_event == TimePoint{}) session.first_event = now;
  }
  ++counters_.finished;
  actions.emplace_back(EndAnswer{number});
  leave_backend(session);
  summarize(session, "finished", "", session.facts.status, now);
  sessions_.erase(number);
}

void RequestForwarder::on_attempt_failed(RequestNumber number, AttemptFailure failure,
                                         TimePoint now, ForwarderActions& actions) {
  const auto found = sessions_.find(number);
  if (found == sessions_.end() || found->second.backend.empty()) return;
  Session& session = found->second;
  const bool refused_then_cut = session.head_seen && session.facts.not_run;
  pool_.on_failure(session.backend, now);
  if (failure == AttemptFailure::not_sent) {
    --session.sends;
    ++session.unsent_failures;
    session.last_reason = RefusalReason::no_backend;
  } else if (!refused_then_cut) {
    session.may_have_run = true;
    session.last_reason = RefusalReason::backend_failed;
  }
  leave_backend(session);
  if (session.answer_begun) {
    resume_or_abort(number, session, now, actions);
    return;
  }
  if (failure == AttemptFailure::not_sent && session.unsent_failures <= kMaximumUnsentFailures) {
    if (dispatch(number, session, now, actions)) return;
    give_up(number, session, session.last_reason, now, actions);
    return;
  }
  retry_or_give_up(number, session, now, actions);
}

bool RequestForwarder::spend_retry(const Session& session) {
  if (budget(session.service->name).try_spend()) return true;
  ++counters_.budget_exhausted;
  return false;
}

void RequestForwarder::retry_or_give_up(RequestNumber number, Session& session, TimePoint now,
                                        ForwarderActions& actions) {
  if (session.answer_begun) {
    resume_or_abort(number, session, now, actions);
    return;
  }
  const bool allowed = !session.may_have_run || repeatable(session);
  if (allowed && !stopping_ && session.sends < session.route->attempts &&
      session.deadline - now > kLeastTimeLeft) {
    const auto choice = pool_.choose(need_of(session, now), session.tried, now);
    if (choice && choice->expected_ms < to_ms(session.deadline - now) && spend_retry(session)) {
      ++counters_.repeats;
      send(number, session, *choice, now, actions);
      return;
    }
  }
  give_up(number, session, session.last_reason, now, actions);
}

void RequestForwarder::resume_or_abort(RequestNumber number, Session& session, TimePoint now,
                                       ForwarderActions& actions) {
  const bool resumable =
      session.events && session.route->resumable && session.splitter.last_id().has_value() &&
      session.sends < session.route->attempts && session.deadline - now > kLeastTimeLeft;
  if (resumable) {
    const auto choice = pool_.choose(need_of(session, now), session.tried, now);
    if (choice && spend_retry(session)) {
      ++counters_.resumes;
      send(number, session, *choice, now, actions);
      return;
    }
  }
  abort(number, session, RefusalReason::backend_failed, now, actions);
}

void RequestForwarder::give_up(RequestNumber number, Session& session, RefusalReason reason,
                               TimePoint now, ForwarderActions& actions) {
  if (session.may_have_run) {
    const int status =
        reason == RefusalReason::deadline_passed ? kStatusGatewayTimeout : kStatusBadGateway;
    refuse(number, session, status, reason, {}, now, actions);
    return;
  }
  refuse(number, session, kStatusUnavailable, reason, draw_retry_after(session, now), now, actions);
}

Duration RequestForwarder::draw_retry_after(const Session& session, TimePoint now) {
  constexpr Duration kLeastUsefulTime = milliseconds(300);
  const Duration left = session.route == nullptr ? kUnstatedTimeLeft : session.deadline - now;
  if (left < kLeastUsefulTime) return Duration::zero();
  std::uniform_real_distribution<double> upper_half(0.5, 1.0);
  const Duration longest =
      std::min(options_.longest_retry_after, scaled(left, options_.retry_after_share));
  return scaled(longest, upper_half(random_));
}

void RequestForwarder::refuse(RequestNumber number, Session& session, int status,
                              RefusalReason reason, Duration retry_after, TimePoint now,
                              ForwarderActions& actions) {
  assert(!session.answer_begun);
  assert(status != kStatusUnavailable || !session.may_have_run);
  ++counters_.refused;
  actions.emplace_back(RefuseCaller{number, status, reason, retry_after});
  summarize(session, "refused", to_string(reason), status, now);
  waiting_.erase(number);
  sessions_.erase(number);
}

void RequestForwarder::abort(RequestNumber number, Session& session, RefusalReason reason,
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
  Session& session = found->second;
  ++counters_.callers_gone;
  if (!session.backend.empty()) {
    actions.emplace_back(CancelAttempt{number});
    leave_backend(session);
  }
  summarize(session, "gone", "caller_left", 0, now);
  waiting_.erase(number);
  sessions_.erase(found);
}

void RequestForwarder::on_capacity(TimePoint now, ForwarderActions& actions) {
  const std::set<RequestNumber> waiting = waiting_;
  for (const RequestNumber number : waiting) {
    const auto found = sessions_.find(number);
    if (found != sessions_.end()) dispatch(number, found->second, now, actions);
  }
}

void RequestForwarder::check_attempt(RequestNumber number, Session& session, TimePoint now,
                                     ForwarderActions& actions) {
  if (!session.connected && now - session.sent_at > options_.connect_limit) {
    actions.emplace_back(CancelAttempt{number});
    on_attempt_failed(number, AttemptFailure::not_sent, now, actions);
    return;
  }
  if (!repeatable(session) || session.sends >= session.route->attempts) return;
  const Duration silent = now - session.last_progress;
  const bool stream = session.route->kind == RequestKind::stream;
  const bool healthy = pool_.known_alive(session.backend, now);
  const Duration limit = !stream   ? session.route->goal * 2
                         : healthy ? options_.healthy_silence
                                   : options_.doubtful_silence;
  if (!stream && session.head_seen) return;
  if (silent <= limit) return;
  // Only if another one can do it; the retry budget bounds how often.
  const auto choice = pool_.choose(need_of(session, now), session.tried, now);
  if (!choice || choice->expected_ms > to_ms(session.deadline - now)) return;
  if (!spend_retry(session)) return;
  actions.emplace_back(CancelAttempt{number});
  pool_.on_failure(session.backend, now);
  session.may_have_run = true;
  leave_backend(session);
  ++(session.answer_begun ? counters_.resumes : counters_.repeats);
  send(number, session, *choice, now, actions);
}

void RequestForwarder::on_tick(TimePoint now, ForwarderActions& actions) {
  on_capacity(now, actions);
  std::vector<RequestNumber> numbers;
  numbers.reserve(sessions_.size());
  for (const auto& [number, session] : sessions_) numbers.push_back(number);
  for (const RequestNumber number : numbers) {
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) continue;
    Session& session = found->second;
    if (now >= session.deadline - kDeadlineMargin) {
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
      continue;
    }
    if (session.waiting) {
      if (now < session.wait_until) continue;
      const bool stale = session.last_reason == RefusalReason::no_backend &&
                         targets_.lowest_allowed(session.request.model, now) > 0;
      give_up(number, session, stale ? RefusalReason::weights_stale : session.last_reason, now,
              actions);
      continue;
    }
    check_attempt(number, session, now, actions);
  }
}

void RequestForwarder::summarize(const Session& session, const char* outcome, const char* reason,
                                 int status, TimePoint now) {
  RequestSummary summary;
  summary.id = session.request.id;
  if (session.route != nullptr) {
    summary.route = session.route->name;
    summary.kind = session.route->kind;
  }
  summary.tenant = session.tenant;
  if (session.service != nullptr) summary.service = session.service->name;
  summary.outcome = outcome;
  summary.reason = reason;
  summary.backends = session.tried_order;
  summary.status = status;
  summary.sends = session.sends;
  summary.configuration = session.routes ? session.routes->version() : 0;
  summary.weight_version = session.last_version;
  summary.expected_ms = session.expected_ms;
  summary.waited = (session.first_sent == TimePoint{} ? now : session.first_sent) - session.arrived;
  if (session.first_event != TimePoint{}) {
    summary.first_event = session.first_event - session.arrived;
    summary.in_time = session.route != nullptr && summary.first_event <= session.route->goal &&
                      session.longest_gap <= session.route->gap_goal;
  }
  summary.longest_gap = session.longest_gap;
  summary.total = now - session.arrived;
  summaries_.push_back(std::move(summary));
}

std::vector<RequestSummary> RequestForwarder::take_summaries() {
  std::vector<RequestSummary> result = std::move(summaries_);
  summaries_.clear();
  return result;
}

}  // namespace pumicemast
