/// Writes the report of a run: figures, history, a CSV over time and SVG plots.
#pragma once

#include <string>

#include "common/error.h"
#include "experiment/figures.h"
#include "simulation/burst_simulation.h"

namespace pumicemast {

/// Writes figures.txt, history.jsonl, samples.csv, live.svg and bytes.svg into `directory`,
/// which is created if it is missing. The plots need gnuplot; without it they are left out and
/// the returned text says so. Equal runs write identical files.
leaf::result<std::string> write_report(const std::string& directory,
                                       const simulation::BurstSettings& settings,
                                       const simulation::BurstResult& result,
                                       const Figures& figures);

}  // namespace pumicemast
