/// Baselines: a fixed binary tree and a fixed chain (pipeline). The origin feeds the root;
/// every machine passes each chunk on to its children. Nothing is repaired when a machine
/// dies or a link stalls.
#pragma once

#include "simulation/burst_simulation.h"

namespace pumicemast::simulation {

/// Runs the settings' strategy, tree or pipeline, under the network and faults of the burst.
BurstResult run_tree_baseline(const BurstSettings& settings);

}  // namespace pumicemast::simulation
