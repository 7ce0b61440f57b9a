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
  end_expired_cold_limit(now);
  on_limit(request.limit, now);
  if (request.cold_limit) set_cold_limit(*request.cold_limit, now);
  if (request.returned > 0) bucket_.put_back(request.returned);
  update_grants(now);
  for (const TimePoint asked_at : request.given_back) reclaim({request.gateway, asked_at});
  PermitAnswer answer{request.backend, request.asked_at, false, Duration::zero(), limit()};
  if (!request.wanted) return answer;
  answer.granted = !limited(now) || bucket_.try_take(1, now);
  if (!answer.granted) answer.retry_after = bucket_.time_until(1, now);
  if (answer.granted && limited(now)) {
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
  const bool was_limited = limited(now);
  if (!limit_tracker_.on_observed(limit)) return;
  changed_ = true;
  if (!was_limited) reset_bucket();
  configure_bucket(now);
}

void PermitIssuer::set_cold_limit(const ColdLimit& limit, TimePoint now) {
  if (limit.until <= now || limit == cold_limit_) return;
  if (!limited(now)) reset_bucket();
  changed_ = changed_ || !cold_limit_;
  cold_limit_ = limit;
  configure_bucket(now);
}

void PermitIssuer::end_expired_cold_limit(TimePoint now) {
  if (!cold_limit_ || now < cold_limit_->until) return;
  cold_limit_.reset();
  changed_ = true;
  configure_bucket(now);
}

void PermitIssuer::reset_bucket() {
  // It starts empty: requests that gateways sent without permits are still in transit.
  bucket_ = TokenBucket();
  grants_.clear();
}

void PermitIssuer::configure_bucket(TimePoint now) {
  std::optional<double> rate = limit().per_second;
  if (cold_limit_) rate = std::min(rate.value_or(cold_limit_->per_second), cold_limit_->per_second);
  if (rate) bucket_.configure(std::max(kMinimumRate, *rate * kIssuedShare), kBurst, now);
}

bool PermitIssuer::limited(TimePoint now) const {
  return limit().is_limited() || (cold_limit_ && now < cold_limit_->until);
}

void PermitIssuer::on_restarted(TimePoint now) {
  changed_ = changed_ || limit_tracker_.limit().is_limited();
  limit_tracker_ = {};
  grants_.clear();
  restarted_at_ = now;
}

bool PermitIssuer::take_changed(TimePoint now) {
  end_expired_cold_limit(now);
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

}  // namespace pumicemast
