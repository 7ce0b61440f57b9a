#include "common/metrics.h"

#include <prometheus/text_serializer.h>

namespace pumicemast {
namespace {

/// From well below the time between two tokens to the time of a long generation.
const prometheus::Histogram::BucketBoundaries kSecondsBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.6, 2.5, 5, 10, 30, 60, 120, 300};

}  // namespace

Metrics::Metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

void Metrics::count(const std::string& name, const MetricLabels& labels, double amount) {
  prometheus::BuildCounter().Name(name).Register(*registry_).Add(labels).Increment(amount);
}

void Metrics::gauge(const std::string& name, const MetricLabels& labels, double value) {
  prometheus::BuildGauge().Name(name).Register(*registry_).Add(labels).Set(value);
}

void Metrics::observe(const std::string& name, const MetricLabels& labels, Duration duration) {
  prometheus::BuildHistogram()
      .Name(name)
      .Register(*registry_)
      .Add(labels, kSecondsBuckets)
      .Observe(to_seconds(duration));
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace pumicemast
