/// One agent's part in distributing one version of weights.
///
/// A decision core: no I/O. The shell transfers and verifies bytes. The core decides which chunk to
/// request from which peer, which upload is next, and which chunks to fetch from the origin.
///
/// The path of a chunk (docs/design/swarm.md): its overall owner fetches it from the origin once;
/// the regional owner in each other region fetches it from the overall owner; within a region
/// neighbours exchange it, rarest chunks first. When an owner fails, the next in rank takes over.
///
/// Invariants:
/// - a chunk is announced, sent on or counted as held only after the shell verified it;
/// - at most `window` requests to neighbours and `origin_window` to the origin are open.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "common/time.h"
#include "swarm/chunk_picker.h"
#include "swarm/chunk_set.h"
#include "swarm/external_fetch_planner.h"
#include "swarm/open_requests.h"
#include "swarm/owner_monitor.h"
#include "swarm/peer_record.h"
#include "swarm/response_times.h"
#include "swarm/starvation_detector.h"
#include "swarm/swarm_actions.h"
#include "swarm/swarm_membership.h"
#include "swarm/swarm_options.h"
#include "swarm/swarm_uploads.h"

namespace pumicemast {

/// Result of the shell's verification of a chunk.
enum class ChunkArrival { verified, corrupt };

struct SwarmCounters {
  std::uint64_t chunks_from_origin = 0;
  std::uint64_t chunks_from_peers = 0;
  std::uint64_t chunks_from_other_regions = 0;
  std::uint64_t duplicate_chunks = 0;
  std::uint64_t corrupt_chunks = 0;
  std::uint64_t request_timeouts = 0;
};

class Swarm {
 public:
  /// @param have  chunks that are already held and verified, from an earlier attempt or because
  ///              another version shares them.
  Swarm(SwarmOptions options, ChunkSet have);

  /// Starts the download, or continues it with a changed list of participants.
  void on_membership(std::shared_ptr<const SwarmMembership> membership, TimePoint now,
                     SwarmActions& actions);
  /// A peer joined with the set of all chunks that it holds.
  void on_peer_joined(PeerId peer, const ChunkSet& held, TimePoint now, SwarmActions& actions);
  void on_peer_has(PeerId peer, const std::vector<ChunkIndex>& chunks, TimePoint now,
                   SwarmActions& actions);
  void on_peer_lost(PeerId peer, TimePoint now, SwarmActions& actions);
  /// A chunk arrived from `peer`, or from the origin when empty.
  void on_chunk(std::optional<PeerId> peer, ChunkIndex chunk, ChunkArrival arrival, TimePoint now,
                SwarmActions& actions);
  /// The shell copies `chunk` from another version held on this machine, so it is not requested.
  void on_local_copy_started(ChunkIndex chunk) { picker_.on_requested(chunk); }
  void on_local_copy_failed(ChunkIndex chunk) { picker_.on_request_failed(chunk); }
  void on_local_copy_done(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void on_refused(PeerId peer, ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void on_origin_failed(ChunkIndex chunk, Duration retry_after, TimePoint now,
                        SwarmActions& actions);
  void on_request(PeerId peer, ChunkIndex chunk, std::uint32_t progress, TimePoint now,
                  SwarmActions& actions);
  void on_cancel(PeerId peer, ChunkIndex chunk);
  /// The link accepted a chunk given by SendChunk, or the peer disconnected.
  void on_sent(TimePoint now, SwarmActions& actions);
  /// Must be called at least every announce_interval.
  void on_tick(TimePoint now, SwarmActions& actions);
  /// Stops or resumes requesting chunks. Held chunks are uploaded in both states.
  void set_paused(bool paused, TimePoint now, SwarmActions& actions);
  /// Sets this version's share of the link when several versions are being transferred.
  void set_limits(std::uint32_t window, std::uint32_t upload_slots);

  const ChunkSet& have() const { return picker_.have(); }
  bool complete() const { return picker_.have().full(); }
  const SwarmCounters& counters() const { return counters_; }
  std::uint64_t takeovers() const { return external_fetches_.takeovers(); }
  /// Chunks requested from neighbours or the origin, or being uploaded: bounds the agent's memory.
  std::uint32_t chunks_in_memory() const {
    return requests_.within_window() + origin_fetches_.count() + uploads_.active();
  }

 private:
  struct Neighbour {
    PeerId id = 0;
    PeerRecord* peer = nullptr;  ///< Points into peers_, whose nodes do not move.
  };

  PeerRecord& peer(PeerId id);
  void add_neighbour(PeerId id, SwarmActions& actions);
  void request_more(TimePoint now, SwarmActions& actions);
  void request_from_neighbours(TimePoint now, SwarmActions& actions);
  std::vector<Neighbour> shuffled_suppliers(TimePoint now);
  void request_external_chunks(TimePoint now, SwarmActions& actions);
  void join_missing_neighbours(TimePoint now, SwarmActions& actions);
  void open_request(PeerId id, ChunkIndex chunk, bool subscription, TimePoint now,
                    SwarmActions& actions);
  void close_request(ChunkIndex chunk);
  /// Cancels the request; the chunk may be requested elsewhere.
  void abandon_request(ChunkIndex chunk, SwarmActions& actions);
  void expire_requests(TimePoint now, SwarmActions& actions);
  /// The same for fetches from the origin.
  void expire_origin_fetches(TimePoint now, SwarmActions& actions);
  void record_neighbour_has(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void take_over_from_lagging_owners(TimePoint now, SwarmActions& actions);
  bool appeared(ChunkIndex chunk) const;
  void take_over_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void take_over_if_starved(TimePoint now, SwarmActions& actions);
  /// Updates the sender's record and the response times after a delivery.
  void record_delivery(PeerId source, ChunkIndex chunk, ChunkArrival arrival, TimePoint now,
                       SwarmActions& actions);
  void reject_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void accept_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void announce(TimePoint now, SwarmActions& actions);
  void record_appearance(TimePoint now);
  bool in_other_region(PeerId id) const;

  SwarmOptions options_;
  std::shared_ptr<const SwarmMembership> membership_;
  const SwarmParticipant* self_ = nullptr;
  ChunkPicker picker_;
  ExternalFetchPlanner external_fetches_;
  SwarmUploads uploads_;
  std::map<PeerId, PeerRecord> peers_;
  std::vector<Neighbour> neighbours_;
  PeerRequests requests_;
  OriginFetches origin_fetches_;
  TimePoint last_chunk_{};  ///< When a chunk last arrived at this agent.
  ResponseTimes responses_;
  StarvationDetector starvation_;
  std::vector<ChunkIndex> unannounced_;
  TimePoint next_announcement_{};
  TimePoint next_rejoin_{};
  TimePoint next_lag_check_{};
  TimePoint first_external_fetch_{};           ///< Earliest request to the origin or other regions.
  std::optional<OwnerMonitor> owner_monitor_;  ///< Set by the first list of participants.
  bool paused_ = false;
  bool reported_complete_ = false;
  std::minstd_rand random_;
  SwarmCounters counters_;
};

}  // namespace pumicemast
