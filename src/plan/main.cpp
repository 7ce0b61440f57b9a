/// pumicemast-plan: predicts a rollout's times and bytes and names the limiting link.
#include <iostream>

#include "experiment/experiment_options.h"
#include "experiment/figures.h"
#include "simulation/burst_planner.h"

namespace {

using namespace pumicemast;

constexpr ExperimentUsage kUsage{
    R"(pumicemast-plan: predicts a rollout's times and bytes

usage: pumicemast-plan FILE.ini [--set SECTION.KEY=V]...

FILE.ini has the sections fleet, model, network and rollout of an experiment file
(docs/operators/plan.md). Prints lines `figure NAME VALUE UNIT` and the limiting link.

example
  pumicemast-plan experiments/burst-330.ini --set fleet.machines=1000
)",
    ""};

}  // namespace

int main(int argc, char** argv) {
  Findings findings;
  const ExperimentOptions options = read_experiment_options(argc, argv, kUsage, findings);
  if (!options.settings) return options.exit_code;
  const auto settings = simulation::BurstSettings::read(*options.settings);
  options.settings->report_unknown();
  if (refuse_if_any(findings) != kExitOk) return kExitUsage;

  const simulation::BurstPlan plan = simulation::plan_burst(settings);
  Figures figures;
  figures.add("bound", plan.bound_s, "s");
  figures.add("planned_time_to_half_live", plan.time_to_half_live_s, "s");
  figures.add("planned_time_to_all_live", plan.time_to_all_live_s, "s");
  figures.add("planned_origin_copies", plan.origin_copies, "copies");
  figures.add("planned_inter_region_copies", plan.inter_region_copies, "copies");
  figures.add("planned_agent_memory", static_cast<double>(plan.agent_memory_bytes), "bytes");
  std::cout << figures.format() << "limited by " << plan.limiting_link << "\n";
  return kExitOk;
}
