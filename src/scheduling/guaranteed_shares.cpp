#include "scheduling/guaranteed_shares.h"

#include <cmath>

namespace pumicemast {
namespace {

/// A group counts as deprived only when it lacks this much of a unit: smaller differences are due
/// to units being whole.
constexpr double kMinimumDeficit = 0.5;
/// A group whose decayed requests fall below this has not asked for anything recently.
constexpr double kForgottenRequests = 0.01;

}  // namespace

GuaranteedShares::GuaranteedShares(Options options) : options_(options) {}

GuaranteedShares::Usage GuaranteedShares::decayed(const Usage& usage, TimePoint now) const {
  const double factor = std::exp2(-to_seconds(now - usage.at) / to_seconds(options_.half_life));
  return {usage.requested * factor, usage.granted * factor, now};
}

void GuaranteedShares::on_requested(Group group, TimePoint now) {
  Usage& usage = groups_[group];
  usage = decayed(usage, now);
  usage.requested += 1;
  total_ = total(now);
  total_.requested += 1;
}

void GuaranteedShares::on_granted(Group group, TimePoint now) {
  Usage& usage = groups_[group];
  usage = decayed(usage, now);
  usage.granted += 1;
  total_ = total(now);
  total_.granted += 1;
}

GuaranteedShares::Usage GuaranteedShares::total(TimePoint now) const {
  return decayed(total_, now);
}

GuaranteedShares::Usage GuaranteedShares::usage_of(Group group, TimePoint now) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? Usage{0, 0, now} : decayed(found->second, now);
}

double GuaranteedShares::guaranteed_part(Group group, TimePoint now) const {
  const double requested = total(now).requested;
  if (requested <= 0) return 0;
  return options_.guaranteed_fraction * usage_of(group, now).requested / requested;
}

std::optional<GuaranteedShares::Group> GuaranteedShares::most_deprived(
    const std::vector<Group>& waiting, TimePoint now) const {
  const Usage all = total(now);
  if (all.requested <= 0) return std::nullopt;
  std::optional<Group> result;
  double largest_deficit = kMinimumDeficit;
  for (const Group group : waiting) {
    const Usage usage = usage_of(group, now);
    const double guaranteed =
        options_.guaranteed_fraction * usage.requested / all.requested * all.granted;
    const double deficit = guaranteed - usage.granted;
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
  total_ = {0, 0, now};
  std::erase_if(groups_, [&](const auto& entry) {
    const Usage usage = decayed(entry.second, now);
    if (usage.requested < kForgottenRequests && usage.granted < kForgottenRequests) return true;
    total_.requested += usage.requested;
    total_.granted += usage.granted;
    return false;
  });
}

}  // namespace pumicemast
