#include "gateway/peers/backend_list_holders.h"

#include <utility>

#include "common/hash.h"

namespace pumicemast {

std::optional<PeerId> BackendListHolders::next(const StoreRevision& known) {
  using Rank = std::pair<std::uint32_t, std::uint64_t>;
  std::optional<std::pair<Rank, PeerId>> best;
  for (const auto& [gateway, holder] : holders_) {
    if (holder.revision <= known) continue;
    const Rank rank{holder.asked, stable_hash(gateway, self_)};
    if (!best || rank < best->first) best = {rank, gateway};
  }
  if (!best) return std::nullopt;
  ++holders_[best->second].asked;
  return best->second;
}

}  // namespace pumicemast
