/// Predicts times, bytes and the limiting link of a rollout without simulating it.
#pragma once

#include <string>

#include "simulation/burst_settings.h"

namespace pumicemast::simulation {

struct BurstPlan {
  double bound_s = 0;  ///< Lower bound of the fluid model.
  double time_to_all_live_s = 0;
  double time_to_half_live_s = 0;
  double origin_copies = 0;
  double inter_region_copies = 0;
  std::uint64_t agent_memory_bytes = 0;
  std::string limiting_link;
};

BurstPlan plan_burst(const BurstSettings& settings);

}  // namespace pumicemast::simulation
