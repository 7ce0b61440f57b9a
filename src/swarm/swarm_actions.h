/// Actions that an agent's swarm core requests from its shell.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "swarm/swarm_membership.h"

namespace pumicemast {

struct RequestFromPeer {
  PeerId peer = 0;
  ChunkIndex chunk = 0;
  std::uint32_t progress = 0;
};
struct CancelFromPeer {
  PeerId peer = 0;
  ChunkIndex chunk = 0;
};
struct RequestFromOrigin {
  ChunkIndex chunk = 0;
};
struct CancelFromOrigin {
  ChunkIndex chunk = 0;
};
struct SendChunk {
  PeerId peer = 0;
  ChunkIndex chunk = 0;
};
struct RefuseChunk {
  PeerId peer = 0;
  ChunkIndex chunk = 0;
};
/// Announces to each of `peers` that this agent now holds these chunks.
struct AnnounceChunks {
  std::vector<PeerId> peers;
  std::vector<ChunkIndex> chunks;
};
/// Joins `peer` as a neighbour by sending it the set of all held chunks.
struct JoinPeer {
  PeerId peer = 0;
};
/// All chunks are held and verified.
struct SwarmComplete {};
/// `peer` sent too many corrupt chunks and is avoided from now on.
struct PeerAvoided {
  PeerId peer = 0;
};
using SwarmAction =
    std::variant<RequestFromPeer, CancelFromPeer, RequestFromOrigin, CancelFromOrigin, SendChunk,
                 RefuseChunk, AnnounceChunks, JoinPeer, SwarmComplete, PeerAvoided>;
using SwarmActions = std::vector<SwarmAction>;

}  // namespace pumicemast
