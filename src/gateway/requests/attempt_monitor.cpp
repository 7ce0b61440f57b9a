#include "gateway/requests/attempt_monitor.h"

namespace pumicemast {
namespace {

/// Silence timeout of routes that are no streams, as a multiple of the route's latency goal.
constexpr int kPlainSilenceGoalMultiple = 2;

}  // namespace

bool AttemptMonitor::starts_too_late(const RequestSession& session, TimePoint now) const {
  if (session.backend.empty() || session.first_token_seen || !session.service->engine) return false;
  return targets_.start_forbidden(session.request.model, session.last_version,
                                  now + options_.late_start_margin);
}

Duration AttemptMonitor::silence_timeout(const RequestSession& session, TimePoint now) const {
  if (session.route->kind != RequestKind::stream)
    return session.route->latency_goal * kPlainSilenceGoalMultiple;
  return pool_.known_alive(session.backend, now) ? options_.healthy_silence_timeout
                                                 : options_.unconfirmed_silence_timeout;
}

AttemptState AttemptMonitor::assess(const RequestSession& session, TimePoint now) const {
  const bool connecting = !session.connected;
  if (connecting && now - session.sent_at > options_.connect_timeout) {
    return AttemptState::not_connected;
  }
  // Its response has begun, and is held back for its caller.
  if (session.reading_paused) return AttemptState::healthy;
  if (starts_too_late(session, now)) return AttemptState::starts_too_late;
  if (!session.repeatable()) return AttemptState::healthy;
  const bool response_arriving =
      session.head_received && session.route->kind != RequestKind::stream;
  if (response_arriving) return AttemptState::healthy;
  const bool stalled = now - session.last_progress > silence_timeout(session, now);
  return stalled ? AttemptState::stalled : AttemptState::healthy;
}

}  // namespace pumicemast
