#include "swarm/upload_queue.h"

#include <algorithm>
#include <tuple>

namespace pumicemast {

bool UploadQueue::push(const UploadRequest& request) {
  if (waiting_.size() >= limit_ && !request.other_region) return false;
  waiting_.push_back(request);
  return true;
}

void UploadQueue::cancel(PeerId peer, ChunkIndex chunk) {
  waiting_.remove_if(
      [&](const UploadRequest& entry) { return entry.peer == peer && entry.chunk == chunk; });
}

void UploadQueue::cancel_all(PeerId peer) {
  waiting_.remove_if([&](const UploadRequest& entry) { return entry.peer == peer; });
}

std::optional<UploadRequest> UploadQueue::begin_next() {
  if (active_ >= slots_ || waiting_.empty()) return std::nullopt;
  const auto next = std::min_element(waiting_.begin(), waiting_.end(),
                                     [](const UploadRequest& left, const UploadRequest& right) {
                                       return std::tuple(!left.other_region, left.progress) <
                                              std::tuple(!right.other_region, right.progress);
                                     });
  const UploadRequest request = *next;
  waiting_.erase(next);
  ++active_;
  return request;
}

void UploadQueue::on_sent() {
  if (active_ > 0) --active_;
}

}  // namespace pumicemast
