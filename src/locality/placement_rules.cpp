#include "locality/placement_rules.h"

#include <algorithm>

namespace pumicemast {

ZoneVerdict PlacementRules::judge(const std::string& zone, const AllowedRegions& allowed) const {
  if (!allowed.unrestricted()) {
    const auto region = regions_of_zones_.find(zone);
    if (region == regions_of_zones_.end() || !allowed.contains(region->second))
      return ZoneVerdict::region_not_allowed;
  }
  return evacuations_.evacuated(zone) ? ZoneVerdict::evacuated : ZoneVerdict::allowed;
}

bool PlacementRules::knows_region(const std::string& region) const {
  return std::any_of(regions_of_zones_.begin(), regions_of_zones_.end(),
                     [&region](const auto& entry) { return entry.second == region; });
}

bool PlacementRules::all_zones_evacuated() const {
  return !regions_of_zones_.empty() &&
         std::all_of(regions_of_zones_.begin(), regions_of_zones_.end(),
                     [this](const auto& entry) { return evacuations_.evacuated(entry.first); });
}

}  // namespace pumicemast
