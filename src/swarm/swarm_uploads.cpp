#include "swarm/swarm_uploads.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Queue limit of an agent with a narrow link; further requests would wait too long.
constexpr std::uint32_t kNarrowQueueLimit = 4;

}  // namespace

void SwarmUploads::on_request(const UploadRequest& request, SwarmActions& actions) {
  if (!queue_.push(request)) {
    actions.push_back(RefuseChunk{request.peer, request.chunk});
    return;
  }
  begin_uploads(actions);
}

void SwarmUploads::on_held(ChunkIndex chunk, SwarmActions& actions) {
  for (const PeerId peer : subscribers_.take(chunk)) queue_.push({peer, chunk, 0, true});
  begin_uploads(actions);
}

void SwarmUploads::on_cancel(PeerId peer, ChunkIndex chunk) {
  queue_.cancel(peer, chunk);
  subscribers_.cancel(chunk, peer);
}

void SwarmUploads::on_sent(SwarmActions& actions) {
  queue_.on_sent();
  begin_uploads(actions);
}

void SwarmUploads::set_slots(std::uint32_t slots) {
  queue_.set_slots(slots);
  // On a narrow link requests would wait in a long queue; after a refusal peers ask other agents.
  queue_.set_limit(slots <= 1 ? std::min(kNarrowQueueLimit, queue_limit_) : queue_limit_);
}

void SwarmUploads::begin_uploads(SwarmActions& actions) {
  while (const auto next = queue_.begin_next()) {
    actions.push_back(SendChunk{next->peer, next->chunk});
  }
}

}  // namespace pumicemast
