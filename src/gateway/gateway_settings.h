/// Checked settings of a gateway.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "common/settings.h"
#include "common/time.h"
#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

struct GatewaySettings {
  static constexpr bool kLogsDecisions = true;

  std::string name;
  std::string zone;
  std::uint32_t zones = 1;  ///< Of the whole deployment.
  std::string charts;
  Address callers_listen;
  Address ready_listen;
  Address metrics_listen;
  Address internal_address;    ///< Where other processes of the system reach this one.
  std::vector<Address> seeds;  ///< Internal addresses of some other gateways.
  /// A back end that is said to leave gets nothing new after so long.
  Duration leaving_bound = seconds(2);
  Duration stop_grace = seconds(8);  ///< From SIGTERM to the end at the latest.
  /// Requests may be sent to older weights for so long after a naming; short of what operators
  /// allow by the time that a request may wait at its back end.
  Duration changeover = seconds(7);
  /// What operators allow: requests on older weights may begin for so long after a naming.
  Duration start_bound = seconds(8);
  double retry_ratio = 0.2;
  double retry_extra = 100;             ///< Of all gateways together.
  std::uint32_t gateway_count = 12;     ///< Gateways that share `retry_extra`, at least.
  Duration retry_window = seconds(10);  ///< In which `retry_extra` may be spent once.
  /// How long a request that ends back ends is run no more.
  Duration quarantine_hold = seconds(600);
  /// Requests that are run whatever ended under them.
  std::set<RequestFingerprint> pardoned;
  std::string decision_log;  ///< "none", "failures" or "all".

  /// Reads and checks everything; faults go to the settings' findings.
  static GatewaySettings read(Settings& settings);
  std::string process_name() const { return name; }
};

}  // namespace pumicemast
