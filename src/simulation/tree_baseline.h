/// Baseline: a fixed binary tree. The origin feeds the root; every machine passes each chunk
/// on to its two children. Nothing is repaired when a machine dies or a link stalls.
#pragma once

#include "simulation/burst_simulation.h"

namespace pumicemast::simulation {

/// Runs the baseline under the same network and faults as the settings' burst.
BurstResult run_tree_baseline(const BurstSettings& settings);

}  // namespace pumicemast::simulation
