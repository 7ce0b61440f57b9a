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

std::vector<ChunkIndex> PeerRequests::chunks_asked_of(PeerId peer) const {
  return select([peer](const PeerRequest& request) { return request.peer == peer; });
}

void OriginDraws::on_arrived(ChunkIndex chunk, TimePoint now) {
  const auto found = begun_.find(chunk);
  if (found == begun_.end()) return;
  last_took_ = now - found->second;
  begun_.erase(found);
}

Duration OriginDraws::usual_time(TimePoint now) const {
  Duration longest = last_took_;
  for (const auto& [chunk, begun] : begun_) longest = std::max(longest, now - begun);
  return longest;
}

std::vector<ChunkIndex> OriginDraws::older_than(Duration limit, TimePoint now) const {
  std::vector<ChunkIndex> chunks;
  for (const auto& [chunk, begun] : begun_) {
    if (now - begun >= limit) chunks.push_back(chunk);
  }
  return chunks;
}

}  // namespace pumicemast
