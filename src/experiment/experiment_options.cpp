#include "experiment/experiment_options.h"

#include <getopt.h>

#include <cstring>
#include <iostream>

namespace pumicemast {
namespace {

ExperimentOptions exit_with(int code) {
  ExperimentOptions options;
  options.exit_code = code;
  return options;
}

ExperimentOptions usage_error(const char* program, const std::string& reason) {
  std::cerr << program << ": " << reason << "; see --help\n";
  return exit_with(kExitUsage);
}

}  // namespace

ExperimentOptions read_experiment_options(int argc, char** argv, const ExperimentUsage& usage,
                                          Findings& findings) {
  enum Option { kSet = 256, kSeed, kOut, kBaselines, kCharts, kJson };
  static const option kOptions[] = {{"set", required_argument, nullptr, kSet},
                                    {"seed", required_argument, nullptr, kSeed},
                                    {"out", required_argument, nullptr, kOut},
                                    {"baselines", no_argument, nullptr, kBaselines},
                                    {"charts", required_argument, nullptr, kCharts},
                                    {"json", no_argument, nullptr, kJson},
                                    {"help", no_argument, nullptr, 'h'},
                                    {nullptr, 0, nullptr, 0}};
  ExperimentOptions options;
  std::vector<SettingOverride> overrides;
  int option = 0;
  while ((option = getopt_long(argc, argv, "h", kOptions, nullptr)) != -1) {
    switch (option) {
      case kSet: {
        const auto parsed = parse_override(optarg);
        if (!parsed) return usage_error(argv[0], std::string(optarg) + ": not SECTION.KEY=VALUE");
        overrides.push_back(*parsed);
        break;
      }
      case kSeed:
        overrides.push_back({"run", "seed", optarg});
        break;
      case kOut:
        options.out = optarg;
        break;
      case kBaselines:
        options.baselines = true;
        break;
      case kCharts:
        options.charts = optarg;
        break;
      case kJson:
        options.json = true;
        break;
      case 'h':
        std::cout << usage.help;
        return exit_with(kExitOk);
      default:
        return exit_with(kExitUsage);
    }
  }
  const bool has_command = std::strlen(usage.command) > 0;
  if (has_command && (optind >= argc || std::strcmp(argv[optind++], usage.command) != 0)) {
    return usage_error(argv[0], std::string("expected the command ") + usage.command);
  }
  if (optind + 1 != argc) return usage_error(argv[0], "expected one FILE.ini");
  options.settings = std::make_unique<Settings>(argv[optind], findings);
  for (const SettingOverride& entry : overrides) {
    options.settings->override_value(entry.section, entry.key, entry.value);
  }
  return options;
}

}  // namespace pumicemast
