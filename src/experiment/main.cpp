/// pumicemast-experiment: runs the production cores on virtual time and prints figures.
#include <chrono>
#include <iostream>

#include "experiment/burst_experiment.h"
#include "experiment/experiment_options.h"
#include "experiment/report.h"

namespace {

using namespace pumicemast;

constexpr ExperimentUsage kUsage{
    R"(pumicemast-experiment: runs an experiment on virtual time

usage: pumicemast-experiment run FILE.ini [OPTIONS]

      --seed N             seed of all random numbers (default: [run] seed, or 1)
      --set SECTION.KEY=V  replaces one setting; may be repeated
      --out DIR            writes figures, history, CSV and SVG plots into DIR
      --baselines          also runs the baselines and prints the ratio to each
      --charts DIR         state charts (default: charts)

Prints lines `figure NAME VALUE UNIT`. The same seed prints the same lines, except
wall_seconds, and writes the same files.

example
  pumicemast-experiment run experiments/burst-330.ini --set network.duplex=half --out out/half
)",
    "run"};

}  // namespace

int main(int argc, char** argv) {
  Findings findings;
  const ExperimentOptions options = read_experiment_options(argc, argv, kUsage, findings);
  if (!options.settings) return options.exit_code;
  const auto settings = simulation::BurstSettings::read(*options.settings);
  options.settings->report_unknown();
  const Charts charts = Charts::load(options.charts, findings);
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  const auto started = std::chrono::steady_clock::now();
  const simulation::BurstResult result = run_burst(settings, charts.replica);
  const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - started;
  Figures figures = burst_figures(settings, result);
  if (options.baselines) add_baseline_figures(settings, result, charts.replica, figures);
  std::cout << figures.format();
  Figures wall_figure;
  wall_figure.add("wall_seconds", wall.count(), "s");
  std::cout << wall_figure.format();
  if (options.out.empty()) return kExitOk;
  return handle_error(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(remark, write_report(options.out, settings, result, figures));
        if (!remark.empty()) std::cerr << "pumicemast-experiment: " << remark << "\n";
        return kExitOk;
      },
      [](const Error& error) {
        std::cerr << "pumicemast-experiment: " << error.place << ": " << error.reason << "\n";
        return kExitFailure;
      });
}
