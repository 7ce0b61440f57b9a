/// The state that gateways gossip in digests: periodically, and at once after a change.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/rate_limit.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/backends/weight_targets.h"
#include "generated/wire_generated.h"
#include "locality/zone_evacuations.h"

namespace pumicemast {

/// The rate limit that a back end states, or that it no longer states one.
struct AdvertisedLimit {
  BackendIncarnation backend;
  RateLimit limit;
};

/// State that a gateway advertises to others.
struct GossipState {
  std::uint64_t configuration_version = 0;
  std::vector<BackendDeparture> leaving;
  std::vector<BackendIncarnation> announced_departures;  ///< Those of the last seconds.
  std::vector<NamedWeights> weights;
  std::uint64_t crash_verdicts = 0;     ///< Digest of the requests in quarantine.
  std::vector<AdvertisedLimit> limits;  ///< Limits of back ends without agents.
  EvacuationSnapshot evacuations;
};

/// Encodes the state; the caller adds the sender's fields.
wire::GatewayDigestT encode(const GossipState& state, TimePoint now);
GossipState decode(const wire::GatewayDigest& digest, TimePoint now);

}  // namespace pumicemast
