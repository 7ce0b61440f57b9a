/// Requests from other agents for chunks of this agent.
///
/// The peer with the least progress is served first: the rollout ends when the last machine
/// completes, so transfers to machines that are ahead can wait. Requests from other regions come
/// before all others, because one copy there serves a whole region.
#pragma once

#include <cstdint>
#include <list>
#include <optional>

#include "swarm/swarm_membership.h"

namespace pumicemast {

struct UploadRequest {
  PeerId peer = 0;
  ChunkIndex chunk = 0;
  std::uint32_t progress = 0;  ///< Number of chunks that the peer already holds.
  bool other_region = false;
};

class UploadQueue {
 public:
  UploadQueue(std::uint32_t slots, std::uint32_t limit) : slots_(slots), limit_(limit) {}

  /// @return false when the queue is full; the request has to be refused.
  bool push(const UploadRequest& request);
  /// Drops a request whose upload has not begun.
  void cancel(PeerId peer, ChunkIndex chunk);
  void cancel_all(PeerId peer);
  /// The next request to serve, if a slot is free. It occupies the slot until on_sent().
  std::optional<UploadRequest> begin_next();
  void on_sent();
  void set_slots(std::uint32_t slots) { slots_ = slots; }
  void set_limit(std::uint32_t limit) { limit_ = limit; }

  std::uint32_t active() const { return active_; }
  std::uint32_t load() const { return active_ + static_cast<std::uint32_t>(waiting_.size()); }

 private:
  std::uint32_t slots_;
  std::uint32_t limit_;
  std::uint32_t active_ = 0;
  std::list<UploadRequest> waiting_;
};

}  // namespace pumicemast
