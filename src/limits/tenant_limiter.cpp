#include "limits/tenant_limiter.h"

#include <algorithm>
#include <cassert>

namespace pumicemast {
namespace {

/// Retry delay for a caller refused because of the tenant's requests in flight: it cannot know when
/// one of them ends.
constexpr Duration kInFlightRetryAfter = seconds(1);

}  // namespace

void TenantLimiter::configure(const ObjectMap<Tenant>& tenants, TimePoint now) {
  for (auto& [name, state] : tenants_) {
    if (!tenants.contains(name)) state.limited = false;
  }
  for (const auto& [name, object] : tenants) {
    State& state = tenants_[name];
    const double rate = object.value.requests_per_second / entry_count_;
    const double burst = std::max(1.0, object.value.burst / entry_count_);
    if (state.limited) {
      state.bucket.configure(rate, burst, now);
    } else {
      state.bucket = TokenBucket(rate, burst);
      state.limited = true;
    }
    state.in_flight_limit =
        object.value.in_flight == 0 ? 0 : std::max(1U, object.value.in_flight / entry_count_);
    state.priority = object.value.priority;
  }
}

LimitDecision TenantLimiter::admit(const std::string& tenant, TimePoint now) {
  State& state = tenants_[tenant];
  if (state.limited) {
    if (state.in_flight_limit > 0 && state.in_flight >= state.in_flight_limit) {
      return {false, "in_flight", kInFlightRetryAfter, state.priority};
    }
    if (!state.bucket.try_take(1, now)) {
      return {false, "rate", state.bucket.time_until(1, now), state.priority};
    }
  }
  ++state.in_flight;
  return {true, "", Duration::zero(), state.limited ? state.priority : 0};
}

void TenantLimiter::release(const std::string& tenant) {
  State& state = tenants_[tenant];
  assert(state.in_flight > 0);
  --state.in_flight;
  // Tenant names come from callers, so no state is kept for tenants that are not configured.
  if (!state.limited && state.in_flight == 0) tenants_.erase(tenant);
}

}  // namespace pumicemast
