#include "limits/permit_issuer.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Requests that may come at once after a pause.
constexpr double kBurst = 2;
/// Share of the limit that is issued. A permit is used a moment after it was issued, so that those
/// of a little more than a window may arrive within it.
constexpr double kIssuedShare = 0.95;
/// Requests a second to a back end whose limit is lower: without any answer it could not say that
/// its limit has ended.
constexpr double kLeastRate = 0.2;

}  // namespace

PermitAnswer PermitIssuer::on_request(const PermitRequest& request, TimePoint now) {
  on_limit(request.limit, now);
  if (request.returned > 0) bucket_.put_back(request.returned);
  PermitAnswer answer{request.backend, request.asked_at, false, Duration::zero(), limit()};
  if (!request.wanted) return answer;
  answer.granted = !limit().named() || bucket_.try_take(1, now);
  if (!answer.granted) answer.retry_after = bucket_.time_until(1, now);
  return answer;
}

void PermitIssuer::on_limit(const RateLimit& limit, TimePoint now) {
  if (limit.observed_at < restarted_at_) return;
  const bool was_named = belief_.limit().named();
  if (!belief_.on_observed(limit)) return;
  changed_ = true;
  if (!limit.named()) return;
  // Empty at first: what gateways sent without permits is still on its way.
  if (!was_named) bucket_ = TokenBucket();
  bucket_.configure(std::max(kLeastRate, *limit.per_second * kIssuedShare), kBurst, now);
}

void PermitIssuer::on_restarted(TimePoint now) {
  changed_ = changed_ || belief_.limit().named();
  belief_ = {};
  restarted_at_ = now;
}

bool PermitIssuer::take_changed() {
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

}  // namespace pumicemast
