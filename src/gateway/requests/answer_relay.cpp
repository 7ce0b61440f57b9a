#include "gateway/requests/answer_relay.h"

#include <algorithm>

namespace pumicemast {

void AnswerRelay::note_progress(RequestSession& session, TimePoint now) {
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

void AnswerRelay::on_body(RequestNumber number, RequestSession& session, std::string_view bytes,
                          TimePoint now, ForwarderActions& actions) {
  if (session.events) {
    on_events(number, session, bytes, now, actions);
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

void AnswerRelay::on_events(RequestNumber number, RequestSession& session, std::string_view bytes,
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

void AnswerRelay::finish(RequestNumber number, RequestSession& session, TimePoint now,
                         ForwarderActions& actions) {
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
  actions.emplace_back(EndAnswer{number});
}

}  // namespace pumicemast
