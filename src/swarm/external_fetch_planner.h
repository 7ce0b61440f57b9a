/// Brings chunks in from outside the neighbourhood: from the origin or from other regions.
///
/// Each chunk has one overall owner that draws it from the origin and, in every other region,
/// one owner that fetches it from the overall owner. They are found by hashing, so nobody
/// hands out work. When a source fails, the next in rank is tried, other regions before the
/// origin; when an owner brings nothing, the next in rank takes over.
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
  /// How many of a chunk's overall owners draw it from the origin.
  std::uint32_t origin_copies = 1;
  bool origin_for_all = false;  ///< Baseline: everyone draws every chunk.
  /// While the origin fails it is probed this often.
  Duration origin_probe_interval = seconds(10);
  /// Pause before the sequence of sources begins again.
  Duration source_pause = seconds(1);
};

/// One request to make.
struct ExternalFetch {
  ChunkIndex chunk = 0;
  std::optional<PeerId> peer;  ///< The origin when empty.
  /// The peer may not hold it yet and answers when it does.
  bool subscription = false;
};

class ExternalFetchPlanner {
 public:
  explicit ExternalFetchPlanner(ExternalFetchOptions options) : options_(options) {}

  /// Finds this agent's duties among the chunks not in `have`. Duties that go on keep their
  /// state.
  void plan(std::shared_ptr<const SwarmMembership> membership, const ChunkSet& have);
  /// Requests to make now, for chunks in `open`.
  std::vector<ExternalFetch> next_fetches(const ChunkSet& open, TimePoint now);

  /// @return whether bringing `chunk` in was a duty of this agent.
  bool on_received(ChunkIndex chunk);
  /// The origin answers (again).
  void on_origin_answered();
  /// The source answered that it does not hold the chunk.
  void on_fetch_refused(ChunkIndex chunk, Duration pause, TimePoint now);
  /// A draw brought nothing: the next source is tried after `pause`.
  void on_fetch_failed(ChunkIndex chunk, Duration pause, TimePoint now);
  /// The origin refused or cannot be reached; nothing is gained by others trying too.
  void on_origin_failed(ChunkIndex chunk, Duration pause, TimePoint now);
  /// None of `missing` appeared for a whole takeover interval: the next in rank step in.
  /// @return subscriptions that have waited in vain and are to be closed.
  std::vector<ChunkIndex> on_starved(const ChunkSet& missing, TimePoint now);
  /// An owner in front of this agent lags: its chunk becomes a duty here.
  /// @param fetches_from_origin  from the origin; otherwise from another region.
  void take_over(ChunkIndex chunk, bool fetches_from_origin);
  /// These are asked for nothing.
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
    bool fetching_from_origin = false;  ///< The draw under way is at the origin.
    std::uint32_t step = 0;             ///< Position in the sequence of sources.
    std::uint32_t refusals = 0;  ///< Other regions' machines that answered without the chunk.
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
