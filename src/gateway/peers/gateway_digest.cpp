#include "gateway/peers/gateway_digest.h"

#include <algorithm>
#include <memory>

#include "transport/permit_messages.h"

namespace pumicemast {
namespace {

/// Back ends that one digest tells to be leaving, the newest.
constexpr std::size_t kLeavingTold = 32;
/// Limits of back ends that one digest tells.
constexpr std::size_t kLimitsTold = 32;

void add_leaving(wire::GatewayDigestT& message, const std::vector<BackendDeparture>& leaving) {
  const std::size_t count = std::min(kLeavingTold, leaving.size());
  for (std::size_t index = leaving.size() - count; index < leaving.size(); ++index) {
    auto left = std::make_unique<wire::LeavingBackendT>();
    left->id = leaving[index].id;
    left->revision = leaving[index].revision;
    message.leaving.push_back(std::move(left));
  }
}

void add_weights(wire::GatewayDigestT& message, const std::vector<NamedWeights>& namings) {
  for (const NamedWeights& weights : namings) {
    auto named = std::make_unique<wire::WeightsNamedT>();
    named->model = weights.model;
    named->version = weights.version;
    named->age_ms = static_cast<std::uint32_t>(to_milliseconds(weights.age));
    named->assumed = weights.assumed;
    message.weights.push_back(std::move(named));
  }
}

void add_limits(wire::GatewayDigestT& message, const std::vector<ToldLimit>& limits,
                TimePoint now) {
  for (const ToldLimit& told : limits) {
    if (message.limits.size() == kLimitsTold) return;
    auto entry = std::make_unique<wire::LimitedBackendT>();
    entry->id = told.backend.id;
    entry->started_at_ms = told.backend.started_at_ms;
    entry->limit = encode(told.limit, now);
    if (entry->limit) message.limits.push_back(std::move(entry));
  }
}

}  // namespace

wire::GatewayDigestT encode(const GatewayKnowledge& knowledge, TimePoint now) {
  wire::GatewayDigestT message;
  message.configuration_version = knowledge.configuration_version;
  message.crash_verdicts = knowledge.crash_verdicts;
  add_leaving(message, knowledge.leaving);
  add_weights(message, knowledge.weights);
  add_limits(message, knowledge.limits, now);
  return message;
}

GatewayKnowledge decode(const wire::GatewayDigest& digest, TimePoint now) {
  GatewayKnowledge knowledge;
  knowledge.configuration_version = digest.configuration_version();
  knowledge.crash_verdicts = digest.crash_verdicts();
  if (digest.leaving() != nullptr) {
    for (const auto* left : *digest.leaving()) {
      knowledge.leaving.push_back({left->id()->str(), left->revision()});
    }
  }
  if (digest.weights() != nullptr) {
    for (const auto* named : *digest.weights()) {
      knowledge.weights.push_back({named->model()->str(), named->version(),
                                   milliseconds(named->age_ms()), named->assumed()});
    }
  }
  if (digest.limits() != nullptr) {
    for (const auto* entry : *digest.limits()) {
      knowledge.limits.push_back(
          {{entry->id()->str(), entry->started_at_ms()}, decode(entry->limit(), now)});
    }
  }
  return knowledge;
}

}  // namespace pumicemast
