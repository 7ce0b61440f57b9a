#include "gateway/configuration/configuration_catch_up.h"

#include <algorithm>
#include <tuple>

#include "common/hash.h"

namespace pumicemast {

void ConfigurationCatchUp::on_version_advertised(PeerId gateway, std::uint64_t version,
                                                 bool same_zone, TimePoint now) {
  holders_[gateway] = {version, same_zone, now};
  if (version > version_) first_advertised_at_.emplace(version, now);
}

void ConfigurationCatchUp::on_in_force(std::uint64_t version) {
  if (version <= version_) return;
  version_ = version;
  first_advertised_at_.erase(first_advertised_at_.begin(),
                             first_advertised_at_.upper_bound(version));
  asked_.clear();
  asked_at_.reset();
  holder_skipped_ = false;
  doublings_ = 0;
}

bool ConfigurationCatchUp::has_same_zone_holder() const {
  return std::any_of(holders_.begin(), holders_.end(), [&](const auto& entry) {
    return entry.second.same_zone && entry.second.version > version_;
  });
}

bool ConfigurationCatchUp::other_zone_turn_reached(Duration since, Duration store_wait,
                                                   TimePoint now) const {
  const auto before = std::count_if(holders_.begin(), holders_.end(), [&](const auto& entry) {
    const Holder& holder = entry.second;
    return holder.same_zone && entry.first < self_ &&
           now - holder.advertised_at <= options_.zone_peer_timeout;
  });
  if (before == 0) return since >= store_wait;
  const auto max_jitter = static_cast<std::uint64_t>(
      std::max<Duration::rep>(1, options_.max_other_zone_jitter.count()));
  const Duration own_jitter(static_cast<Duration::rep>(stable_hash(self_, 1) % max_jitter));
  return since >= store_wait + before * options_.other_zone_stagger + own_jitter;
}

void ConfigurationCatchUp::on_progress(TimePoint now) {
  if (!asked_at_) return;
  asked_at_ = now;
  if (holder_skipped_) doublings_ = std::min(doublings_ + 1, options_.max_doublings);
  holder_skipped_ = false;
}

std::uint64_t ConfigurationCatchUp::advertised_version(PeerId gateway) const {
  const auto found = holders_.find(gateway);
  return found == holders_.end() ? 0 : found->second.version;
}

std::optional<TimePoint> ConfigurationCatchUp::first_advertised(std::uint64_t version) const {
  std::optional<TimePoint> first;
  for (auto entry = first_advertised_at_.lower_bound(version); entry != first_advertised_at_.end();
       ++entry) {
    if (!first || entry->second < *first) first = entry->second;
  }
  return first;
}

std::optional<PeerId> ConfigurationCatchUp::next_request(TimePoint now) {
  if (!behind()) return std::nullopt;
  const auto earlier = [](const auto& left, const auto& right) {
    return left.second < right.second;
  };
  const TimePoint first_advertised =
      std::min_element(first_advertised_at_.begin(), first_advertised_at_.end(), earlier)->second;
  const Duration store_wait = version_ == 0 ? options_.first_store_wait : options_.store_wait;
  const bool at_once = !reads_store_ && has_same_zone_holder();
  if (!at_once && now - first_advertised < store_wait) return std::nullopt;
  const Duration limit = options_.progress_timeout * (1U << doublings_);
  if (asked_at_ && now - *asked_at_ < limit) return std::nullopt;
  const bool may_ask_other_zones = other_zone_turn_reached(now - first_advertised, store_wait, now);

  // Prefers holders that were not asked yet, then those of the own zone, then the newest version,
  // then a hash order that differs per gateway, so that gateways that lack a version do not all ask
  // the same holder.
  using Rank = std::tuple<bool, bool, std::uint64_t, std::uint64_t>;
  std::optional<std::pair<Rank, PeerId>> best;
  for (const auto& [gateway, holder] : holders_) {
    if (holder.version <= version_ || !(holder.same_zone || may_ask_other_zones)) continue;
    const Rank rank{!asked_.contains(gateway), holder.same_zone, holder.version,
                    stable_hash(gateway, self_)};
    if (!best || rank > best->first) best = {rank, gateway};
  }
  if (!best) return std::nullopt;
  holder_skipped_ = asked_at_.has_value();
  asked_.insert(best->second);
  asked_at_ = now;
  return best->second;
}

}  // namespace pumicemast
