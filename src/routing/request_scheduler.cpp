#include "routing/request_scheduler.h"

#include <cassert>

namespace pumicemast {
namespace {

constexpr char kEventEnd[] = "\n\n";

}  // namespace

const char* to_string(Outcome outcome) {
  return outcome == Outcome::not_run ? "not-run" : "unknown";
}

const char* to_string(RefusalCode code) {
  switch (code) {
    case RefusalCode::unknown_model:
      return "unknown_model";
    case RefusalCode::no_capacity:
      return "no_capacity";
    case RefusalCode::queue_full:
      return "queue_full";
    case RefusalCode::deadline_passed:
      return "deadline_passed";
    case RefusalCode::backend_failed:
      return "backend_failed";
    case RefusalCode::shutting_down:
      return "shutting_down";
  }
  return "unknown";
}

RequestScheduler::RequestScheduler(BackendDirectory& directory, const Router& router,
                                   SchedulerOptions options)
    : directory_(directory), router_(router), options_(options), budget_(options.retry_ratio) {}

SchedulerActions RequestScheduler::on_request(RequestNumber request, RequestProfile profile,
                                              TimePoint now) {
  SchedulerActions actions;
  assert(!sessions_.contains(request));
  Session& session = sessions_[request];
  session.profile = std::move(profile);
  budget_.on_first_attempt();
  if (session.profile.deadline <= now) {
    give_up(request, RefusalCode::deadline_passed, actions);
    return actions;
  }
  dispatch_or_queue(request, now, actions);
  return actions;
}

RequestScheduler::Session* RequestScheduler::running_at(RequestNumber request,
                                                        const std::string& machine) {
  const auto found = sessions_.find(request);
  if (found == sessions_.end() || found->second.machine != machine) return nullptr;
  return &found->second;
}

bool RequestScheduler::dispatch(RequestNumber request, Session& session, TimePoint now,
                                SchedulerActions& actions) {
  auto choice = router_.choose(session.profile.requirements, session.excluded, now);
  if (!choice) return false;
  queue_.remove(request, true);
  session.machine = choice->machine;
  session.running_digest = choice->digest;
  session.status = 0;
  ++counters_.submitted;
  directory_.on_submitted(choice->machine);
  actions.push_back(
      SubmitToBackend{request, choice->machine, choice->digest, session.events_forwarded});
  // From here on only a refusal by the back end proves that the request did not run.
  session.may_have_run = true;
  return true;
}

void RequestScheduler::dispatch_or_queue(RequestNumber request, TimePoint now,
                                         SchedulerActions& actions) {
  Session& session = sessions_.at(request);
  // Requests that are queued already go first.
  if (queue_.size() == 0 && dispatch(request, session, now, actions)) return;
  if (queue_.size() >= options_.queue_limit) {
    give_up(request, RefusalCode::queue_full, actions);
    return;
  }
  session.queued_at = now;
  queue_.push(request, session.profile.tenant, session.profile.priority);
  if (queue_.size() > 1) {
    SchedulerActions more = on_capacity(now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
  }
}

void RequestScheduler::release_backend(Session& session) {
  if (!session.machine.empty()) directory_.on_finished(session.machine);
  session.machine.clear();
}

void RequestScheduler::finish(RequestNumber request, SchedulerActions& actions) {
  release_backend(sessions_.at(request));
  sessions_.erase(request);
  ++counters_.finished;
  actions.push_back(FinishResponse{request});
}

void RequestScheduler::give_up(RequestNumber request, RefusalCode code, SchedulerActions& actions) {
  Session& session = sessions_.at(request);
  release_backend(session);
  queue_.remove(request, false);
  const Outcome outcome = session.may_have_run ? Outcome::unknown : Outcome::not_run;
  if (outcome == Outcome::unknown) {
    ++counters_.final_unknown;
  } else {
    ++counters_.final_not_run;
  }
  if (session.response_started) {
    actions.push_back(AbortStreamedResponse{request, code});
  } else {
    actions.push_back(RefuseRequest{request, code, outcome, options_.retry_after_hint});
  }
  sessions_.erase(request);
}

SchedulerActions RequestScheduler::on_refused(RequestNumber request, const std::string& machine,
                                              TimePoint now) {
  SchedulerActions actions;
  Session* session = running_at(request, machine);
  if (session == nullptr) return actions;
  ++counters_.refused_by_backend;
  release_backend(*session);
  // Only an earlier attempt can have run.
  session->may_have_run = session->attempts > 0;
  session->excluded.insert(machine);
  if (++session->refusals >= options_.refusals) {
    give_up(request, RefusalCode::no_capacity, actions);
    return actions;
  }
  dispatch_or_queue(request, now, actions);
  return actions;
}

SchedulerActions RequestScheduler::on_head(RequestNumber request, const std::string& machine,
                                           std::uint16_t status, const std::string& content_type,
                                           TimePoint) {
  SchedulerActions actions;
  Session* session = running_at(request, machine);
  if (session == nullptr) return actions;
  session->status = status;
  session->content_type = content_type;
  session->buffered.clear();
  return actions;
}

void RequestScheduler::forward_events(RequestNumber request, Session& session,
                                      SchedulerActions& actions) {
  const std::size_t end = session.buffered.rfind(kEventEnd);
  if (end == std::string::npos) return;
  const std::size_t length = end + sizeof(kEventEnd) - 1;
  std::string complete_events = session.buffered.substr(0, length);
  session.buffered.erase(0, length);
  for (std::size_t position = complete_events.find(kEventEnd); position != std::string::npos;
       position = complete_events.find(kEventEnd, position + 2)) {
    ++session.events_forwarded;
  }
  if (!session.response_started) {
    session.response_started = true;
    actions.push_back(StartResponse{request, session.status, session.content_type});
  }
  actions.push_back(ForwardBytes{request, std::move(complete_events)});
}

SchedulerActions RequestScheduler::on_data(RequestNumber request, const std::string& machine,
                                           const std::string& bytes, TimePoint) {
  SchedulerActions actions;
  Session* session = running_at(request, machine);
  if (session == nullptr) return actions;
  session->buffered += bytes;
  const bool streams = session->profile.stream && session->status == 200;
  if (streams) forward_events(request, *session, actions);
  return actions;
}

SchedulerActions RequestScheduler::on_end(RequestNumber request, const std::string& machine,
                                          bool complete, TimePoint now) {
  SchedulerActions actions;
  Session* session = running_at(request, machine);
  if (session == nullptr) return actions;
  const bool resumed_into_error = session->response_started && session->status != 200;
  if (!complete || session->status == 0 || resumed_into_error) {
    session->excluded.insert(machine);
    fail_attempt(request, now, actions);
    return actions;
  }
  if (!session->response_started) {
    actions.push_back(StartResponse{request, session->status, session->content_type});
  }
  if (!session->buffered.empty()) {
    actions.push_back(ForwardBytes{request, std::move(session->buffered)});
  }
  finish(request, actions);
  SchedulerActions more = on_capacity(now);
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

void RequestScheduler::fail_attempt(RequestNumber request, TimePoint now,
                                    SchedulerActions& actions) {
  Session& session = sessions_.at(request);
  release_backend(session);
  ++session.attempts;
  session.may_have_run = true;
  session.buffered.clear();
  if (session.profile.non_repeatable || session.attempts >= options_.attempts) {
    give_up(request, RefusalCode::backend_failed, actions);
    return;
  }
  if (!budget_.try_spend()) {
    ++counters_.retry_budget_spent;
    give_up(request, RefusalCode::backend_failed, actions);
    return;
  }
  if (session.response_started) {
    // The rest must be generated by the same weights as the part that the caller has received.
    session.profile.requirements.digest = session.running_digest;
    ++counters_.resumed;
  } else {
    ++counters_.retried;
  }
  dispatch_or_queue(request, now, actions);
}

SchedulerActions RequestScheduler::on_backend_lost(const std::string& machine, TimePoint now) {
  SchedulerActions actions;
  std::vector<RequestNumber> lost;
  for (auto& [request, session] : sessions_) {
    if (session.machine == machine) lost.push_back(request);
  }
  for (const RequestNumber request : lost) {
    const auto found = sessions_.find(request);
    if (found == sessions_.end() || found->second.machine != machine) continue;
    found->second.excluded.insert(machine);
    fail_attempt(request, now, actions);
  }
  return actions;
}

SchedulerActions RequestScheduler::on_caller_disconnected(RequestNumber request, TimePoint now) {
  SchedulerActions actions;
  const auto found = sessions_.find(request);
  if (found == sessions_.end()) return actions;
  if (!found->second.machine.empty()) {
    actions.push_back(CancelAtBackend{request, found->second.machine});
  }
  release_backend(found->second);
  queue_.remove(request, false);
  sessions_.erase(found);
  SchedulerActions more = on_capacity(now);
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

SchedulerActions RequestScheduler::on_capacity(TimePoint now) {
  SchedulerActions actions;
  // Requirements for which no back end had capacity are not tried again in this pass, because the
  // queue may be long.
  std::set<std::tuple<std::string, std::string, std::string>> full;
  for (const RequestNumber request : queue_.in_order()) {
    Session& session = sessions_.at(request);
    const RoutingRequirements& requirements = session.profile.requirements;
    const std::tuple key{requirements.model, requirements.service, requirements.digest};
    if (session.excluded.empty() && full.contains(key)) continue;
    if (!dispatch(request, session, now, actions) && session.excluded.empty()) full.insert(key);
  }
  return actions;
}

SchedulerActions RequestScheduler::on_tick(TimePoint now) {
  SchedulerActions actions;
  std::vector<std::pair<RequestNumber, RefusalCode>> expired;
  for (auto& [request, session] : sessions_) {
    if (now >= session.profile.deadline) {
      expired.emplace_back(request, RefusalCode::deadline_passed);
    } else if (session.machine.empty() && now >= session.queued_at + options_.queue_wait) {
      expired.emplace_back(request, RefusalCode::no_capacity);
    } else if (session.machine.empty()) {
      // A back end that refused because it was full may have capacity again.
      session.excluded.clear();
    }
  }
  for (const auto& [request, code] : expired) {
    const Session& session = sessions_.at(request);
    if (!session.machine.empty()) actions.push_back(CancelAtBackend{request, session.machine});
    give_up(request, code, actions);
  }
  SchedulerActions more = on_capacity(now);
  std::move(more.begin(), more.end(), std::back_inserter(actions));
  return actions;
}

SchedulerActions RequestScheduler::on_shutdown(TimePoint) {
  SchedulerActions actions;
  for (const RequestNumber request : queue_.in_order()) {
    give_up(request, RefusalCode::shutting_down, actions);
  }
  return actions;
}

}  // namespace pumicemast
