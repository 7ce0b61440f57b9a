#include "gateway/requests/request_planner.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
/// Time left of a caller that states none.
constexpr Duration kDefaultTimeLeft = seconds(30);
/// A caller that has already waited for this fraction of the latency goal, at this or other
/// gateways, can hardly be answered within the goal.
constexpr double kReturningFraction = 0.5;
/// Callers wait for at most this fraction of their remaining time, whatever they are told.
constexpr double kLongestWaitOfCallers = 1.0 / 3;

Duration scaled(Duration duration, double fraction) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * fraction));
}

/// Key of the callers who compete for the same capacity with the same route timeout.
std::string caller_group(const RequestSession& session) {
  return session.capacity_group() + "/" + std::to_string(to_milliseconds(session.route->timeout));
}

}  // namespace

RequestPlanner::RequestPlanner(const WeightTargets& targets, const ForwarderOptions& options)
    : targets_(targets),
      options_(options),
      random_(static_cast<std::minstd_rand::result_type>(options.seed)) {}

void RequestPlanner::estimate_first_arrival(RequestSession& session) {
  session.first_arrival = session.arrived;
  const Duration stated = session.request.time_left;
  // Without a service the request is not forwarded, for example because its API key is missing.
  if (session.service == nullptr || stated <= Duration::zero()) return;
  const std::string group = caller_group(session);
  const Duration waited = retry_estimator_.estimated_wait(group, stated);
  retry_estimator_.on_request(group, stated);
  session.first_arrival = session.arrived - waited;
  session.returning = waited >= scaled(session.route->latency_goal, kReturningFraction);
}

void RequestPlanner::plan_times(RequestSession& session) {
  estimate_first_arrival(session);
  const Duration stated = session.request.time_left;
  const Duration time_left = stated > Duration::zero() ? stated : kDefaultTimeLeft;
  session.deadline = session.arrived + std::min(time_left, session.route->timeout);
  session.wait_until =
      session.arrived + scaled(session.route->latency_goal, options_.wait_fraction);
}

BackendRequirements RequestPlanner::backend_requirements(const RequestSession& session,
                                                         TimePoint now) const {
  BackendRequirements requirements;
  requirements.service = session.service;
  requirements.allowed_regions = session.allowed_regions;
  requirements.prompt_tokens = session.request.prompt_tokens;
  requirements.answer_tokens = session.request.answer_tokens;
  requirements.lowest_version = targets_.lowest_allowed(session.request.model, now);
  requirements.preferred_version = session.response_version;
  requirements.urgent = session.sends > 0;
  requirements.unreserved_only = session.returning;
  return requirements;
}

Duration RequestPlanner::slot_useful_for(const RequestSession& session, double expected_ms,
                                         TimePoint now) const {
  const double in_time_ms = admission_limit_ms(session, now) - expected_ms;
  const Duration in_time = from_seconds(in_time_ms / kMillisecondsPerSecond);
  return session.returning ? std::min(in_time, session.wait_until - now) : in_time;
}

double RequestPlanner::admission_limit_ms(const RequestSession& session, TimePoint now) const {
  const double goal_ms = to_fractional_milliseconds(session.route->latency_goal);
  // A request that was already sent is worth finishing even after the goal.
  if (session.sends > 0) return to_fractional_milliseconds(session.deadline - now);
  const TimePoint since = session.returning ? session.arrived : session.first_arrival;
  return goal_ms * options_.admission_fraction - to_fractional_milliseconds(now - since);
}

void RequestPlanner::record_retry_after(const RequestSession& session, Duration retry_after,
                                        TimePoint now) {
  const Duration stated = session.request.time_left;
  if (session.service == nullptr || stated <= Duration::zero()) return;
  const Duration left = stated - (now - session.arrived);
  const TimePoint returns_at = now + std::min(retry_after, scaled(left, kLongestWaitOfCallers));
  retry_estimator_.on_retry_advised(caller_group(session), stated - (returns_at - session.arrived),
                                    returns_at - session.first_arrival);
}

Duration RequestPlanner::longest_retry_after(Duration left) const {
  constexpr Duration kMinimumUsefulTime = milliseconds(300);
  if (left < kMinimumUsefulTime) return Duration::zero();
  return std::min(options_.max_retry_after, scaled(left, options_.retry_after_fraction));
}

Duration RequestPlanner::random_retry_after(const RequestSession& session, TimePoint now,
                                            std::optional<TimePoint> earliest) {
  const Duration left = session.route == nullptr ? kDefaultTimeLeft : session.deadline - now;
  const Duration longest = longest_retry_after(left);
  if (longest == Duration::zero()) return longest;
  if (earliest && *earliest > now) {
    std::uniform_real_distribution<double> spread(0, 1);
    return *earliest - now + scaled(longest, spread(random_));
  }
  std::uniform_real_distribution<double> upper_half(0.5, 1.0);
  return scaled(longest, upper_half(random_));
}

Duration RequestPlanner::random_retry_after_slot(const RequestSession& session, TimePoint now,
                                                 TimePoint expected_at) {
  const Duration left = session.deadline - now;
  const Duration longest = longest_retry_after(left);
  if (longest == Duration::zero()) return longest;
  const Duration half = longest / 2;
  const Duration latest = scaled(left, options_.retry_after_fraction);
  // Callers with long expected waits are still spread out, if less.
  const Duration from = std::clamp(expected_at - now, half, latest - half / 2);
  const Duration to = std::min(from + half, latest);
  std::uniform_real_distribution<double> spread(0, 1);
  return from + scaled(to - from, spread(random_));
}

}  // namespace pumicemast
