#include "gateway/peers/gateway_digest.h"

#include <algorithm>
#include <memory>

#include "transport/permit_messages.h"

namespace pumicemast {
namespace {

/// Leaving back ends that one digest lists; the most recent ones are kept.
constexpr std::size_t kMaximumLeavingBackends = 32;
/// Back ends whose limits one digest lists.
constexpr std::size_t kMaximumLimits = 32;

void add_leaving(wire::GatewayDigestT& message, const std::vector<BackendDeparture>& leaving) {
  const std::size_t count = std::min(kMaximumLeavingBackends, leaving.size());
  for (std::size_t index = leaving.size() - count; index < leaving.size(); ++index) {
    auto left = std::make_unique<wire::LeavingBackendT>();
    left->id = leaving[index].backend.id;
    left->started_at_ms = leaving[index].backend.started_at_ms;
    left->revision = leaving[index].revision.number;
    left->era = leaving[index].revision.era;
    left->draining = leaving[index].draining;
    message.leaving.push_back(std::move(left));
  }
}

void add_announced(wire::GatewayDigestT& message,
                   const std::vector<BackendIncarnation>& announced) {
  const std::size_t count = std::min(kMaximumLeavingBackends, announced.size());
  for (std::size_t index = announced.size() - count; index < announced.size(); ++index) {
    auto departure = std::make_unique<wire::AnnouncedDepartureT>();
    departure->id = announced[index].id;
    departure->started_at_ms = announced[index].started_at_ms;
    message.announced_departures.push_back(std::move(departure));
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

void add_limits(wire::GatewayDigestT& message, const std::vector<AdvertisedLimit>& limits,
                TimePoint now) {
  for (const AdvertisedLimit& advertised : limits) {
    if (message.limits.size() == kMaximumLimits) return;
    auto entry = std::make_unique<wire::LimitedBackendT>();
    entry->id = advertised.backend.id;
    entry->started_at_ms = advertised.backend.started_at_ms;
    entry->limit = encode(advertised.limit, now);
    if (entry->limit) message.limits.push_back(std::move(entry));
  }
}

}  // namespace

wire::GatewayDigestT encode(const GossipState& state, TimePoint now) {
  wire::GatewayDigestT message;
  message.configuration_version = state.configuration_version;
  message.crash_verdicts = state.crash_verdicts;
  add_leaving(message, state.leaving);
  add_announced(message, state.announced_departures);
  add_weights(message, state.weights);
  add_limits(message, state.limits, now);
  message.evacuation_revision = state.evacuations.revision.number;
  message.evacuation_era = state.evacuations.revision.era;
  message.evacuated_zones.assign(state.evacuations.zones.begin(), state.evacuations.zones.end());
  return message;
}

GossipState decode(const wire::GatewayDigest& digest, TimePoint now) {
  GossipState state;
  state.configuration_version = digest.configuration_version();
  state.crash_verdicts = digest.crash_verdicts();
  if (digest.leaving() != nullptr) {
    for (const auto* left : *digest.leaving()) {
      state.leaving.push_back({{left->id()->str(), left->started_at_ms()},
                               {left->era(), left->revision()},
                               left->draining()});
    }
  }
  if (digest.announced_departures() != nullptr) {
    for (const auto* departure : *digest.announced_departures()) {
      state.announced_departures.push_back({departure->id()->str(), departure->started_at_ms()});
    }
  }
  if (digest.weights() != nullptr) {
    for (const auto* named : *digest.weights()) {
      state.weights.push_back({named->model()->str(), named->version(),
                               milliseconds(named->age_ms()), named->assumed()});
    }
  }
  if (digest.limits() != nullptr) {
    for (const auto* entry : *digest.limits()) {
      state.limits.push_back(
          {{entry->id()->str(), entry->started_at_ms()}, decode(entry->limit(), now)});
    }
  }
  state.evacuations.revision = {digest.evacuation_era(), digest.evacuation_revision()};
  if (digest.evacuated_zones() != nullptr) {
    for (const auto* zone : *digest.evacuated_zones()) state.evacuations.zones.insert(zone->str());
  }
  return state;
}

}  // namespace pumicemast
