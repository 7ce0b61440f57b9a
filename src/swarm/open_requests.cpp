#include "swarm/open_requests.h"

#include <algorithm>

namespace pumicemast {

void PeerRequests::open(ChunkIndex chunk, const PeerRequest& request) {
  requests_[chunk] = request;
  if (!request.subscription) ++within_window_;
}

void PeerRequests::close(ChunkIndex chunk) {
  const auto found = requests_.find(chunk);
  if (found == requests_.end()) return;
  if (!found->second.subscription) --within_window_;
  requests_.erase(found);
}

const PeerRequest* PeerRequests::find(ChunkIndex chunk) const {
  const auto found = requests_.find(chunk);
  return found == requests_.end() ? nullptr : &found->second;
}

std::vector<ChunkIndex> PeerRequests::chunks_requested_from(PeerId peer) const {
  return select([peer](const PeerRequest& request) { return request.peer == peer; });
}

void OriginFetches::on_arrived(ChunkIndex chunk, TimePoint now) {
  const auto found = started_.find(chunk);
  if (found == started_.end()) return;
  last_duration_ = now - found->second;
  started_.erase(found);
}

Duration OriginFetches::typical_duration(TimePoint now) const {
  Duration longest = last_duration_;
  for (const auto& [chunk, started] : started_) longest = std::max(longest, now - started);
  return longest;
}

std::vector<ChunkIndex> OriginFetches::older_than(Duration limit, TimePoint now) const {
  std::vector<ChunkIndex> chunks;
  for (const auto& [chunk, started] : started_) {
    if (now - started >= limit) chunks.push_back(chunk);
  }
  return chunks;
}

}  // namespace pumicemast
