/// Plans which chunks this agent fetches from outside the neighbourhood: from the origin or from
/// other regions.
///
/// Each chunk has one overall owner that fetches it from the origin and, in every other region, one
/// regional owner that fetches it from the overall owner. Owners follow from hashing, without a
/// coordinator. When a source fails, the next in rank is tried, other regions before the origin.
/// When an owner makes no progress, the owner next in rank takes over.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "common/time.h"
#include "swarm/chunk_set.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct ExternalFetchOptions {
  PeerId self = 0;
  std::uint32_t origin_window = 2;
  /// How many of a chunk's overall owners fetch it from the origin.
  std::uint32_t origin_copies = 1;
  bool origin_for_all = false;  ///< Baseline: every agent fetches every chunk.
  /// Interval between probes while the origin fails.
  Duration origin_probe_interval = seconds(10);
  /// Pause before the sequence of sources starts again.
  Duration source_pause = seconds(1);
};

/// A request to send now.
struct ExternalFetch {
  ChunkIndex chunk = 0;
  std::optional<PeerId> peer;  ///< Empty for the origin.
  /// The peer may not hold the chunk yet and sends it once it does.
  bool subscription = false;
};

class ExternalFetchPlanner {
 public:
  explicit ExternalFetchPlanner(ExternalFetchOptions options) : options_(options) {}

  /// Adds a task for each chunk not in `have` that this agent owns. Existing tasks keep their
  /// state.
  void plan(std::shared_ptr<const SwarmMembership> membership, const ChunkSet& have);
  /// Requests to send now, for chunks in `open`.
  std::vector<ExternalFetch> next_fetches(const ChunkSet& open, TimePoint now);

  /// @return whether fetching `chunk` was a task of this agent.
  bool on_received(ChunkIndex chunk);
  /// The origin sent a chunk; an outage of the origin, if any, is over.
  void on_origin_answered();
  /// The source replied that it does not hold the chunk.
  void on_fetch_refused(ChunkIndex chunk, Duration pause, TimePoint now);
  /// A fetch failed: the next source is tried after `pause`.
  void on_fetch_failed(ChunkIndex chunk, Duration pause, TimePoint now);
  /// The origin refused the request or is unreachable; requests from other agents would not help.
  void on_origin_failed(ChunkIndex chunk, Duration pause, TimePoint now);
  /// None of `missing` appeared for a whole takeover interval: the owners next in rank take over.
  /// @return chunks whose subscriptions are futile and have to be closed.
  std::vector<ChunkIndex> on_starved(const ChunkSet& missing, TimePoint now);
  /// Makes the chunk of a lagging owner of better rank a task of this agent.
  /// @param fetches_from_origin  fetch it from the origin; otherwise from another region.
  void take_over(ChunkIndex chunk, bool fetches_from_origin);
  /// Sets the peers that are not used as sources.
  void set_avoided(std::set<PeerId> avoided) { avoided_ = std::move(avoided); }
  /// Missing chunks appear again.
  void on_progress() { takeover_rank_ = 0; }

  std::uint64_t takeovers() const { return takeovers_; }

 private:
  struct FetchTask {
    bool from_origin = false;  ///< The origin is the first source, not the last.
    bool takeover = false;     ///< Taken over from an owner of a better rank.
    bool origin_allowed = false;
    bool fetching = false;
    bool fetching_from_origin = false;  ///< The current fetch is from the origin.
    std::uint32_t step = 0;             ///< Position in the sequence of sources.
    std::uint32_t refusals = 0;         ///< Members of other regions that lacked the chunk.
    TimePoint not_before{};
  };

  void add_task(ChunkIndex chunk, bool from_origin, bool takeover);
  std::vector<const SwarmParticipant*> other_region_sources(ChunkIndex chunk) const;
  bool should_try_origin(const FetchTask& task, std::size_t others, TimePoint now) const;
  std::optional<ExternalFetch> next_fetch(ChunkIndex chunk, FetchTask& task, TimePoint now);

  ExternalFetchOptions options_;
  std::shared_ptr<const SwarmMembership> membership_;
  const SwarmParticipant* self_ = nullptr;
  std::map<ChunkIndex, FetchTask> tasks_;
  std::set<PeerId> avoided_;
  std::uint32_t active_origin_fetches_ = 0;
  std::uint32_t takeover_rank_ = 0;
  bool origin_failing_ = false;
  TimePoint next_origin_probe_{};
  std::uint64_t takeovers_ = 0;
};

}  // namespace pumicemast
