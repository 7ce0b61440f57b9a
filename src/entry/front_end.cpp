#include "entry/front_end.h"

#include <algorithm>

#include "common/event_loop.h"

namespace pumicemast {
namespace {

constexpr Duration kClaimRetryAfter = seconds(2);
constexpr char kOtherTenantsLabel[] = "other";

CallerError error_for(RefusalCode code, Outcome outcome, Duration retry_after) {
  CallerError error;
  error.code = to_string(code);
  error.outcome = outcome == Outcome::not_run ? kOutcomeNotRun : kOutcomeUnknown;
  error.retry_after = retry_after;
  switch (code) {
    case RefusalCode::unknown_model:
      error.status = 404;
      error.type = "invalid_request_error";
      error.message = "The model does not exist.";
      break;
    case RefusalCode::no_capacity:
    case RefusalCode::shutting_down:
      error.status = 503;
      error.type = "overloaded_error";
      error.message = "No replica has room for the request now.";
      break;
    case RefusalCode::queue_full:
      error.status = 429;
      error.type = "rate_limit_error";
      error.message = "Too many requests wait already.";
      break;
    case RefusalCode::deadline_passed:
      error.status = 504;
      error.type = "timeout_error";
      error.message = "The request's deadline passed.";
      error.retry_after = Duration::zero();
      break;
    case RefusalCode::backend_failed:
      error.status = 502;
      error.type = "server_error";
      error.message = "The replica that ran the request failed.";
      break;
  }
  return error;
}

CallerError claim_error(ClaimResult result) {
  CallerError error;
  error.status = 409;
  error.type = "invalid_request_error";
  switch (result) {
    case ClaimResult::finished:
      error.code = "already_executed";
      error.message = "A request with this idempotency key ran to its end already.";
      error.outcome = kOutcomeCompleted;
      break;
    case ClaimResult::taken:
      error.code = "already_claimed";
      error.message = "Another attempt with this idempotency key runs or may have run.";
      error.outcome = kOutcomeUnknown;
      break;
    default:
      error.status = 503;
      error.type = "server_error";
      error.code = "claim_unavailable";
      error.message = "The single execution of this request cannot be assured now.";
      error.outcome = kOutcomeNotRun;
      error.retry_after = kClaimRetryAfter;
      break;
  }
  return error;
}

SchedulerOptions scheduler_options(const EntrySettings& settings) {
  SchedulerOptions options;
  options.queue_limit = settings.queue_limit;
  options.queue_wait = settings.queue_wait;
  options.attempts = settings.attempts;
  options.retry_ratio = settings.retry_ratio;
  return options;
}

}  // namespace

FrontEnd::FrontEnd(const EntrySettings& settings, const ConfigurationStore& configuration,
                   BackendDirectory& directory, AgentHub& hub, ExecutionClaims& claims,
                   Metrics& metrics)
    : settings_(settings),
      configuration_(configuration),
      directory_(directory),
      hub_(hub),
      claims_(claims),
      metrics_(metrics),
      router_(directory, {{settings.region, settings.zone}}),
      scheduler_(directory, router_, scheduler_options(settings)),
      limiter_(settings.entry_count) {}

std::string FrontEnd::tenant_label(const std::string& tenant) const {
  // Callers choose the tenant name, so only configured tenants become metric label values.
  return configuration_.find<Tenant>(tenant) != nullptr ? tenant : kOtherTenantsLabel;
}

void FrontEnd::on_exchange(const HttpExchangePointer& exchange) {
  if (exchange->path() == "/v1/models" && exchange->method() == "GET") {
    std::vector<std::string> models;
    for (const auto& [model, rollout] : configuration_.all<Rollout>()) models.push_back(model);
    for (const auto& [name, route] : configuration_.all<Route>()) {
      if (!route.value.alias.empty()) models.push_back(route.value.alias);
    }
    exchange->respond(200, "application/json", models_document(models));
    return;
  }
  handle_error(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(request, read_caller_request(*exchange));
        admit(exchange, std::move(request));
        return {};
      },
      [&](const Error& error) {
        CallerError refusal{400, "invalid_request_error", "bad_request",
                            error.place + " " + error.reason, kOutcomeNotRun};
        refuse(*exchange, {}, refusal);
      });
}

