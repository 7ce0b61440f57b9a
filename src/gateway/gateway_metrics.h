/// Counters and histograms of a gateway; docs/operators/metrics.md says what each means.
#pragma once

#include "common/metrics.h"
#include "gateway/request_forwarder.h"

namespace pumicemast {

class GatewayMetrics {
 public:
  void observe(const RequestSummary& summary);
  void update(const ForwarderCounters& counters, std::size_t active, std::size_t waiting,
              std::uint64_t connections_opened, std::size_t backends,
              std::uint64_t configuration_version);
  std::string serialize() const { return metrics_.serialize(); }
  Metrics& registry() { return metrics_; }

 private:
  Metrics metrics_;
};

}  // namespace pumicemast
