#include "gateway/gateway_settings.h"

#include <sys/resource.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "locality/region_settings.h"

namespace pumicemast {

namespace {

/// @param names  zone names separated by `;`. Without any, the gateway's own zone is counted.
std::uint32_t count_zones(const std::string& names) {
  std::istringstream stream(names);
  std::set<std::string> zones;
  for (std::string name; std::getline(stream, name, ';');) {
    if (!name.empty()) zones.insert(name);
  }
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(zones.size()));
}

std::set<RequestFingerprint> read_pardoned(Settings& settings) {
  std::istringstream stream(settings.string_or("quarantine", "pardoned", ""));
  std::set<RequestFingerprint> result;
  for (std::string text; std::getline(stream, text, ';');) {
    const auto request = parse_fingerprint(text);
    settings.require(request.has_value(), "quarantine", "pardoned",
                     "\"" + text + "\" is not a fingerprint of 32 hexadecimal digits");
    if (request) result.insert(*request);
  }
  return result;
}

std::optional<std::size_t> read_memory_bytes(Settings& settings) {
  // The process itself, without any requests, needs about half of this.
  constexpr std::int64_t kMinimumMegabytes = 64;
  constexpr std::int64_t kMaximumMegabytes = 1 << 20;
  constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
  const std::int64_t megabytes =
      settings.integer_or("limits", "memory_mb", 0, {0, kMaximumMegabytes});
  if (megabytes == 0) return std::nullopt;
  settings.require(megabytes >= kMinimumMegabytes, "limits", "memory_mb",
                   "less than " + std::to_string(kMinimumMegabytes));
  return static_cast<std::size_t>(megabytes) * kMegabyte;
}

/// Three quarters of the descriptors, by default those that the system grants to the process.
std::size_t read_caller_connections(Settings& settings) {
  constexpr std::int64_t kMinimumDescriptors = 128;
  constexpr std::int64_t kMaximumDescriptors = 1 << 20;
  rlimit granted{};
  getrlimit(RLIMIT_NOFILE, &granted);
  const auto available = static_cast<std::int64_t>(
      std::clamp<rlim_t>(granted.rlim_cur, kMinimumDescriptors, kMaximumDescriptors));
  const std::int64_t descriptors = settings.integer_or("limits", "descriptors", available,
                                                       {kMinimumDescriptors, kMaximumDescriptors});
  return static_cast<std::size_t>(std::min(descriptors, available)) / 4 * 3;
}

}  // namespace

GatewaySettings GatewaySettings::read(Settings& settings) {
  constexpr Range kDurationMs{10, 86400000};
  GatewaySettings result;
  result.name = settings.required_string("process", "name");
  result.zone = settings.required_string("process", "zone");
  result.zones = count_zones(settings.string_or("process", "zones", ""));
  result.regions_of_zones = read_regions_of_zones(settings);
  const Duration evacuation_bound =
      settings.milliseconds_or("membership", "evacuation_bound_ms", 0, {0, kDurationMs.maximum});
  if (evacuation_bound > Duration::zero()) result.evacuation_bound = evacuation_bound;
  result.charts = settings.required_string("process", "charts");
  result.stop_grace = settings.milliseconds_or("process", "stop_grace_ms", 8000, kDurationMs);
  result.callers_listen = settings.required_address("listen", "callers");
  result.ready_listen = settings.required_address("listen", "ready");
  result.metrics_listen = settings.required_address("listen", "metrics");
  result.internal_address = settings.required_address("listen", "internal");
  result.seeds = settings.addresses_or_none("membership", "seeds");
  result.start_bound = settings.milliseconds_or("weights", "changeover_ms", 8000, kDurationMs);
  result.leaving_bound =
      settings.milliseconds_or("membership", "leaving_bound_ms", 2000, kDurationMs);
  result.changeover =
      result.start_bound -
      settings.milliseconds_or("weights", "changeover_margin_ms", 1000, kDurationMs);
  result.retry_ratio = settings.number_or("retry", "ratio", 0.2, 0, 1);
  result.retry_extra = settings.number_or("retry", "extra", 100, 0, 1e9);
  result.gateway_count =
      static_cast<std::uint32_t>(settings.integer_or("retry", "gateway_count", 12, {1, 100000}));
  result.retry_window = settings.milliseconds_or("retry", "window_ms", 10000, kDurationMs);
  result.quarantine_hold = settings.milliseconds_or("quarantine", "hold_ms", 600000, kDurationMs);
  result.pardoned = read_pardoned(settings);
  result.memory_bytes = read_memory_bytes(settings);
  result.caller_connections = read_caller_connections(settings);
  result.decision_log = settings.choice("log", "decisions", {"failures", "all", "none"});
  return result;
}

}  // namespace pumicemast