void FrontEnd::refuse(HttpExchange& exchange, const CallerRequest& request,
                      const CallerError& error) {
  metrics_.count("pumicemast_entry_requests_total",
                 {{"tenant", tenant_label(request.tenant)}, {"outcome", error.outcome}});
  metrics_.count("pumicemast_entry_refusals_total", {{"code", error.code}});
  respond_error(exchange, request.request_id, error);
}

bool FrontEnd::resolve_model(const std::string& name, std::string& model) const {
  if (configuration_.find<Rollout>(name) != nullptr) {
    model = name;
    return true;
  }
  for (const auto& [id, route] : configuration_.all<Route>()) {
    if (route.value.alias == name && configuration_.find<Rollout>(route.value.model) != nullptr) {
      model = route.value.model;
      return true;
    }
  }
  return false;
}

bool FrontEnd::resolve(const CallerRequest& request, RoutingRequirements& need,
                       CallerError& error) const {
  error = CallerError{404, "invalid_request_error", "", "", kOutcomeNotRun};
  if (request.is_model_call) {
    need.affinity = request.affinity;
    if (resolve_model(request.model, need.model)) return true;
    error.code = "model_not_found";
    error.message = "The model `" + request.model + "` does not exist.";
    return false;
  }
  std::size_t longest = 0;
  for (const auto& [id, route] : configuration_.all<Route>()) {
    const std::string& prefix = route.value.path_prefix;
    if (prefix.size() <= longest || request.path.rfind(prefix, 0) != 0) continue;
    longest = prefix.size();
    need.service = route.value.service;
  }
  if (longest > 0) return true;
  error.code = "no_route";
  error.message = "No route for " + request.path + ".";
  return false;
}

void FrontEnd::admit(const HttpExchangePointer& exchange, CallerRequest request) {
  const TimePoint now = loop_now();
  if (shutting_down_) {
    refuse(*exchange, request, error_for(RefusalCode::shutting_down, Outcome::not_run, seconds(1)));
    return;
  }
  if (request.body.size() > settings_.maximum_body_bytes) {
    refuse(
        *exchange, request,
        {413, "invalid_request_error", "body_too_large", "The body is too large.", kOutcomeNotRun});
    return;
  }
  RoutingRequirements need;
  CallerError unresolved;
  if (!resolve(request, need, unresolved)) {
    refuse(*exchange, request, unresolved);
    return;
  }
  const LimitDecision limit = limiter_.admit(request.tenant, now);
  if (!limit.admitted) {
    metrics_.count("pumicemast_entry_limited_total",
                   {{"tenant", tenant_label(request.tenant)}, {"limit", limit.reason}});
    refuse(*exchange, request,
           {429, "rate_limit_error", "tenant_limit", "The tenant's limit is reached.",
            kOutcomeNotRun, limit.retry_after});
    return;
  }
  const RequestNumber number = next_number_++;
  Caller& caller = callers_[number];
  caller.exchange = exchange;
  caller.request = std::move(request);
  caller.tenant_label = tenant_label(caller.request.tenant);
  caller.started = now;
  caller.priority = limit.priority;
  exchange->on_disconnect([this, number] {
    if (!callers_.contains(number)) return;
    execute_actions(scheduler_.on_caller_disconnected(number, loop_now()));
    finish(number, "caller_gone");
  });
  const bool needs_claim = caller.request.non_repeatable && !caller.request.idempotency_key.empty();
  if (!needs_claim) {
    submit(number);
    return;
  }
  const std::string name =
      ExecutionClaims::claim_name(caller.request.tenant, caller.request.idempotency_key);
  claims_.claim(name, [this, number, name](ClaimResult result) {
    const auto found = callers_.find(number);
    if (found == callers_.end()) {
      if (result == ClaimResult::granted) claims_.settle(name, false);
      return;
    }
    if (result == ClaimResult::granted) {
      found->second.claim = name;
      submit(number);
      return;
    }
    const CallerError error = claim_error(result);
    metrics_.count("pumicemast_entry_refusals_total", {{"code", error.code}});
    respond_error(*found->second.exchange, found->second.request.request_id, error);
    finish(number, error.outcome.c_str());
  });
}

