#include "gateway/configuration/configuration_catch_up.h"

#include <algorithm>
#include <tuple>

#include "common/hash.h"

namespace pumicemast {

void ConfigurationCatchUp::on_heard(PeerId gateway, std::uint64_t version, bool near,
                                    TimePoint now) {
  holders_[gateway] = {version, near, now};
  if (version > version_) heard_at_.emplace(version, now);
}

void ConfigurationCatchUp::on_in_force(std::uint64_t version) {
  if (version <= version_) return;
  version_ = version;
  heard_at_.erase(heard_at_.begin(), heard_at_.upper_bound(version));
  asked_.clear();
  asked_at_.reset();
  passed_over_ = false;
  doublings_ = 0;
}

bool ConfigurationCatchUp::near_holder() const {
  return std::any_of(holders_.begin(), holders_.end(), [&](const auto& entry) {
    return entry.second.near && entry.second.version > version_;
  });
}

bool ConfigurationCatchUp::far_turn_has_come(Duration since, Duration patience,
                                             TimePoint now) const {
  const auto before = std::count_if(holders_.begin(), holders_.end(), [&](const auto& entry) {
    const Holder& holder = entry.second;
    return holder.near && entry.first < self_ &&
           now - holder.heard_at <= options_.neighbour_lifetime;
  });
  if (before == 0) return since >= patience;
  const auto spread =
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, options_.far_spread.count()));
  const Duration own_share(static_cast<Duration::rep>(stable_hash(self_, 1) % spread));
  return since >= patience + before * options_.far_turn + own_share;
}

void ConfigurationCatchUp::on_progress(TimePoint now) {
  if (!asked_at_) return;
  asked_at_ = now;
  if (passed_over_) doublings_ = std::min(doublings_ + 1, options_.most_doublings);
  passed_over_ = false;
}

std::uint64_t ConfigurationCatchUp::version_at(PeerId gateway) const {
  const auto found = holders_.find(gateway);
  return found == holders_.end() ? 0 : found->second.version;
}

std::optional<TimePoint> ConfigurationCatchUp::first_heard(std::uint64_t version) const {
  std::optional<TimePoint> first;
  for (auto entry = heard_at_.lower_bound(version); entry != heard_at_.end(); ++entry) {
    if (!first || entry->second < *first) first = entry->second;
  }
  return first;
}

std::optional<PeerId> ConfigurationCatchUp::next_request(TimePoint now) {
  if (!behind()) return std::nullopt;
  const auto earlier = [](const auto& left, const auto& right) {
    return left.second < right.second;
  };
  const TimePoint first_heard =
      std::min_element(heard_at_.begin(), heard_at_.end(), earlier)->second;
  const Duration patience = version_ == 0 ? options_.first_patience : options_.patience;
  const bool at_once = !reads_store_ && near_holder();
  if (!at_once && now - first_heard < patience) return std::nullopt;
  const Duration limit = options_.answer_limit * (1U << doublings_);
  if (asked_at_ && now - *asked_at_ < limit) return std::nullopt;
  const bool may_ask_far = far_turn_has_come(now - first_heard, patience, now);

  // Who was not asked yet, then one that is near, then the newest version, then an order of each
  // gateway's own, so that many that lack a version do not all ask the same one.
  using Rank = std::tuple<bool, bool, std::uint64_t, std::uint64_t>;
  std::optional<std::pair<Rank, PeerId>> best;
  for (const auto& [gateway, holder] : holders_) {
    if (holder.version <= version_ || !(holder.near || may_ask_far)) continue;
    const Rank rank{!asked_.contains(gateway), holder.near, holder.version,
                    stable_hash(gateway, self_)};
    if (!best || rank > best->first) best = {rank, gateway};
  }
  if (!best) return std::nullopt;
  passed_over_ = asked_at_.has_value();
  asked_.insert(best->second);
  asked_at_ = now;
  return best->second;
}

}  // namespace pumicemast
