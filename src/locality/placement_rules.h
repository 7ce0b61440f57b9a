/// Decides in which zones a request may run: in the regions that its route and tenant allow, and
/// not in evacuated zones.
///
/// A decision core: no I/O.
#pragma once

#include <map>
#include <string>

#include "locality/allowed_regions.h"
#include "locality/zone_evacuations.h"

namespace pumicemast {

/// Region names by zone name.
using RegionsOfZones = std::map<std::string, std::string>;

enum class ZoneVerdict {
  allowed,
  region_not_allowed,
  evacuated,
};

class PlacementRules {
 public:
  explicit PlacementRules(RegionsOfZones regions_of_zones)
      : regions_of_zones_(std::move(regions_of_zones)) {}

  /// Whether a request may run in `zone`. A zone without a known region is in no allowed region.
  ZoneVerdict judge(const std::string& zone, const AllowedRegions& allowed) const;
  bool allows(const std::string& zone, const AllowedRegions& allowed) const {
    return judge(zone, allowed) == ZoneVerdict::allowed;
  }
  bool knows_zone(const std::string& zone) const { return regions_of_zones_.contains(zone); }
  bool knows_region(const std::string& region) const;
  bool all_zones_evacuated() const;

  ZoneEvacuations& evacuations() { return evacuations_; }
  const ZoneEvacuations& evacuations() const { return evacuations_; }

 private:
  RegionsOfZones regions_of_zones_;
  ZoneEvacuations evacuations_;
};

}  // namespace pumicemast
