/// Options of the swarm core for an agent beside an engine.
#pragma once

#include <cstddef>
#include <cstdint>

#include "swarm/swarm_options.h"

namespace pumicemast {

/// Maximum of concurrent chunk requests to peers and of concurrent uploads: with more, chunks queue
/// on the links.
constexpr std::uint32_t kChunkWindow = 10;
constexpr std::uint32_t kUploadSlots = 6;

/// @param agents              number of agents that stage the version.
/// @param origin_connections  number of connections that the origin accepts from all agents
/// together.
SwarmOptions download_options(PeerId self, std::uint64_t version, std::size_t agents,
                              std::uint32_t origin_connections);

/// Delay before an agent calls the origin again after `failures` consecutive failures. It has
/// jitter, so that agents that were refused at the same time do not all retry at the same time.
Duration origin_retry_delay(PeerId self, std::uint32_t failures);

}  // namespace pumicemast
