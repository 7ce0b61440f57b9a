#include "gateway/backends/weight_targets.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Minimum time between the discovery of a version and its becoming mandatory. Distribution to the
/// back ends takes about that long in usual deployments; a version that became mandatory at once
/// would leave no back end that may start requests meanwhile.
constexpr Duration kMinimumNotice = milliseconds(3000);

}  // namespace

bool WeightTargets::on_named(const std::string& model, std::uint64_t version, TimePoint named_at,
                             bool assumed) {
  Target& target = targets_[model];
  const auto known = target.named_versions.find(version);
  if (known != target.named_versions.end()) {
    NamedVersion& named = known->second;
    if (assumed) return false;
    named.at = named.assumed ? named_at : std::min(named.at, named_at);
    named.assumed = false;
    return false;
  }
  target.named_versions[version] = {named_at, assumed};
  if (version <= target.version) return false;
  target.version = version;
  return true;
}

TimePoint WeightTargets::assumed_named_at(Duration oldest, TimePoint now) const {
  const Duration oldest_allowed = std::max(Duration::zero(), changeover_ - kMinimumNotice);
  return now - std::min(oldest, oldest_allowed);
}

Duration WeightTargets::age(const std::string& model, TimePoint now) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return Duration::zero();
  const auto newest = found->second.named_versions.find(found->second.version);
  return newest == found->second.named_versions.end() ? Duration::zero() : now - newest->second.at;
}

std::vector<NamedWeights> WeightTargets::known_versions(TimePoint now) const {
  std::vector<NamedWeights> result;
  for (const auto& [model, target] : targets_) {
    const std::uint64_t lowest = lowest_allowed(model, now);
    for (const auto& [version, named] : target.named_versions) {
      if (version < lowest) continue;
      result.push_back({model, version, now - named.at, named.assumed});
    }
  }
  return result;
}

std::uint64_t WeightTargets::lowest_allowed(const std::string& model, TimePoint now) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return 0;
  std::uint64_t lowest = 0;
  for (const auto& [version, named] : found->second.named_versions) {
    if (now - named.at >= changeover_) lowest = std::max(lowest, version);
  }
  return lowest;
}

bool WeightTargets::start_forbidden(const std::string& model, std::uint64_t version,
                                    TimePoint at) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return false;
  const auto& named_versions = found->second.named_versions;
  return std::any_of(named_versions.upper_bound(version), named_versions.end(),
                     [&](const auto& entry) { return at - entry.second.at >= start_bound_; });
}

std::uint64_t WeightTargets::newest(const std::string& model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second.version;
}

}  // namespace pumicemast
