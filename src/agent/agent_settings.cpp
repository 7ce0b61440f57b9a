#include "agent/agent_settings.h"

namespace pumicemast {

AgentSettings AgentSettings::read(Settings& settings) {
  AgentSettings result;
  result.machine = settings.required_string("process", "machine");
  result.region = settings.required_string("process", "region");
  result.zone = settings.required_string("process", "zone");
  result.charts = settings.required_string("process", "charts");
  result.swarm_listen = settings.required_address("listen", "swarm");
  result.http_listen = settings.required_address("listen", "http");
  result.entries = settings.required_addresses("entries", "addresses");
  result.is_engine = settings.choice("backend", "kind", {"engine", "service"}) == "engine";
  result.backend_url = settings.required_url("backend", "url");
  if (!result.is_engine) result.service = settings.required_string("backend", "service");
  result.concurrency =
      static_cast<std::uint32_t>(settings.integer_or("backend", "concurrency", 64, {1, 100000}));
  result.origin_url = result.is_engine ? settings.required_url("origin", "url")
                                       : settings.string_or("origin", "url", "");
  result.up_bytes_per_second = settings.number_or("links", "up_bytes_per_second", 0, 0, 1e12);
  result.down_bytes_per_second = settings.number_or("links", "down_bytes_per_second", 0, 0, 1e12);
  result.window = static_cast<std::uint32_t>(settings.integer_or("swarm", "window", 8, {1, 256}));
  result.upload_slots =
      static_cast<std::uint32_t>(settings.integer_or("swarm", "upload_slots", 2, {1, 64}));
  result.cache_bytes = static_cast<std::uint64_t>(
      settings.integer_or("swarm", "cache_bytes", 32LL << 20U, {0, 1LL << 36U}));
  result.heartbeat = settings.milliseconds_or("process", "heartbeat_ms", 1000, {50, 60000});
  result.drain_limit = settings.milliseconds_or("process", "drain_limit_ms", 600000, {0, 86400000});
  settings.report_unknown();
  return result;
}

}  // namespace pumicemast
