/// Command line of pumicemast-experiment and pumicemast-plan.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/command_line.h"

namespace pumicemast {

struct ExperimentUsage {
  const char* help;
  const char* command;  ///< First word after the program's name; "" for none.
};

struct ExperimentOptions {
  std::unique_ptr<Settings> settings;  ///< Null when the program should exit.
  int exit_code = kExitOk;
  std::string out;  ///< Directory for the report, "" for none.
  std::string charts = "charts";
  bool baselines = false;
  bool json = false;
};

ExperimentOptions read_experiment_options(int argc, char** argv, const ExperimentUsage& usage,
                                          Findings& findings);

}  // namespace pumicemast
