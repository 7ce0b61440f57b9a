#include "gateway/requests/response_relay.h"

#include <algorithm>

namespace pumicemast {

void ResponseRelay::record_progress(RequestSession& session, TimePoint now) {
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

void ResponseRelay::on_body(RequestNumber number, RequestSession& session, std::string_view bytes,
                            TimePoint now, ForwarderActions& actions) {
  if (session.streaming) {
    on_events(number, session, bytes, now, actions);
    return;
  }
  session.last_progress = now;
  if (session.event_stream) follow_events(session, bytes);
  // A stream was started: a plain response to its resumption is not part of it.
  if (session.stream_started || session.response.not_run) {
    session.unused_response_bytes += bytes.size();
    return;
  }
  if (session.response_started) {
    actions.emplace_back(RelayBody{number, std::string(bytes)});
    return;
  }
  session.buffered.append(bytes);
  if (session.buffered.size() <= options_.max_buffered_response_bytes) return;
  session.response_started = true;
  actions.emplace_back(BeginResponse{number, std::nullopt});
  actions.emplace_back(RelayBody{number, std::move(session.buffered)});
  session.buffered.clear();
}

void ResponseRelay::follow_events(RequestSession& session, std::string_view bytes) {
  session.splitter.take_complete_events(bytes);
  session.splitter.shorten_partial_event();
}

bool ResponseRelay::exceeds_limits(const RequestSession& session) const {
  const bool keeps_events = session.streaming && session.route->resumable;
  return (keeps_events && session.splitter.partial_bytes() > options_.max_event_bytes) ||
         session.unused_response_bytes > options_.max_unused_response_bytes;
}

void ResponseRelay::on_events(RequestNumber number, RequestSession& session, std::string_view bytes,
                              TimePoint now, ForwarderActions& actions) {
  std::string ready;
  if (session.route->resumable) {
    ready = session.splitter.take_complete_events(bytes);
  } else {
    follow_events(session, bytes);
    ready = bytes;
  }
  if (ready.empty()) return;
  record_progress(session, now);
  if (!session.response_started) {
    session.response_started = true;
    session.stream_started = true;
    session.response_version = session.last_version;
    actions.emplace_back(BeginResponse{number, std::nullopt});
  }
  actions.emplace_back(RelayBody{number, std::move(ready)});
}

void ResponseRelay::finish(RequestNumber number, RequestSession& session, TimePoint now,
                           ForwarderActions& actions) {
  if (session.streaming) {
    // Without resumption, a partial event has been relayed already.
    const std::string rest =
        session.route->resumable ? session.splitter.take_partial_event() : std::string();
    if (!session.response_started) actions.emplace_back(BeginResponse{number, std::nullopt});
    if (!rest.empty()) actions.emplace_back(RelayBody{number, rest});
  } else if (!session.response_started) {
    actions.emplace_back(BeginResponse{number, session.buffered.size()});
    if (!session.buffered.empty()) {
      actions.emplace_back(RelayBody{number, std::move(session.buffered)});
    }
    if (session.first_event == TimePoint{}) session.first_event = now;
  }
  actions.emplace_back(EndResponse{number});
}

}  // namespace pumicemast
