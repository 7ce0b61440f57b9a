/// Finds chunks of a version that the engine already holds as chunks of other versions.
///
/// A decision core: no I/O. Chunks with equal hashes have equal bytes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "swarm/chunk_set.h"
#include "weights/manifest.h"

namespace pumicemast {

/// Another version in the engine's memory and the chunks of it that are present.
struct HeldVersion {
  std::string digest;
  const std::vector<Sha256>& hashes;
  const ChunkSet& held;
};

/// A chunk to copy within the engine.
struct LocalCopy {
  ChunkIndex chunk = 0;  ///< Index in the wanted version.
  std::string source_digest;
  ChunkIndex source_chunk = 0;
};

/// @param wanted  hashes of the version's chunks, in order.
/// @param have    chunks of that version that are already present.
std::vector<LocalCopy> plan_local_copies(const std::vector<Sha256>& wanted, const ChunkSet& have,
                                         const std::vector<HeldVersion>& others);

}  // namespace pumicemast
