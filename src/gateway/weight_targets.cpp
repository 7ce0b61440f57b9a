#include "gateway/weight_targets.h"

#include <algorithm>

namespace pumicemast {

void WeightTargets::on_named(const std::string& model, std::uint64_t version, TimePoint now) {
  Target& target = targets_[model];
  if (version <= target.version) return;
  target.version = version;
  target.named_at.emplace(version, now);
}

std::uint64_t WeightTargets::lowest_allowed(const std::string& model, TimePoint now) const {
  const auto found = targets_.find(model);
  if (found == targets_.end()) return 0;
  std::uint64_t lowest = 0;
  for (const auto& [version, named_at] : found->second.named_at) {
    if (now - named_at >= changeover_) lowest = std::max(lowest, version);
  }
  return lowest;
}

std::uint64_t WeightTargets::newest(const std::string& model) const {
  const auto found = targets_.find(model);
  return found == targets_.end() ? 0 : found->second.version;
}

}  // namespace pumicemast
