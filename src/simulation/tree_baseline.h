/// Baselines: a fixed binary tree and a fixed chain (pipeline). The origin sends to the root, and
/// every machine forwards each chunk to its children. There is no recovery when a machine dies or a
/// link stalls.
#pragma once

#include "simulation/burst_simulation.h"

namespace pumicemast::simulation {

/// Runs the strategy of the settings (tree or pipeline) with the network and faults of the burst.
BurstResult run_tree_baseline(const BurstSettings& settings);

}  // namespace pumicemast::simulation
