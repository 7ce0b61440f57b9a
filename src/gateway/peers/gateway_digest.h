/// What gateways tell each other regularly, and at once after a change.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/rate_limit.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/backends/weight_targets.h"
#include "generated/wire_generated.h"

namespace pumicemast {

/// The limit that a back end names, or that it names none any more.
struct ToldLimit {
  BackendIncarnation backend;
  RateLimit limit;
};

/// What a gateway tells others.
struct GatewayKnowledge {
  std::uint64_t configuration_version = 0;
  std::vector<LeftBackend> leaving;
  std::vector<NamedWeights> weights;
  std::uint64_t crash_verdicts = 0;  ///< Digest of the requests in quarantine.
  std::vector<ToldLimit> limits;     ///< Of back ends without agents.
};

/// Fills in what the knowledge tells; who the sender is, the caller adds.
wire::GatewayDigestT encode(const GatewayKnowledge& knowledge, TimePoint now);
GatewayKnowledge decode(const wire::GatewayDigest& digest, TimePoint now);

}  // namespace pumicemast
