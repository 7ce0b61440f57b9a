#include "scheduling/guaranteed_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pumicemast {
namespace {

/// A group counts as deprived only when it lacks this much of a unit: smaller differences are due
/// to units being whole.
constexpr double kMinimumDeficit = 0.5;
/// A group whose decayed requests fall below this has not asked for anything recently.
constexpr double kForgottenRequests = 0.01;
/// Keeps weights within the range of a double.
constexpr double kMaximumUnit = 1e9;
/// Account of the groups beyond the maximum number.
constexpr GuaranteedShares::Group kSharedAccount = std::numeric_limits<std::uint64_t>::max();

}  // namespace

GuaranteedShares::GuaranteedShares(Options options) : options_(options) {}

GuaranteedShares::Group GuaranteedShares::account_of(Group group) const {
  const bool has_own = groups_.size() + 1 < options_.maximum_groups || groups_.contains(group);
  return has_own ? group : kSharedAccount;
}

double GuaranteedShares::unit(TimePoint now) const {
  return std::exp2(to_seconds(now - weighed_at_) / to_seconds(options_.half_life));
}

void GuaranteedShares::scale_back(TimePoint now) {
  const double scale = unit(now);
  if (scale < kMaximumUnit) return;
  weighed_at_ = now;
  total_ = {};
  for (auto& [group, usage] : groups_) {
    usage = {usage.requested / scale, usage.granted / scale};
    total_.requested += usage.requested;
    total_.granted += usage.granted;
  }
}

void GuaranteedShares::on_requested(Group group, TimePoint now) {
  scale_back(now);
  groups_[account_of(group)].requested += unit(now);
  total_.requested += unit(now);
}

void GuaranteedShares::on_granted(Group group, TimePoint now) {
  scale_back(now);
  groups_[account_of(group)].granted += unit(now);
  total_.granted += unit(now);
}

void GuaranteedShares::on_returned(Group group, TimePoint now) {
  const auto found = groups_.find(account_of(group));
  if (found == groups_.end()) return;
  const double returned = std::min(unit(now), found->second.granted);
  found->second.granted -= returned;
  total_.granted -= returned;
}

GuaranteedShares::Usage GuaranteedShares::total(TimePoint now) const {
  return {total_.requested / unit(now), total_.granted / unit(now)};
}

GuaranteedShares::Usage GuaranteedShares::usage_of(Group group, TimePoint now) const {
  const auto found = groups_.find(account_of(group));
  if (found == groups_.end()) return {};
  return {found->second.requested / unit(now), found->second.granted / unit(now)};
}

double GuaranteedShares::guaranteed(double part) const {
  return std::max(options_.guaranteed_fraction * std::min(part, options_.large_part),
                  options_.large_fraction * part);
}

double GuaranteedShares::guaranteed_part(Group group, TimePoint now) const {
  const double requested = total(now).requested;
  if (requested <= 0) return 0;
  return guaranteed(usage_of(group, now).requested / requested);
}

std::optional<GuaranteedShares::Group> GuaranteedShares::most_deprived(
    const std::vector<Group>& waiting, TimePoint now) const {
  const Usage all = total(now);
  if (all.requested <= 0) return std::nullopt;
  std::optional<Group> result;
  double largest_deficit = kMinimumDeficit;
  for (const Group group : waiting) {
    const Usage usage = usage_of(group, now);
    const double deficit =
        guaranteed(usage.requested / all.requested) * all.granted - usage.granted;
    if (deficit <= largest_deficit) continue;
    largest_deficit = deficit;
    result = group;
  }
  return result;
}

double GuaranteedShares::recent_grants(Group group, TimePoint now) const {
  return usage_of(group, now).granted;
}

bool GuaranteedShares::above_mean(Group group, TimePoint now) const {
  if (groups_.empty()) return false;
  return usage_of(group, now).granted > total(now).granted / static_cast<double>(groups_.size());
}

void GuaranteedShares::sweep(TimePoint now) {
  const double forgotten = kForgottenRequests * unit(now);
  std::erase_if(groups_, [&](const auto& entry) {
    return entry.second.requested < forgotten && entry.second.granted < forgotten;
  });
  // Summing anew keeps rounding errors from adding up.
  total_ = {};
  for (const auto& [group, usage] : groups_) {
    total_.requested += usage.requested;
    total_.granted += usage.granted;
  }
}

}  // namespace pumicemast
