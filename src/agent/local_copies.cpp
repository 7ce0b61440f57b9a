#include "agent/local_copies.h"

namespace pumicemast {

std::vector<LocalCopy> plan_local_copies(const std::vector<Sha256>& wanted, const ChunkSet& have,
                                         const std::vector<HeldVersion>& others) {
  struct ChunkLocation {
    const std::string* digest;
    ChunkIndex chunk;
  };
  std::map<Sha256, ChunkLocation> available;
  for (const HeldVersion& other : others) {
    other.held.for_each([&](ChunkIndex chunk) {
      available[other.hashes[chunk]] = {&other.digest, chunk};
    });
  }
  std::vector<LocalCopy> copies;
  for (ChunkIndex chunk = 0; chunk < wanted.size(); ++chunk) {
    const auto source = available.find(wanted[chunk]);
    if (source == available.end() || have.contains(chunk)) continue;
    copies.push_back({chunk, *source->second.digest, source->second.chunk});
  }
  return copies;
}

}  // namespace pumicemast
