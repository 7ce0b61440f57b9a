/// Command line of pumicemastctl.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"

namespace pumicemast {

/// Exit codes of pumicemastctl, beside 0, 1 and 2 that all programs share.
constexpr int kExitConflict = 3;
constexpr int kExitNotFound = 4;
constexpr int kExitUnavailable = 5;
constexpr int kExitUnknownOutcome = 6;

struct CtlOptions {
  std::vector<Address> entries;  ///< Tried in order.
  std::string origin_url;
  std::string user;
  bool json = false;
  std::uint32_t chunk_bytes = 0;
  std::int64_t timeout_ms = 0;
  std::vector<std::string> words;
};

/// Result of reading the command line: options, or an exit code.
struct CtlStart {
  std::optional<CtlOptions> options;
  int exit_code = 0;
};

CtlStart read_ctl_options(int argc, char** argv);

}  // namespace pumicemast
