/// Counters, gauges and histograms of a gateway, described in docs/operators/metrics.md.
#pragma once

#include "common/metrics.h"
#include "gateway/requests/request_forwarder.h"
#include "http1/caller_connection.h"
#include "memory/memory_budget.h"

namespace pumicemast {

/// Current values of a gateway's gauges.
struct GatewayGauges {
  std::size_t active_requests = 0;
  std::size_t waiting_requests = 0;
  std::uint64_t connections_opened = 0;  ///< Connections to back ends since the start.
  std::size_t backends = 0;
  std::size_t reporting_engines = 0;
  std::uint64_t configuration_version = 0;
  std::size_t bytes_queued_to_gateways = 0;
  std::size_t quarantined_requests = 0;
  std::size_t limited_backends = 0;     ///< Back ends that state a rate limit for all gateways.
  std::uint64_t unreadable_limits = 0;  ///< Responses with an invalid rate limit.
  std::size_t leaving_backends = 0;     ///< Have announced in responses that they are leaving.
  std::size_t paused_backends = 0;      ///< Have asked this gateway for a pause.
  std::uint64_t retry_gateways = 0;     ///< Estimated to share the retries; 0 when unknown.
};

class GatewayMetrics {
 public:
  void observe(const RequestSummary& summary);
  /// @param evidence  source of the information: "agent" or "probe".
  void on_backend_ended(const char* evidence);
  void on_crash(const BackendCrash& crash);
  void on_inferred_end(const InferredEnd& end);
  void on_inferred_end_verdict(const InferredEndVerdict& verdict);
  void update(const ForwarderCounters& counters, const GatewayGauges& figures);
  void update(const RetryBudgets& retries);
  void update(const PermitCounters& permits);
  void update(const NoticeCounters& notices);
  void update(const SlotReservationCounters& slots);
  /// @param reads_paused  responses that are held back now.
  void update(const HeldBytes& held, std::size_t reads_paused);
  void on_connection_evicted() { metrics_.count("pumicemast_gateway_connections_evicted_total"); }
  void on_input_dropped() { metrics_.count("pumicemast_gateway_dropped_inputs_total"); }
  void on_memory_refusal() { metrics_.count("pumicemast_gateway_memory_refusals_total"); }
  void on_undelivered(const ConnectionRemains& remains) {
    metrics_.count("pumicemast_gateway_undelivered_responses_total",
                   {{"reason", to_string(remains.reason)}});
  }
  void on_slow_reader_cut() { metrics_.count("pumicemast_gateway_slow_readers_cut_total"); }
  std::string serialize() const { return metrics_.serialize(); }
  Metrics& registry() { return metrics_; }

 private:
  Metrics metrics_;
};

}  // namespace pumicemast
