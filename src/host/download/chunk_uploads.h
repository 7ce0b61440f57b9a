/// Chunks on their way to others, from the request to the acknowledgement.
///
/// A decision core: no I/O. Knows how long each has been on the link, which tells a narrow link
/// from a chunk that waits for its turn at the pacer.
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
  /// A peer asked for a chunk.
  void on_requested(PeerChunk upload, TimePoint now) { requested_at_.emplace(upload, now); }
  /// It needs the chunk no more, or was refused.
  void on_request_dropped(PeerChunk upload) { requested_at_.erase(upload); }

  struct Started {
    TimePoint requested_at{};  ///< Zero when that is not known.
  };
  /// The chunk's turn came.
  /// @return nothing when it is on its way to that peer already.
  std::optional<Started> start(PeerChunk upload, TimePoint now);
  /// The link took it from the pacer.
  void on_transmission_started(PeerChunk upload, TimePoint now);
  /// It was acknowledged, or given up.
  /// @return how long it was on the link; nothing when it was not under way.
  std::optional<Duration> finish(PeerChunk upload, TimePoint now);

  /// Uploads under way to a peer that is lost; its requests are forgotten.
  std::vector<PeerChunk> on_peer_lost(PeerId peer);
  /// Uploads that were not acknowledged for so long that they no longer hold their slots.
  std::vector<PeerChunk> expired(TimePoint now) const;
  /// How long the oldest has been on the link; zero when there is none.
  Duration oldest_transmission_age(TimePoint now) const;

 private:
  struct Upload {
    TimePoint started_at{};
    std::optional<TimePoint> transmitting_since;  ///< Since when the uplink has had it.
  };

  std::map<PeerChunk, TimePoint> requested_at_;
  std::map<PeerChunk, Upload> in_flight_;
};

}  // namespace pumicemast
