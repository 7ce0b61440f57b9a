/// How the swarm core is tuned for an agent beside an engine.
#pragma once

#include <cstddef>
#include <cstdint>

#include "swarm/swarm_options.h"

namespace pumicemast {

/// Chunks that may be asked for of neighbours, and on their way to others, at once: links hold no
/// more without queueing.
constexpr std::uint32_t kChunkWindow = 10;
constexpr std::uint32_t kUploadSlots = 6;

/// @param agents               that bring the version to their engines.
/// @param origin_connections   that the origin takes from all of them together.
SwarmOptions download_options(PeerId self, std::uint64_t version, std::size_t agents,
                              std::uint32_t origin_connections);

/// How long an agent leaves the origin alone after `failures` in a row, this one included: spread
/// so that agents that were refused together do not come back together.
Duration origin_retry_delay(PeerId self, std::uint32_t failures);

}  // namespace pumicemast
