/// Which chunks an agent has asked for, whom, and since when.
///
/// A decision core: no I/O. Each chunk is asked for at one peer, or drawn from the origin.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct PeerRequest {
  PeerId peer = 0;
  TimePoint sent{};
  bool subscription = false;  ///< At an owner that may not have it yet.
};

/// Requests to other agents.
class PeerRequests {
 public:
  void open(ChunkIndex chunk, const PeerRequest& request);
  void close(ChunkIndex chunk);
  /// Null when `chunk` is asked of nobody.
  const PeerRequest* find(ChunkIndex chunk) const;
  bool contains(ChunkIndex chunk) const { return requests_.contains(chunk); }
  std::vector<ChunkIndex> chunks_requested_from(PeerId peer) const;
  /// Chunks whose request `has_failed(request)`.
  template <class HasFailed>
  std::vector<ChunkIndex> select(HasFailed has_failed) const;

  /// Requests that count against the window: subscriptions may wait long and cost nothing.
  std::uint32_t within_window() const { return within_window_; }

 private:
  std::map<ChunkIndex, PeerRequest> requests_;
  std::uint32_t within_window_ = 0;
};

/// Chunks on their way from the origin.
class OriginFetches {
 public:
  void begin(ChunkIndex chunk, TimePoint now) { started_[chunk] = now; }
  /// @return whether `chunk` was on its way.
  bool end(ChunkIndex chunk) { return started_.erase(chunk) > 0; }
  /// `chunk` came from the origin.
  void on_arrived(ChunkIndex chunk, TimePoint now);
  bool contains(ChunkIndex chunk) const { return started_.contains(chunk); }
  /// How long a draw takes now: the last that arrived, or one under way that takes longer.
  Duration typical_duration(TimePoint now) const;
  /// Those on their way for `limit` or longer.
  std::vector<ChunkIndex> older_than(Duration limit, TimePoint now) const;
  std::uint32_t count() const { return static_cast<std::uint32_t>(started_.size()); }

 private:
  std::map<ChunkIndex, TimePoint> started_;
  Duration last_duration_ = Duration::zero();
};

template <class HasFailed>
std::vector<ChunkIndex> PeerRequests::select(HasFailed has_failed) const {
  std::vector<ChunkIndex> chunks;
  for (const auto& [chunk, request] : requests_) {
    if (has_failed(request)) chunks.push_back(chunk);
  }
  return chunks;
}

}  // namespace pumicemast
