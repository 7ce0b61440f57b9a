#include "limits/permit_issuer.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Requests that may be sent at once after a pause.
constexpr double kBurst = 2;
/// Share of the limit that is issued. A permit is used slightly after it is issued, so the permits
/// of slightly more than one time window may be used within one window.
constexpr double kIssuedShare = 0.95;
/// Requests per second to a back end whose limit is lower: without any response it could not signal
/// that its limit has ended.
constexpr double kMinimumRate = 0.2;
/// A permit that was granted longer ago than this cannot be reclaimed.
constexpr Duration kGrantRetention = seconds(3);

}  // namespace

PermitAnswer PermitIssuer::on_request(const PermitRequest& request, TimePoint now) {
  on_limit(request.limit, now);
  if (request.returned > 0) bucket_.put_back(request.returned);
  update_grants(now);
  for (const TimePoint asked_at : request.given_back) reclaim({request.gateway, asked_at});
  PermitAnswer answer{request.backend, request.asked_at, false, Duration::zero(), limit()};
  if (!request.wanted) return answer;
  answer.granted = !limit().is_limited() || bucket_.try_take(1, now);
  if (!answer.granted) answer.retry_after = bucket_.time_until(1, now);
  if (answer.granted && limit().is_limited()) {
    grants_[{request.gateway, request.asked_at}] = {now, bucket_.level(now)};
  }
  return answer;
}

void PermitIssuer::update_grants(TimePoint now) {
  std::erase_if(grants_, [now](const auto& entry) {
    return now - entry.second.granted_at > kGrantRetention;
  });
  const double level = bucket_.level(now);
  for (auto& [key, grant] : grants_) grant.highest_level = std::max(grant.highest_level, level);
}

void PermitIssuer::reclaim(const RequestKey& key) {
  const auto found = grants_.find(key);
  if (found == grants_.end()) return;
  // Without this grant, the bucket would have overflowed when its level came within one token of
  // the burst; only what it could have kept is put back.
  bucket_.put_back(std::clamp(kBurst - found->second.highest_level, 0.0, 1.0));
  grants_.erase(found);
}

void PermitIssuer::on_limit(const RateLimit& limit, TimePoint now) {
  if (limit.observed_at < restarted_at_) return;
  const bool was_limited = limit_tracker_.limit().is_limited();
  if (!limit_tracker_.on_observed(limit)) return;
  changed_ = true;
  if (!limit.is_limited()) return;
  // The bucket starts empty: requests that gateways sent without permits are still in transit.
  if (!was_limited) {
    bucket_ = TokenBucket();
    grants_.clear();
  }
  bucket_.configure(std::max(kMinimumRate, *limit.per_second * kIssuedShare), kBurst, now);
}

void PermitIssuer::on_restarted(TimePoint now) {
  changed_ = changed_ || limit_tracker_.limit().is_limited();
  limit_tracker_ = {};
  grants_.clear();
  restarted_at_ = now;
}

bool PermitIssuer::take_changed() {
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

}  // namespace pumicemast
