/// Open requests for chunks: the source of each and when it was sent.
///
/// A decision core: no I/O. Each chunk is requested from one peer or from the origin.
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
  bool subscription = false;  ///< Sent to an owner that may not hold the chunk yet.
};

/// Requests to other agents.
class PeerRequests {
 public:
  void open(ChunkIndex chunk, const PeerRequest& request);
  void close(ChunkIndex chunk);
  /// Null when `chunk` is requested from no peer.
  const PeerRequest* find(ChunkIndex chunk) const;
  bool contains(ChunkIndex chunk) const { return requests_.contains(chunk); }
  std::vector<ChunkIndex> chunks_requested_from(PeerId peer) const;
  /// Chunks for whose request `has_failed(request)` is true.
  template <class HasFailed>
  std::vector<ChunkIndex> select(HasFailed has_failed) const;

  /// Requests that count against the window. Subscriptions do not: they may wait long and cost
  /// nothing.
  std::uint32_t within_window() const { return within_window_; }

 private:
  std::map<ChunkIndex, PeerRequest> requests_;
  std::uint32_t within_window_ = 0;
};

/// Chunks that are being fetched from the origin.
class OriginFetches {
 public:
  void begin(ChunkIndex chunk, TimePoint now) { started_[chunk] = now; }
  /// @return whether a fetch of `chunk` was in progress.
  bool end(ChunkIndex chunk) { return started_.erase(chunk) > 0; }
  /// The origin sent `chunk`.
  void on_arrived(ChunkIndex chunk, TimePoint now);
  bool contains(ChunkIndex chunk) const { return started_.contains(chunk); }
  /// Current duration of a fetch: that of the last completed one, or the age of the oldest fetch in
  /// progress if that is longer.
  Duration typical_duration(TimePoint now) const;
  /// Chunks whose fetch began `limit` or longer ago.
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
