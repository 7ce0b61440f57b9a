/// Tracks chunks that are uploaded to peers, from the request to the acknowledgement.
///
/// A decision core: no I/O. Measures how long each chunk has been in transmission, which
/// distinguishes a slow link from a chunk that waits in the pacer.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

/// A chunk for a peer.
using PeerChunk = std::pair<PeerId, ChunkIndex>;

class ChunkUploads {
 public:
  /// A peer requested a chunk.
  void on_requested(PeerChunk upload, TimePoint now) { requested_at_.emplace(upload, now); }
  /// The peer cancelled its request, or the request was refused.
  void on_request_dropped(PeerChunk upload) { requested_at_.erase(upload); }

  struct Started {
    TimePoint requested_at{};  ///< Zero when it is not known.
  };
  /// The upload gets a slot.
  /// @return nothing when the chunk is already in flight to that peer.
  std::optional<Started> start(PeerChunk upload, TimePoint now);
  /// The pacer passed the chunk to the link.
  void on_transmission_started(PeerChunk upload, TimePoint now);
  /// The upload was acknowledged or abandoned.
  /// @return how long the chunk was in transmission; nothing when it was not in flight.
  std::optional<Duration> finish(PeerChunk upload, TimePoint now);

  /// Drops the requests of a lost peer.
  /// @return the uploads in flight to it; they remain in flight until finish().
  std::vector<PeerChunk> on_peer_lost(PeerId peer);
  /// Uploads that were not acknowledged in time and no longer occupy a slot.
  std::vector<PeerChunk> expired(TimePoint now) const;
  /// Longest time that a chunk has been in transmission; zero when there is none.
  Duration oldest_transmission_age(TimePoint now) const;

 private:
  struct Upload {
    TimePoint started_at{};
    std::optional<TimePoint> transmitting_since;  ///< When the pacer passed it to the link.
  };

  std::map<PeerChunk, TimePoint> requested_at_;
  std::map<PeerChunk, Upload> in_flight_;
};

}  // namespace pumicemast
