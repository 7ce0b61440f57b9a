/// Counters, gauges and histograms of one process, by prometheus-cpp.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "common/time.h"

namespace pumicemast {

using MetricLabels = std::map<std::string, std::string>;

/// Looks metrics up by name and labels; the first use creates them. Every name is
/// documented in docs/operators/metrics.md.
class Metrics {
 public:
  Metrics();
  void count(const std::string& name, const MetricLabels& labels = {}, double amount = 1);
  void gauge(const std::string& name, const MetricLabels& labels, double value);
  /// Observes a duration in a histogram of seconds.
  void observe(const std::string& name, const MetricLabels& labels, Duration duration);
  /// The text format that Prometheus scrapes.
  std::string serialize() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

constexpr char kMetricsContentType[] = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace pumicemast
