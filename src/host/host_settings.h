/// Validated settings of the agent beside an engine.
#pragma once

#include <string>

#include "common/settings.h"
#include "common/time.h"
#include "locality/placement_rules.h"

namespace pumicemast {

struct HostSettings {
  static constexpr bool kLogsDecisions = true;

  std::string name;
  std::string zone;
  std::string region;
  RegionsOfZones regions_of_zones;
  std::string charts;
  Address internal_address;  ///< For connections of agents and gateways.
  Address metrics_listen;
  Address engine;
  std::string service;
  /// How long after a version was named requests may still start on older weights.
  Duration changeover = seconds(8);
  double link_bytes_per_second = 0;    ///< Of this machine; 0 if not configured.
  double uplink_bytes_per_second = 0;  ///< Limit for weights; 0 for none.
  Duration report_interval = milliseconds(120);

  /// Reads and validates all settings; errors are added to the findings of `settings`.
  static HostSettings read(Settings& settings);
  std::string process_name() const { return name; }
};

}  // namespace pumicemast
