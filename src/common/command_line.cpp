#include "common/command_line.h"

#include <getopt.h>

#include <iostream>

#ifndef PUMICEMAST_VERSION
#define PUMICEMAST_VERSION "unknown"
#endif

namespace pumicemast {
namespace {

void print_help(const DaemonUsage& usage) {
  std::cout
      << usage.program << ": " << usage.summary << "\n\n"
      << "usage: " << usage.program << " --settings FILE [--set SECTION.KEY=VALUE]...\n\n"
      << "  -s, --settings FILE      settings in INI (docs/operators/settings.md)\n"
      << "      --set SECTION.KEY=V  replaces one setting; may be repeated\n"
      << "  -h, --help               this text\n"
      << "  -V, --version            the version\n\n"
      << "example:\n  " << usage.example << "\n\n"
      << "exit codes: 0 stopped as requested, 1 failed to run, 2 bad command line or settings\n";
}

}  // namespace

std::optional<SettingOverride> parse_override(const std::string& text) {
  const auto equals = text.find('=');
  const auto dot = text.find('.');
  if (equals == std::string::npos || dot == std::string::npos || dot > equals) return std::nullopt;
  if (dot == 0 || dot + 1 == equals) return std::nullopt;
  return SettingOverride{text.substr(0, dot), text.substr(dot + 1, equals - dot - 1),
                         text.substr(equals + 1)};
}

DaemonStart start_daemon(int argc, char** argv, const DaemonUsage& usage, Findings& findings) {
  enum Option { kSet = 256 };
  static const option kOptions[] = {{"settings", required_argument, nullptr, 's'},
                                    {"set", required_argument, nullptr, kSet},
                                    {"help", no_argument, nullptr, 'h'},
                                    {"version", no_argument, nullptr, 'V'},
                                    {nullptr, 0, nullptr, 0}};
  std::string path;
  std::vector<SettingOverride> overrides;
  int option = 0;
  while ((option = getopt_long(argc, argv, "s:hV", kOptions, nullptr)) != -1) {
    switch (option) {
      case 's':
        path = optarg;
        break;
      case kSet: {
        const auto parsed = parse_override(optarg);
        if (!parsed) {
          std::cerr << usage.program << ": --set " << optarg << ": not SECTION.KEY=VALUE\n";
          return {nullptr, kExitUsage};
        }
        overrides.push_back(*parsed);
        break;
      }
      case 'h':
        print_help(usage);
        return {nullptr, kExitOk};
      case 'V':
        std::cout << usage.program << " " << PUMICEMAST_VERSION << "\n";
        return {nullptr, kExitOk};
      default:
        return {nullptr, kExitUsage};
    }
  }
  if (path.empty() || optind != argc) {
    std::cerr << usage.program << ": --settings FILE is required and nothing else; see --help\n";
    return {nullptr, kExitUsage};
  }
  auto settings = std::make_unique<Settings>(path, findings);
  for (const SettingOverride& override_entry : overrides) {
    settings->override_value(override_entry.section, override_entry.key, override_entry.value);
  }
  return {std::move(settings), kExitOk};
}

int refuse_if_any(const Findings& findings) {
  if (findings.empty()) return kExitOk;
  std::cerr << findings.report();
  return kExitUsage;
}

}  // namespace pumicemast
