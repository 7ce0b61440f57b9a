/// Reads the regions of zones from a process's settings.
#pragma once

#include "common/settings.h"
#include "locality/placement_rules.h"

namespace pumicemast {

/// Reads `regions` in section `process`: `ZONE:REGION` pairs separated by `;`. A malformed pair is
/// a finding.
RegionsOfZones read_regions_of_zones(Settings& settings);

}  // namespace pumicemast
