#include "ctl/ctl_options.h"

#include <getopt.h>
#include <unistd.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

#include "common/command_line.h"
#include "weights/manifest.h"

namespace pumicemast {
namespace {

constexpr std::int64_t kDefaultTimeoutMs = 600000;
constexpr std::int64_t kMaximumTimeoutMs = 86400000;

constexpr char kHelp[] = R"(pumicemastctl: shows and changes the state of the system

usage: pumicemastctl [OPTIONS] COMMAND WORD...

queries
  show versions|rollouts|targets|routes|tenants|stops|machines|replicas|status
       [where FIELD=VALUE [and FIELD=VALUE]...]
  explain MODEL MACHINE            why a replica is, or is not, live
  watch rollout MODEL              a progress line until the rollout ends

changes (each takes expect=VERSION: fails unless the object has this version)
  publish MODEL VERSION DIRECTORY  hashes a directory, stores it at the origin
  create rollout MODEL VERSION [objective=time|origin_bytes] [max_unavailable=N]
                 [priority=N]
  pause|resume|abort|rollback rollout MODEL
  set target MODEL replicas=N [floor=N]
  set route NAME path=/PREFIX service=SERVICE
  set route NAME alias=ALIAS model=MODEL
  set tenant NAME [rate=R] [burst=B] [in_flight=N] [priority=P]
  delete target|route|tenant|version NAME
  plan stop MACHINE [force=true]
  cancel stop MACHINE

options
  -e, --entry IP:PORT[,IP:PORT]  operators' addresses of entries, tried in order
                                 (default: $PUMICEMAST_ENTRY)
  -o, --origin URL               origin of weights, for publish (default: $PUMICEMAST_ORIGIN)
  -u, --user NAME                shown to others in conflicts (default: $USER)
      --chunk-bytes N            chunk size of publish (default: 4194304)
      --timeout-ms N             longest time for watch (default: 600000)
  -j, --json                     one JSON document instead of a table
  -h, --help                     this text
  -V, --version                  the version

examples
  pumicemastctl -e 127.0.0.1:7003 show replicas where model=forms and state=LIVE
  pumicemastctl publish forms v2 /srv/weights/forms-v2
  pumicemastctl create rollout forms v2 objective=origin_bytes expect=41
  pumicemastctl plan stop a07

exit codes
  0 done   1 failed   2 bad command line or command   3 conflict with another change
  4 not found   5 not done, the system or platform is unavailable
  6 outcome unknown: it may or may not have been done
)";

/// Parses a positive whole number up to `maximum`.
std::optional<std::int64_t> parse_positive(const std::string& text, std::int64_t maximum) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stop != end || number < 1 || number > maximum) {
    return std::nullopt;
  }
  return number;
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

bool read_entries(const std::string& text, std::vector<Address>& entries) {
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const auto address = parse_address(text.substr(begin, end - begin));
    if (!address) return false;
    entries.push_back(*address);
    begin = end + 1;
  }
  return true;
}

CtlStart usage_error(const std::string& reason) {
  std::cerr << "pumicemastctl: " << reason << "; see --help\n";
  return {std::nullopt, kExitUsage};
}

}  // namespace

CtlStart read_ctl_options(int argc, char** argv) {
  enum Option { kChunkBytes = 256, kTimeout };
  static const option kOptions[] = {{"entry", required_argument, nullptr, 'e'},
                                    {"origin", required_argument, nullptr, 'o'},
                                    {"user", required_argument, nullptr, 'u'},
                                    {"chunk-bytes", required_argument, nullptr, kChunkBytes},
                                    {"timeout-ms", required_argument, nullptr, kTimeout},
                                    {"json", no_argument, nullptr, 'j'},
                                    {"help", no_argument, nullptr, 'h'},
                                    {"version", no_argument, nullptr, 'V'},
                                    {nullptr, 0, nullptr, 0}};
  CtlOptions options;
  std::string entries = environment("PUMICEMAST_ENTRY");
  options.origin_url = environment("PUMICEMAST_ORIGIN");
  options.user = environment("USER");
  options.chunk_bytes = kDefaultChunkBytes;
  options.timeout_ms = kDefaultTimeoutMs;
  int option = 0;
  while ((option = getopt_long(argc, argv, "e:o:u:jhV", kOptions, nullptr)) != -1) {
    switch (option) {
      case 'e':
        entries = optarg;
        break;
      case 'o':
        options.origin_url = optarg;
        break;
      case 'u':
        options.user = optarg;
        break;
      case 'j':
        options.json = true;
        break;
      case kChunkBytes: {
        const auto number = parse_positive(optarg, kMaximumChunkBytes);
        if (!number || *number < kMinimumChunkBytes) {
          return usage_error("--chunk-bytes " + std::string(optarg) + " is not 4096 to 33554432");
        }
        options.chunk_bytes = static_cast<std::uint32_t>(*number);
        break;
      }
      case kTimeout: {
        const auto number = parse_positive(optarg, kMaximumTimeoutMs);
        if (!number)
          return usage_error("--timeout-ms " + std::string(optarg) + " is not 1 to 86400000");
        options.timeout_ms = *number;
        break;
      }
      case 'h':
        std::cout << kHelp;
        return {std::nullopt, kExitOk};
      case 'V':
        std::cout << "pumicemastctl " << PUMICEMAST_VERSION << "\n";
        return {std::nullopt, kExitOk};
      default:
        return {std::nullopt, kExitUsage};
    }
  }
  for (int index = optind; index < argc; ++index) options.words.emplace_back(argv[index]);
  if (options.words.empty()) return usage_error("a command is required");
  if (!read_entries(entries, options.entries)) {
    return usage_error("--entry \"" + entries + "\" is not IP:PORT[,IP:PORT]");
  }
  return {options, kExitOk};
}

}  // namespace pumicemast
