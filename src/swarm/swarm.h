/// One agent's part in distributing one version of weights.
///
/// A decision core: no I/O. The shell moves and verifies bytes; the core decides which
/// chunk to ask whom for, whom to send to next, and who draws a chunk from the origin.
///
/// How a chunk travels (docs/design/swarm.md): its overall owner draws it from the origin
/// once; the owner in each other region gets it from there; within a region it spreads
/// between neighbours, rarest first. An owner that fails is followed by the next in rank.
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

/// How a chunk came out of the shell's verification.
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
  /// @param have  chunks that are verified here already, from an earlier attempt or because
  ///              another version shares them.
  Swarm(SwarmOptions options, ChunkSet have);

  /// Begins, or goes on with a changed list of participants.
  void on_membership(std::shared_ptr<const SwarmMembership> membership, TimePoint now,
                     SwarmActions& actions);
  /// A neighbour told everything that it holds.
  void on_peer_joined(PeerId peer, const ChunkSet& held, TimePoint now, SwarmActions& actions);
  void on_peer_has(PeerId peer, const std::vector<ChunkIndex>& chunks, TimePoint now,
                   SwarmActions& actions);
  void on_peer_lost(PeerId peer, TimePoint now, SwarmActions& actions);
  /// A chunk arrived from `peer`, or from the origin when null.
  void on_chunk(std::optional<PeerId> peer, ChunkIndex chunk, ChunkArrival arrival, TimePoint now,
                SwarmActions& actions);
  /// The shell copies `chunk` from another version held here: nobody is asked for it.
  void on_local_copy_started(ChunkIndex chunk) { picker_.on_requested(chunk); }
  void on_local_copy_failed(ChunkIndex chunk) { picker_.on_request_failed(chunk); }
  void on_local_copy_done(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void on_refused(PeerId peer, ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void on_origin_failed(ChunkIndex chunk, Duration retry_after, TimePoint now,
                        SwarmActions& actions);
  void on_request(PeerId peer, ChunkIndex chunk, std::uint32_t progress, TimePoint now,
                  SwarmActions& actions);
  void on_cancel(PeerId peer, ChunkIndex chunk);
  /// The link took a chunk given by SendChunk (or the peer went away).
  void on_sent(TimePoint now, SwarmActions& actions);
  /// Call at least every announce_interval.
  void on_tick(TimePoint now, SwarmActions& actions);
  /// Stops or resumes asking for chunks; what is held is still passed on.
  void set_paused(bool paused, TimePoint now, SwarmActions& actions);
  /// Shares of the link when several versions are on their way.
  void set_limits(std::uint32_t window, std::uint32_t upload_slots);

  const ChunkSet& have() const { return picker_.have(); }
  bool complete() const { return picker_.have().full(); }
  const SwarmCounters& counters() const { return counters_; }
  std::uint64_t takeovers() const { return external_fetches_.takeovers(); }
  /// Chunks in memory or on their way: what bounds the agent's memory.
  std::uint32_t chunks_in_memory() const {
    return requests_.within_window() + origin_fetches_.count() + uploads_.active();
  }

 private:
  struct Neighbour {
    PeerId id = 0;
    PeerRecord* peer = nullptr;  ///< In peers_, whose nodes stay where they are.
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
  /// The chunk may be asked for elsewhere.
  void abandon_request(ChunkIndex chunk, SwarmActions& actions);
  void expire_requests(TimePoint now, SwarmActions& actions);
  /// The same for draws from the origin.
  void expire_origin_fetches(TimePoint now, SwarmActions& actions);
  void record_neighbour_has(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void take_over_from_lagging_owners(TimePoint now, SwarmActions& actions);
  bool appeared(ChunkIndex chunk) const;
  void take_over_chunk(ChunkIndex chunk, TimePoint now, SwarmActions& actions);
  void take_over_if_starved(TimePoint now, SwarmActions& actions);
  /// Takes down what a delivery says about its sender.
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
  TimePoint last_chunk_{};  ///< When a chunk last arrived here.
  ResponseTimes responses_;
  StarvationDetector starvation_;
  std::vector<ChunkIndex> unannounced_;
  TimePoint next_announcement_{};
  TimePoint next_rejoin_{};
  TimePoint next_lag_check_{};
  TimePoint first_external_fetch_{};           ///< Nothing is drawn from outside before.
  std::optional<OwnerMonitor> owner_monitor_;  ///< From the first list of participants on.
  bool paused_ = false;
  bool reported_complete_ = false;
  std::minstd_rand random_;
  SwarmCounters counters_;
};

}  // namespace pumicemast
