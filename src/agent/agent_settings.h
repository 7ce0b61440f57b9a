/// Settings of pumicemast-agent, documented in docs/operators/settings.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/settings.h"

namespace pumicemast {

struct AgentSettings {
  std::string machine;
  std::string region;
  std::string zone;
  std::string charts;
  Address swarm_listen;
  Address http_listen;
  std::vector<Address> entries;
  bool is_engine = true;
  std::string backend_url;
  std::string service;
  std::uint32_t concurrency = 64;
  std::string origin_url;
  double up_bytes_per_second = 0;  ///< 0: not limited.
  double down_bytes_per_second = 0;
  std::uint32_t window = 8;
  std::uint32_t upload_slots = 2;
  std::uint64_t cache_bytes = 32U << 20U;
  Duration heartbeat = seconds(1);
  Duration drain_limit = seconds(600);

  static AgentSettings read(Settings& settings);
  const std::string& process_name() const { return machine; }
};

}  // namespace pumicemast
