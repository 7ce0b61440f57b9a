#include "transport/permit_messages.h"

#include <algorithm>
#include <limits>

namespace pumicemast {
namespace {

std::int64_t ticks(TimePoint time) { return time.time_since_epoch().count(); }

/// Upper bounds of what another process states about a cold phase.
constexpr std::int64_t kMaximumColdTimeMs = 3'600'000;
constexpr double kMaximumColdRate = 1e6;

TimePoint from_ticks(std::int64_t ticks) { return TimePoint(Duration(ticks)); }

}  // namespace

std::unique_ptr<wire::RateLimitStateT> encode(const RateLimit& limit, TimePoint now) {
  if (limit.observed_at == TimePoint{}) return nullptr;
  auto state = std::make_unique<wire::RateLimitStateT>();
  state->per_second = limit.per_second.value_or(-1);
  const auto age_ms = std::max<std::int64_t>(0, to_milliseconds(now - limit.observed_at));
  state->age_ms = static_cast<std::uint32_t>(
      std::min<std::int64_t>(age_ms, std::numeric_limits<std::uint32_t>::max()));
  return state;
}

RateLimit decode(const wire::RateLimitState* state, TimePoint now) {
  if (state == nullptr) return {};
  RateLimit limit;
  // Written so that NaN, like a negative value, means that there is no limit.
  if (state->per_second() >= 0) limit.per_second = state->per_second();
  limit.observed_at = now - milliseconds(state->age_ms());
  return limit;
}

wire::PermitRequestT encode(const PermitRequest& request, TimePoint now) {
  wire::PermitRequestT message;
  message.backend = request.backend;
  message.started_at_ms = request.started_at_ms;
  message.asked_at = ticks(request.asked_at);
  message.wanted = request.wanted;
  message.returned = request.returned;
  message.limit = encode(request.limit, now);
  for (const TimePoint asked_at : request.given_back) message.given_back.push_back(ticks(asked_at));
  if (request.cold_limit) {
    message.cold_per_second = request.cold_limit->per_second;
    message.cold_left_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        to_milliseconds(request.cold_limit->until - now), 0, kMaximumColdTimeMs));
  }
  return message;
}

PermitRequest decode(const wire::PermitRequest& message, TimePoint now) {
  PermitRequest request;
  request.backend = message.backend()->str();
  request.started_at_ms = message.started_at_ms();
  request.asked_at = from_ticks(message.asked_at());
  request.wanted = message.wanted();
  request.returned = message.returned();
  request.limit = decode(message.limit(), now);
  if (message.given_back() != nullptr) {
    for (const std::int64_t asked_at : *message.given_back()) {
      request.given_back.push_back(from_ticks(asked_at));
    }
  }
  // Written so that NaN means that the back end is not cold.
  if (message.cold_per_second() > 0) {
    const auto left_ms = std::min<std::int64_t>(message.cold_left_ms(), kMaximumColdTimeMs);
    request.cold_limit = ColdLimit{std::min(message.cold_per_second(), kMaximumColdRate),
                                   now + milliseconds(left_ms)};
  }
  return request;
}

wire::PermitAnswerT encode(const PermitAnswer& answer, TimePoint now) {
  wire::PermitAnswerT message;
  message.backend = answer.backend;
  message.asked_at = ticks(answer.asked_at);
  message.granted = answer.granted;
  // Rounded up: a request that is repeated too early is denied again.
  const std::int64_t retry_after_ms = answer.granted ? 0 : to_milliseconds(answer.retry_after) + 1;
  message.retry_after_ms = static_cast<std::uint32_t>(retry_after_ms);
  message.limit = encode(answer.limit, now);
  return message;
}

PermitAnswer decode(const wire::PermitAnswer& message, TimePoint now) {
  PermitAnswer answer;
  answer.backend = message.backend()->str();
  answer.asked_at = from_ticks(message.asked_at());
  answer.granted = message.granted();
  answer.retry_after = milliseconds(message.retry_after_ms());
  answer.limit = decode(message.limit(), now);
  return answer;
}

}  // namespace pumicemast
