/// Counters and histograms of a gateway; docs/operators/metrics.md says what each means.
#pragma once

#include "common/metrics.h"
#include "gateway/requests/request_forwarder.h"

namespace pumicemast {

/// What a gateway looks like at a moment.
struct GatewayGauges {
  std::size_t active_requests = 0;
  std::size_t waiting_requests = 0;
  std::uint64_t connections_opened = 0;  ///< To back ends, since the start.
  std::size_t backends = 0;
  std::size_t reporting_engines = 0;
  std::uint64_t configuration_version = 0;
  std::size_t bytes_queued_to_gateways = 0;
  std::size_t quarantined_requests = 0;
  std::size_t limited_backends = 0;     ///< That name a limit for all gateways together.
  std::uint64_t unreadable_limits = 0;  ///< Answers whose limit is no number of requests.
  std::uint64_t retry_gateways = 0;     ///< Thought to share the retries; 0 while nothing is known.
};

class GatewayMetrics {
 public:
  void observe(const RequestSummary& summary);
  /// @param evidence  who said so: an agent, or a probe.
  void on_backend_ended(const char* evidence);
  void on_crash(const BackendCrash& crash);
  void update(const ForwarderCounters& counters, const GatewayGauges& figures);
  void update(const RetryBudgets& retries);
  void update(const PermitCounters& permits);
  std::string serialize() const { return metrics_.serialize(); }
  Metrics& registry() { return metrics_; }

 private:
  Metrics metrics_;
};

}  // namespace pumicemast