void FrontEnd::submit(RequestNumber number) {
  Caller& caller = callers_.at(number);
  RequestProfile profile;
  CallerError unresolved;
  resolve(caller.request, profile.requirements, unresolved);  // Succeeded on admission.
  if (caller.request.is_model_call && profile.requirements.model != caller.request.model) {
    caller.request.body = with_model_name(caller.request.body, profile.requirements.model);
  }
  profile.tenant = caller.request.tenant;
  profile.stream = caller.request.stream;
  profile.non_repeatable = caller.request.non_repeatable;
  profile.priority = caller.priority;
  if (caller.request.deadline > Duration::zero()) {
    profile.deadline = caller.started + caller.request.deadline;
  }
  execute_actions(scheduler_.on_request(number, std::move(profile), loop_now()));
}

void FrontEnd::on_response(const std::string& machine, const wire::Frame& frame) {
  const TimePoint now = loop_now();
  switch (frame.body_type()) {
    case wire::Body::RequestRefused: {
      const auto* message = frame.body_as_RequestRefused();
      metrics_.count("pumicemast_entry_backend_refusals_total",
                     {{"reason", wire::EnumNameRefusalReason(message->reason())}});
      execute_actions(scheduler_.on_refused(message->id(), machine, now));
      return;
    }
    case wire::Body::AnswerHead: {
      const auto* message = frame.body_as_AnswerHead();
      const std::string type =
          message->content_type() == nullptr ? "" : message->content_type()->str();
      execute_actions(scheduler_.on_head(message->id(), machine, message->status(), type, now));
      return;
    }
    case wire::Body::AnswerData: {
      const auto* message = frame.body_as_AnswerData();
      if (message->bytes() == nullptr) return;
      const std::string bytes(reinterpret_cast<const char*>(message->bytes()->data()),
                              message->bytes()->size());
      execute_actions(scheduler_.on_data(message->id(), machine, bytes, now));
      return;
    }
    case wire::Body::AnswerEnd: {
      const auto* message = frame.body_as_AnswerEnd();
      execute_actions(scheduler_.on_end(message->id(), machine, message->whole(), now));
      return;
    }
    default:
      return;
  }
}

void FrontEnd::on_backend_lost(const std::string& machine) {
  execute_actions(scheduler_.on_backend_lost(machine, loop_now()));
}

void FrontEnd::on_capacity() { execute_actions(scheduler_.on_capacity(loop_now())); }

void FrontEnd::on_tick() { execute_actions(scheduler_.on_tick(loop_now())); }

void FrontEnd::on_configuration() { limiter_.configure(configuration_.all<Tenant>(), loop_now()); }

void FrontEnd::shut_down() {
  shutting_down_ = true;
  execute_actions(scheduler_.on_shutdown(loop_now()));
}

void FrontEnd::execute_actions(const SchedulerActions& actions) {
  for (const SchedulerAction& action : actions) {
    std::visit([this](const auto& typed) { execute(typed); }, action);
  }
}

void FrontEnd::execute(const SubmitToBackend& action) {
  const auto found = callers_.find(action.request);
  if (found == callers_.end()) return;
  const CallerRequest& request = found->second.request;
  wire::SubmitRequestT message;
  message.id = action.request;
  message.request_id = request.request_id;
  message.digest = action.digest;
  if (request.is_model_call) message.model = request.model;
  std::string resolved;
  if (request.is_model_call && resolve_model(request.model, resolved)) message.model = resolved;
  message.method = request.method;
  message.path = request.path;
  message.content_type = request.content_type;
  message.body.assign(request.body.begin(), request.body.end());
  message.stream = request.stream;
  message.non_repeatable = request.non_repeatable;
  message.priority = found->second.priority;
  message.resume_from_event = action.resume_from_event;
  const bool sent = hub_.send(action.machine, message);
  // The agent is no longer connected, so the request certainly did not reach it.
  if (!sent) execute_actions(scheduler_.on_refused(action.request, action.machine, loop_now()));
}

