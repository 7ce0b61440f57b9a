#include "http1/connection_eviction.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace pumicemast {
namespace {

/// A caller has this long to send its request, or the next one.
constexpr Duration kTimeToSend = milliseconds(250);

bool may_close(const Evictable& evictable, TimePoint now) {
  return evictable.kind == Evictable::Kind::lingering || now - evictable.since >= kTimeToSend;
}

}  // namespace

void evict(const CallerConnections& connections, std::size_t count, TimePoint now) {
  std::vector<std::tuple<Evictable, CallerConnection*>> candidates;
  for (const auto& [key, connection] : connections) {
    const auto evictable = connection->evictable();
    if (evictable && may_close(*evictable, now)) {
      candidates.emplace_back(*evictable, connection.get());
    }
  }
  const std::size_t selected = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(selected),
                    candidates.end());
  candidates.resize(selected);
  for (const auto& [evictable, connection] : candidates) connection->close(CloseReason::evicted);
}

}  // namespace pumicemast
