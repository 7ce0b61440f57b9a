/// Validated settings of a gateway.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/settings.h"
#include "common/time.h"
#include "gateway/quarantine/request_fingerprint.h"
#include "locality/placement_rules.h"

namespace pumicemast {

struct GatewaySettings {
  static constexpr bool kLogsDecisions = true;

  std::string name;
  std::string zone;
  std::uint32_t zones = 1;  ///< Number of zones of the whole deployment.
  RegionsOfZones regions_of_zones;
  /// Time within which an evacuated zone must get no new requests; empty when operators evacuate no
  /// zones.
  std::optional<Duration> evacuation_bound;
  std::string charts;
  Address callers_listen;
  Address ready_listen;
  Address metrics_listen;
  Address internal_address;    ///< Listening address for other processes of the system.
  std::vector<Address> seeds;  ///< Internal addresses of other gateways to contact at the start.
  /// Time within which a back end that is leaving must get no new requests.
  Duration leaving_bound = seconds(2);
  Duration stop_grace = seconds(8);  ///< Longest time from SIGTERM to the exit of the process.
  /// After a weight version is named as target, requests may be sent to older weights for this
  /// long. Shorter than `start_bound` by the time that a request may wait at its back end.
  Duration changeover = seconds(7);
  /// Operators' limit: requests may start on older weights for this long after a version is named.
  Duration start_bound = seconds(8);
  double retry_ratio = 0.2;
  double retry_extra = 100;             ///< Unearned retries of all gateways together.
  std::uint32_t gateway_count = 12;     ///< Fewest gateways among which `retry_extra` is divided.
  Duration retry_window = seconds(10);  ///< Period in which `retry_extra` may be spent once.
  /// How long a request that crashes back ends is quarantined.
  Duration quarantine_hold = seconds(600);
  /// Requests that are forwarded regardless of the crashes recorded for them.
  std::set<RequestFingerprint> pardoned;
  /// Memory of the process in bytes; what is held for callers and back ends is kept within half of
  /// it. Unset: not bounded.
  std::optional<std::size_t> memory_bytes;
  /// Most connections of callers. The rest of the descriptors is for back ends, other processes of
  /// the system, the store and the status pages.
  std::size_t caller_connections = 768;
  std::string decision_log;  ///< "none", "failures" or "all".

  /// Reads and validates all settings; errors are added to the findings of `settings`.
  static GatewaySettings read(Settings& settings);
  std::string process_name() const { return name; }
};

}  // namespace pumicemast
