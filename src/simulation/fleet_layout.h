/// Locations of the machines of a simulated fleet.
#pragma once

#include <vector>

#include "simulation/burst_settings.h"

namespace pumicemast::simulation {

/// Distributes the machines round-robin over all zones.
inline std::vector<MachineLocation> assign_locations(const BurstSettings& settings) {
  std::vector<MachineLocation> locations;
  const std::uint32_t zones = settings.regions * settings.zones_per_region;
  for (std::uint32_t machine = 0; machine < settings.machines; ++machine) {
    const std::uint32_t zone = machine % zones;
    locations.push_back({zone / settings.zones_per_region, zone});
  }
  return locations;
}

}  // namespace pumicemast::simulation
