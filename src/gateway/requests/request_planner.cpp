#include "gateway/requests/request_planner.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr Duration kUnstatedTimeLeft = seconds(30);
/// Who has waited for such a share of the goal elsewhere can hardly be answered within it.
constexpr double kReturningShare = 0.5;

Duration scaled(Duration duration, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

/// Callers of a service that may wait equally long.
std::string caller_group(const RequestSession& session) {
  return session.service->name + "/" + std::to_string(to_milliseconds(session.route->timeout));
}

}  // namespace

RequestPlanner::RequestPlanner(const WeightTargets& targets, const ForwarderOptions& options)
    : targets_(targets),
      options_(options),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)) {}

void RequestPlanner::note_first_asked(RequestSession& session) {
  session.first_asked = session.arrived;
  const Duration stated = session.request.time_left;
  // Without a service the request goes nowhere: its caller lacks a key, for example.
  if (session.service == nullptr || stated <= Duration::zero()) return;
  const std::string group = caller_group(session);
  const Duration waited = retry_estimator_.estimated_wait(group, stated);
  retry_estimator_.on_request(group, stated);
  session.first_asked = session.arrived - waited;
  session.returning = waited >= scaled(session.route->latency_goal, kReturningShare);
}

void RequestPlanner::plan_times(RequestSession& session) {
  note_first_asked(session);
  const Duration stated = session.request.time_left;
  const Duration time_left = stated > Duration::zero() ? stated : kUnstatedTimeLeft;
  session.deadline = session.arrived + std::min(time_left, session.route->timeout);
  session.wait_until = session.arrived + scaled(session.route->latency_goal, options_.wait_share);
}

BackendNeed RequestPlanner::need_of(const RequestSession& session, TimePoint now) const {
  BackendNeed need;
  need.service = session.service;
  need.prompt_tokens = session.request.prompt_tokens;
  need.answer_tokens = session.request.answer_tokens;
  need.lowest_version = targets_.lowest_allowed(session.request.model, now);
  need.preferred_version = session.answer_version;
  need.urgent = session.sends > 0;
  need.spare_only = session.returning;
  return need;
}

double RequestPlanner::admission_limit_ms(const RequestSession& session, TimePoint now) const {
  const double goal_ms = to_fractional_milliseconds(session.route->latency_goal);
  // What has begun is worth finishing, also late.
  if (session.sends > 0) return to_fractional_milliseconds(session.deadline - now);
  const TimePoint since = session.returning ? session.arrived : session.first_asked;
  return goal_ms * options_.admit_share - to_fractional_milliseconds(now - since);
}

void RequestPlanner::note_told(const RequestSession& session, Duration retry_after, TimePoint now) {
  const Duration stated = session.request.time_left;
  if (session.service == nullptr || stated <= Duration::zero()) return;
  const TimePoint returns_at = now + retry_after;
  retry_estimator_.on_retry_advised(caller_group(session), stated - (returns_at - session.arrived),
                                    returns_at - session.first_asked);
}

Duration RequestPlanner::draw_retry_after(const RequestSession& session, TimePoint now) {
  constexpr Duration kLeastUsefulTime = milliseconds(300);
  const Duration left = session.route == nullptr ? kUnstatedTimeLeft : session.deadline - now;
  if (left < kLeastUsefulTime) return Duration::zero();
  std::uniform_real_distribution<double> upper_half(0.5, 1.0);
  const Duration longest =
      std::min(options_.longest_retry_after, scaled(left, options_.retry_after_share));
  return scaled(longest, upper_half(random_));
}

}  // namespace pumicemast
