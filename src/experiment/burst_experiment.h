/// Runs a burst experiment and compares it with the bound, the plan and the baselines.
#pragma once

#include "common/state_chart.h"
#include "experiment/figures.h"
#include "simulation/burst_simulation.h"

namespace pumicemast {

/// The figures of one run, without wall time.
Figures burst_figures(const simulation::BurstSettings& settings,
                      const simulation::BurstResult& result);

/// Runs each baseline and adds its time, origin copies and ratio to the run's time.
void add_baseline_figures(const simulation::BurstSettings& settings,
                          const simulation::BurstResult& result, const StateChart& replica_chart,
                          Figures& figures);

/// Runs the settings' strategy.
simulation::BurstResult run_burst(const simulation::BurstSettings& settings,
                                  const StateChart& replica_chart);

}  // namespace pumicemast
