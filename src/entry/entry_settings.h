/// Settings of pumicemast-entry, documented in docs/operators/settings.md.
#pragma once

#include <cstdint>
#include <string>

#include "common/settings.h"

namespace pumicemast {

struct EntrySettings {
  std::string name;
  std::string region;
  std::string zone;
  std::string charts;
  Address callers_listen;
  Address agents_listen;
  Address operators_listen;
  std::string platform_url;
  Duration platform_timeout = seconds(5);
  Duration watch_pause = milliseconds(50);
  Duration machine_list_interval = seconds(2);
  bool controller_candidate = true;
  Duration lease_ttl = seconds(5);
  Duration lease_renew = milliseconds(1500);
  Duration lease_margin = milliseconds(500);
  Duration control_interval = milliseconds(200);
  Duration replace_after = seconds(10);
  std::uint32_t entry_count = 1;
  std::uint32_t queue_limit = 1024;
  Duration queue_wait = seconds(5);
  std::uint32_t attempts = 3;
  double retry_ratio = 0.2;
  Duration silence_limit = seconds(3);
  std::size_t maximum_body_bytes = 16U << 20U;
  Duration drain_limit = seconds(600);
  std::size_t memory_bytes = 512U << 20U;  ///< Of the machine.

  static EntrySettings read(Settings& settings);
  const std::string& process_name() const { return name; }
};

}  // namespace pumicemast
