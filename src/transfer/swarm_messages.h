/// Translates between the swarm core and the frames exchanged with its peers.
///
/// Used by all shells around a Swarm; none of them encodes or decodes these frames itself.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "swarm/swarm.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// Sends the actions of the core as frames about one version.
class SwarmMessages {
 public:
  explicit SwarmMessages(PeerLinks& links) : links_(links) {}

  void send(const std::string& digest, const RequestFromPeer& action);
  void send(const std::string& digest, const CancelFromPeer& action);
  void send(const std::string& digest, const RefuseChunk& action);
  void send(const std::string& digest, const AnnounceChunks& action);
  /// @param reply  whether this answers a join; such a join is not answered.
  void send_join(const std::string& digest, PeerId peer, const ChunkSet& have, bool reply);

 private:
  PeerLinks& links_;
};

/// The digest of the version that a swarm frame is about; empty for other frames.
std::optional<std::string_view> swarm_frame_digest(const wire::Frame& frame);

/// The bitmap of chunks that a joining peer holds, as received.
std::vector<std::uint8_t> join_bitmap(const wire::SwarmJoin& join);

/// Passes announcements, requests, refusals and cancellations to the core. The shell handles the
/// other frames (joins and chunk data).
/// @return whether the frame was one of these.
bool apply_swarm_frame(Swarm& swarm, PeerId peer, const wire::Frame& frame, TimePoint now,
                       SwarmActions& actions);

}  // namespace pumicemast
