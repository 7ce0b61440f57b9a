#include "gateway/backends/weight_targets.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// A version that was found late binds no sooner than this. Bringing it to the back ends takes
/// as long on the usual deployments; binding at once would leave no room at all meanwhile.
constexpr Duration kShortestNotice = milliseconds(3000);

}  // namespace

bool WeightTargets::on_named(const std::string& model, std::uint64_t version, TimePoint named_at,
                             bool assumed) {
  Target& target = targets_[model];
  const auto known = target.namings.find(version);
  if (known != target.namings.end()) {
    Naming& naming = known->second;
    if (assumed) return false;
    naming.at = naming.assumed ? named_at : std::min(naming.at, named_at);
    naming.assumed = false;
    return false;
  }
  target.namings[version] = {named_at, assumed};
  if (version <= target.version) return false;
  target.version = version;
  return true;
}

TimePoint WeightTargets::assumed_naming(Duration oldest, TimePoint now) const {
  const Duration oldest_allowed = std::max(Duration::zero(), changeover_ - kShortestNotice);
  return now - std::min(oldest, oldest_allowed);
}

Duration WeightTargets::age(const std::string& model, TimePoint now) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return Duration::zero();
  const auto newest = found->second.namings.find(found->second.version);
  return newest == found->second.namings.end() ? Duration::zero() : now - newest->second.at;
}

std::vector<NamedWeights> WeightTargets::known_namings(TimePoint now) const {
  std::vector<NamedWeights> result;
  for (const auto& [model, target] : targets_) {
    const std::uint64_t lowest = lowest_allowed(model, now);
    for (const auto& [version, naming] : target.namings) {
      if (version < lowest) continue;
      result.push_back({model, version, now - naming.at, naming.assumed});
    }
  }
  return result;
}

std::uint64_t WeightTargets::lowest_allowed(const std::string& model, TimePoint now) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return 0;
  std::uint64_t lowest = 0;
  for (const auto& [version, naming] : found->second.namings) {
    if (now - naming.at >= changeover_) lowest = std::max(lowest, version);
  }
  return lowest;
}

bool WeightTargets::start_forbidden(const std::string& model, std::uint64_t version,
                                    TimePoint at) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return false;
  const auto& namings = found->second.namings;
  return std::any_of(namings.upper_bound(version), namings.end(),
                     [&](const auto& entry) { return at - entry.second.at >= start_bound_; });
}

std::uint64_t WeightTargets::newest(const std::string& model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second.version;
}

}  // namespace pumicemast
