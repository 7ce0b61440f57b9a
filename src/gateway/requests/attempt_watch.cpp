#include "gateway/requests/attempt_watch.h"

namespace pumicemast {
namespace {

/// A plain back end may be silent for so many times the route's goal.
constexpr int kPlainSilenceGoals = 2;

}  // namespace

bool AttemptWatch::begins_too_late(const RequestSession& session, TimePoint now) const {
  if (session.backend.empty() || session.first_token_seen || !session.service->engine) return false;
  return targets_.start_forbidden(session.request.model, session.last_version,
                                  now + options_.take_back_lead);
}

Duration AttemptWatch::longest_silence(const RequestSession& session, TimePoint now) const {
  if (session.route->kind != RequestKind::stream)
    return session.route->latency_goal * kPlainSilenceGoals;
  return pool_.known_alive(session.backend, now) ? options_.healthy_silence
                                                 : options_.doubtful_silence;
}

AttemptState AttemptWatch::judge(const RequestSession& session, TimePoint now) const {
  const bool connecting = !session.connected;
  if (connecting && now - session.sent_at > options_.connect_limit) {
    return AttemptState::not_connected;
  }
  if (begins_too_late(session, now)) return AttemptState::begins_too_late;
  if (!session.repeatable()) return AttemptState::sound;
  const bool answer_comes = session.head_seen && session.route->kind != RequestKind::stream;
  if (answer_comes) return AttemptState::sound;
  const bool silent = now - session.last_progress > longest_silence(session, now);
  return silent ? AttemptState::silent : AttemptState::sound;
}

}  // namespace pumicemast