void FrontEnd::execute(const CancelAtBackend& action) {
  wire::CancelRequestT message;
  message.id = action.request;
  hub_.send(action.machine, message);
}

void FrontEnd::execute(const StartResponse& action) {
  const auto found = callers_.find(action.request);
  if (found == callers_.end()) return;
  Caller& caller = found->second;
  caller.status = action.status;
  caller.content_type = action.content_type;
  caller.response_started = true;
  observe_first_byte(caller);
  if (!caller.request.stream) return;
  caller.exchange->start_stream(
      action.status, action.content_type,
      {{kOutcomeHeader, kOutcomeCompleted}, {"X-Request-Id", caller.request.request_id}});
}

void FrontEnd::observe_first_byte(const Caller& caller) {
  metrics_.observe("pumicemast_entry_first_byte_seconds", {{"tenant", caller.tenant_label}},
                   loop_now() - caller.started);
}

void FrontEnd::execute(const ForwardBytes& action) {
  const auto found = callers_.find(action.request);
  if (found == callers_.end()) return;
  if (found->second.request.stream) {
    found->second.exchange->write(action.bytes);
  } else {
    found->second.buffered += action.bytes;
  }
}

void FrontEnd::execute(const FinishResponse& action) {
  const auto found = callers_.find(action.request);
  if (found == callers_.end()) return;
  Caller& caller = found->second;
  if (caller.request.stream) {
    caller.exchange->finish();
  } else {
    caller.exchange->respond(
        caller.status, caller.content_type, caller.buffered,
        {{kOutcomeHeader, kOutcomeCompleted}, {"X-Request-Id", caller.request.request_id}});
  }
  if (!caller.claim.empty()) claims_.settle(caller.claim, true);
  finish(action.request, kOutcomeCompleted);
}

void FrontEnd::execute(const RefuseRequest& action) {
  const auto found = callers_.find(action.request);
  if (found == callers_.end()) return;
  Caller& caller = found->second;
  const CallerError error = error_for(action.code, action.outcome, action.retry_after);
  metrics_.count("pumicemast_entry_refusals_total", {{"code", error.code}});
  respond_error(*caller.exchange, caller.request.request_id, error);
  if (!caller.claim.empty()) claims_.settle(caller.claim, action.outcome != Outcome::not_run);
  finish(action.request, error.outcome.c_str());
}

void FrontEnd::execute(const AbortStreamedResponse& action) {
  const auto found = callers_.find(action.request);
  if (found == callers_.end()) return;
  Caller& caller = found->second;
  const CallerError error = error_for(action.code, Outcome::unknown, Duration::zero());
  metrics_.count("pumicemast_entry_refusals_total", {{"code", error.code}});
  // Without a final [DONE] the caller recognizes that the response is incomplete.
  caller.exchange->write(stream_error_event(error));
  caller.exchange->finish();
  if (!caller.claim.empty()) claims_.settle(caller.claim, true);
  finish(action.request, kOutcomeUnknown);
}

void FrontEnd::finish(RequestNumber number, const char* outcome) {
  const auto found = callers_.find(number);
  if (found == callers_.end()) return;
  const Caller& caller = found->second;
  metrics_.count("pumicemast_entry_requests_total",
                 {{"tenant", caller.tenant_label}, {"outcome", outcome}});
  metrics_.observe("pumicemast_entry_request_seconds",
                   {{"tenant", caller.tenant_label},
                    {"class", caller.request.is_model_call ? "model" : "service"}},
                   loop_now() - caller.started);
  limiter_.release(caller.request.tenant);
  callers_.erase(found);
}

}  // namespace pumicemast
