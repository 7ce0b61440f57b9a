/// The command line that every daemon shares: --settings, --set, --help, --version.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "common/findings.h"
#include "common/settings.h"

namespace pumicemast {

/// Exit codes that all programs share; pumicemastctl documents more of its own.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct DaemonUsage {
  const char* program;
  const char* summary;  ///< One sentence.
  const char* example;
};

/// One `--set section.key=value`.
struct SettingOverride {
  std::string section;
  std::string key;
  std::string value;
};

/// Parses `section.key=value`; the section ends at the first dot.
std::optional<SettingOverride> parse_override(const std::string& text);

/// Result of reading the command line: settings to run with, or an exit code.
struct DaemonStart {
  std::unique_ptr<Settings> settings;
  int exit_code = kExitOk;
  bool should_exit() const { return settings == nullptr; }
};

/// Reads the command line of a daemon and loads its settings file into `findings`.
DaemonStart start_daemon(int argc, char** argv, const DaemonUsage& usage, Findings& findings);

/// Prints the report and returns kExitUsage when there are findings.
int refuse_if_any(const Findings& findings);

}  // namespace pumicemast
