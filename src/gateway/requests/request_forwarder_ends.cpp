// Responses that end with their connection: whether they are complete is inferred.
#include <algorithm>
#include <utility>

#include "gateway/requests/request_forwarder.h"

namespace pumicemast {

void RequestForwarder::fail_truncated(RequestNumber number, RequestSession& session, TimePoint now,
                                      ForwarderActions& actions) {
  ++counters_.truncated;
  session.end_held_until.reset();
  on_attempt_failed(number, AttemptFailure::truncated, now, actions);
}

bool RequestForwarder::check_inferred_end(RequestNumber number, RequestSession& session,
                                          TimePoint now, ForwarderActions& actions) {
  // The head alone states that the request did not run.
  if (session.response.not_run) return false;
  // A back end that leaves may exit as soon as it has sent its last response.
  if (pool_.leaving(session.backend)) {
    record_verdict(session, true, EndEvidence::leaving, now);
    return false;
  }
  // A process that has answered a later request is another one, or has not exited.
  if (crash_correlator_.exited_since(session.backend, session.sent_at, now)) {
    record_verdict(session, false, EndEvidence::exit, now);
    fail_truncated(number, session, now, actions);
    return true;
  }
  if (!session.service->engine) {
    actions.emplace_back(ProbeBackend{session.backend, session.backend_address});
  } else if (!pool_.known_alive(session.backend, now)) {
    record_verdict(session, true, EndEvidence::no_agent, now);
    return false;
  }
  release_slot(session);
  session.end_held_until = std::min(now + options_.inferred_end_wait, session.deadline);
  return true;
}

void RequestForwarder::on_backend_listening(const std::string& backend, TimePoint now,
                                            ForwarderActions& actions) {
  std::vector<RequestNumber> numbers;
  for (const auto& [number, session] : sessions_) {
    if (session.end_held_until && session.backend == backend) numbers.push_back(number);
  }
  for (const RequestNumber number : numbers) {
    accept_inferred_end(number, sessions_.at(number), EndEvidence::listening, now, actions);
  }
}

void RequestForwarder::accept_inferred_end(RequestNumber number, RequestSession& session,
                                           EndEvidence evidence, TimePoint now,
                                           ForwarderActions& actions) {
  record_verdict(session, true, evidence, now);
  session.end_held_until.reset();
  evaluate_response(number, session, now, actions);
}

void RequestForwarder::decide_inferred_end(RequestNumber number, RequestSession& session,
                                           TimePoint now, ForwarderActions& actions) {
  if (session.backend_ended) {
    record_verdict(session, false, EndEvidence::exit, now);
    fail_truncated(number, session, now, actions);
  } else if (now >= *session.end_held_until) {
    accept_inferred_end(number, session, EndEvidence::silence, now, actions);
  }
}

void RequestForwarder::record_inferred_end(const RequestSession& session) {
  InferredEnd end;
  end.request_id = session.request.id;
  end.backend = session.backend;
  end.status = session.response.status;
  end.streaming = session.streaming;
  end.events = session.splitter.event_count() - session.events_before;
  end.partial_bytes = session.splitter.partial_bytes();
  end.inside_event = session.splitter.inside_event();
  inferred_ends_.push_back(std::move(end));
}

void RequestForwarder::record_verdict(const RequestSession& session, bool complete,
                                      EndEvidence evidence, TimePoint now) {
  inferred_end_verdicts_.push_back(
      {session.request.id, session.backend, complete, evidence, now - session.closed_at});
}

std::vector<InferredEnd> RequestForwarder::take_inferred_ends() {
  return std::exchange(inferred_ends_, {});
}

std::vector<InferredEndVerdict> RequestForwarder::take_inferred_end_verdicts() {
  return std::exchange(inferred_end_verdicts_, {});
}

}  // namespace pumicemast
