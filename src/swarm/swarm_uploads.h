/// Decides which chunks an agent uploads and which requests it refuses.
///
/// A decision core: no I/O. Requests for chunks that are not held are refused, except those that
/// agents of other regions send to the overall owner: these wait until the chunk arrives.
#pragma once

#include <cstdint>

#include "swarm/chunk_subscribers.h"
#include "swarm/swarm_actions.h"
#include "swarm/upload_queue.h"

namespace pumicemast {

class SwarmUploads {
 public:
  SwarmUploads(std::uint32_t slots, std::uint32_t queue_limit)
      : queue_limit_(queue_limit), queue_(slots, queue_limit) {}

  /// A peer requests a chunk that this agent holds.
  void on_request(const UploadRequest& request, SwarmActions& actions);
  /// A peer of another region requests a chunk that this agent has to fetch.
  void on_subscription(PeerId peer, ChunkIndex chunk) { subscribers_.add(chunk, peer); }
  /// This agent now holds `chunk`.
  void on_held(ChunkIndex chunk, SwarmActions& actions);
  void on_cancel(PeerId peer, ChunkIndex chunk);
  void on_peer_lost(PeerId peer) { queue_.cancel_all(peer); }
  /// The link accepted a chunk given by SendChunk, or the peer disconnected.
  void on_sent(SwarmActions& actions);
  /// Sets how many chunks are handed to the link at the same time.
  void set_slots(std::uint32_t slots);

  /// Uploads that occupy a slot.
  std::uint32_t active() const { return queue_.active(); }

 private:
  void begin_uploads(SwarmActions& actions);

  std::uint32_t queue_limit_;
  UploadQueue queue_;
  ChunkSubscribers subscribers_;
};

}  // namespace pumicemast
