#include "entry/entry_settings.h"

namespace pumicemast {

EntrySettings EntrySettings::read(Settings& settings) {
  constexpr Range kDurationMs{10, 86400000};
  EntrySettings result;
  result.name = settings.required_string("process", "name");
  result.region = settings.required_string("process", "region");
  result.zone = settings.required_string("process", "zone");
  result.charts = settings.required_string("process", "charts");
  result.drain_limit = settings.milliseconds_or("process", "drain_limit_ms", 600000, kDurationMs);
  result.callers_listen = settings.required_address("listen", "callers");
  result.agents_listen = settings.required_address("listen", "agents");
  result.operators_listen = settings.required_address("listen", "operators");
  result.maximum_body_bytes = static_cast<std::size_t>(
      settings.integer_or("listen", "maximum_body_bytes", 16LL << 20U, {1024, 32LL << 20U}));
  result.platform_url = settings.required_url("platform", "url");
  result.platform_timeout = settings.milliseconds_or("platform", "timeout_ms", 5000, kDurationMs);
  result.watch_pause = settings.milliseconds_or("platform", "watch_pause_ms", 50, kDurationMs);
  result.machine_list_interval =
      settings.milliseconds_or("platform", "machine_list_interval_ms", 2000, kDurationMs);
  result.controller_candidate = settings.boolean_or("lease", "candidate", true);
  result.lease_ttl = settings.milliseconds_or("lease", "ttl_ms", 5000, kDurationMs);
  result.lease_renew = settings.milliseconds_or("lease", "renew_ms", 1500, kDurationMs);
  result.lease_margin = settings.milliseconds_or("lease", "margin_ms", 500, kDurationMs);
  result.control_interval = settings.milliseconds_or("control", "interval_ms", 200, kDurationMs);
  result.replace_after =
      settings.milliseconds_or("control", "replace_after_ms", 10000, kDurationMs);
  result.entry_count =
      static_cast<std::uint32_t>(settings.integer_or("limits", "entry_count", 1, {1, 100000}));
  result.queue_limit =
      static_cast<std::uint32_t>(settings.integer_or("limits", "queue_limit", 1024, {0, 1000000}));
  result.memory_bytes =
      static_cast<std::size_t>(settings.integer_or("limits", "memory_mb", 512, {32, 1 << 20}))
      << 20U;
  result.queue_wait = settings.milliseconds_or("limits", "queue_wait_ms", 5000, kDurationMs);
  result.attempts =
      static_cast<std::uint32_t>(settings.integer_or("retry", "attempts", 3, {1, 20}));
  result.retry_ratio = settings.number_or("retry", "ratio", 0.2, 0, 1);
  result.silence_limit = settings.milliseconds_or("membership", "silence_ms", 3000, kDurationMs);
  settings.require(result.lease_renew + result.lease_margin < result.lease_ttl, "lease", "ttl_ms",
                   "must be longer than renew_ms and margin_ms together");
  settings.report_unknown();
  return result;
}

}  // namespace pumicemast
