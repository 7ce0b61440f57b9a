// Responses that end with their connection: whether they are complete is inferred.
#include <algorithm>
#include <utility>

#include "gateway/requests/request_forwarder.h"

namespace pumicemast {
namespace {

/// Bytes that were under way at a close have arrived by then, also after one retransmission.
constexpr Duration kLongestInFlight = milliseconds(300);
/// Bytes that were received before a delay of this process are read within so many ticks.
constexpr int kTicksToReadReceived = 2;
/// Longest wait for a later response of a process that does not listen.
constexpr Duration kLaterResponseWait = seconds(1);
/// More may stay in the send buffer of a process that has exited, and arrive long after.
constexpr std::size_t kMaximumUnpacedBytes = 8U << 10U;

}  // namespace

void RequestForwarder::fail_truncated(RequestNumber number, RequestSession& session, TimePoint now,
                                      ForwarderActions& actions) {
  ++counters_.truncated;
  session.end_held_until.reset();
  on_attempt_failed(number, AttemptFailure::truncated, now, actions);
}

bool RequestForwarder::ends_early(const RequestSession& session, ResponseEnd end) {
  if (!session.event_stream) return false;
  const std::uint64_t events = session.splitter.event_count() - session.events_before;
  if (session.may_be_whole && session.stream_started && events == 0)
    return session.splitter.inside_event();
  return is_truncated(session.splitter, events, end);
}

bool RequestForwarder::check_inferred_end(RequestNumber number, RequestSession& session,
                                          TimePoint now, ForwarderActions& actions) {
  // The head alone states that the request did not run.
  if (session.response.not_run) return false;
  const bool leaving = pool_.leaving(session.backend);
  // A process that has answered a later request is another one, or has not exited. One that leaves
  // may have stopped listening long before.
  if (!leaving && crash_correlator_.exited_since(session.backend, session.sent_at, now)) {
    record_verdict(session, false, EndEvidence::exit, now);
    fail_truncated(number, session, now, actions);
    return true;
  }
  if (!session.service->engine || !pool_.known_alive(session.backend, now))
    probe_for_end(session, actions);
  release_slot(session);
  session.end_held_until = std::min(now + options_.inferred_end_wait, session.deadline);
  return true;
}

void RequestForwarder::probe_for_end(RequestSession& session, ForwarderActions& actions) {
  session.end_probed = true;
  actions.emplace_back(ProbeBackend{session.backend, session.backend_address});
}

void RequestForwarder::on_backend_listening(const std::string& backend, TimePoint probed_at,
                                            TimePoint now, ForwarderActions& actions) {
  std::vector<RequestNumber> numbers;
  for (const auto& [number, session] : sessions_) {
    const bool held = session.end_held_until && session.backend == backend;
    if (held && *session.closed_at <= probed_at) numbers.push_back(number);
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
  if (session.later_response) {
    accept_inferred_end(number, session, EndEvidence::later_response, now, actions);
    return;
  }
  if (now - *session.closed_at >= kLongestInFlight &&
      ++session.ticks_after_close == kTicksToReadReceived) {
    uncertain_ends_.insert(number);
  }
  if (session.backend_ended) {
    decide_after_exit(number, session, now, actions);
  } else if (now >= *session.end_held_until) {
    decide_without_exit(number, session, now, actions);
  }
}

void RequestForwarder::decide_after_exit(RequestNumber number, RequestSession& session,
                                         TimePoint now, ForwarderActions& actions) {
  if (!pool_.leaving(session.backend)) {
    record_verdict(session, false, EndEvidence::exit, now);
    fail_truncated(number, session, now, actions);
  } else if (!awaits_later_response(session, now)) {
    continue_uncertain_response(number, session, EndEvidence::leaving_exit, now, actions);
  }
}

bool RequestForwarder::shows_life_after(const RequestSession& other,
                                        const RequestSession& session) {
  // A request that was sent after the close may run in another process at the same address.
  return !other.end_held_until && !other.slot_released && !other.backend.empty() &&
         other.backend_incarnation == session.backend_incarnation &&
         other.sent_at <= *session.closed_at;
}

bool RequestForwarder::awaits_later_response(const RequestSession& session, TimePoint now) const {
  if (session.event_stream || now >= session.deadline) return false;
  if (now - *session.closed_at >= kLaterResponseWait) return false;
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [&](const auto& entry) { return shows_life_after(entry.second, session); });
}

void RequestForwarder::on_later_bytes(const RequestSession& sender) {
  if (sender.response_started || sender.buffered.size() > kMaximumUnpacedBytes) return;
  std::erase_if(uncertain_ends_, [&](RequestNumber number) {
    const auto found = sessions_.find(number);
    if (found == sessions_.end() || !found->second.end_held_until) return true;
    if (shows_life_after(sender, found->second)) found->second.later_response = true;
    return false;
  });
}

void RequestForwarder::decide_without_exit(RequestNumber number, RequestSession& session,
                                           TimePoint now, ForwarderActions& actions) {
  // The agent's state of the engine may be as old as its polling interval.
  const TimePoint sampled_after_close = *session.closed_at + options_.inferred_end_wait / 2;
  if (pool_.reported_alive_since(session.backend, sampled_after_close)) {
    accept_inferred_end(number, session, EndEvidence::report, now, actions);
  } else if (now >= session.deadline) {
    record_verdict(session, false, EndEvidence::deadline, now);
    end_at_deadline(number, session, now, actions);
  } else if (!session.end_probed) {
    probe_for_end(session, actions);
    session.end_held_until = std::min(now + options_.inferred_end_wait, session.deadline);
  } else if (!awaits_later_response(session, now)) {
    continue_uncertain_response(number, session, EndEvidence::silence, now, actions);
  }
}

void RequestForwarder::continue_uncertain_response(RequestNumber number, RequestSession& session,
                                                   EndEvidence evidence, TimePoint now,
                                                   ForwarderActions& actions) {
  record_verdict(session, false, evidence, now);
  session.end_held_until.reset();
  session.may_have_run = true;
  session.last_reason = RefusalReason::backend_failed;
  retry_or_fail(number, session, now, actions);
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
  inferred_end_verdicts_.push_back({session.request.id, session.backend, complete, evidence,
                                    now - session.closed_at.value_or(now)});
}

std::vector<InferredEnd> RequestForwarder::take_inferred_ends() {
  return std::exchange(inferred_ends_, {});
}

std::vector<InferredEndVerdict> RequestForwarder::take_inferred_end_verdicts() {
  return std::exchange(inferred_end_verdicts_, {});
}

}  // namespace pumicemast
