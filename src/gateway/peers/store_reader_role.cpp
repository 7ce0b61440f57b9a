#include "gateway/peers/store_reader_role.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {

StoreReaderRole::StoreReaderRole(PeerId self, StoreReaderOptions options)
    : self_(self), options_(options) {
  const auto spread = static_cast<std::uint64_t>(options_.takeover_spread.count());
  const std::uint64_t own_share = spread == 0 ? 0 : stable_hash(self, 1) % spread;
  lifetime_ = options_.lifetime + Duration(static_cast<Duration::rep>(own_share));
}

void StoreReaderRole::on_heard(PeerId gateway, bool reads, TimePoint now) {
  if (reads) {
    readers_[gateway] = now;
  } else {
    readers_.erase(gateway);
  }
}

bool StoreReaderRole::should_read(TimePoint now) const {
  const auto before_this = std::count_if(readers_.begin(), readers_.end(), [&](const auto& reader) {
    return reader.first < self_ && now - reader.second <= lifetime_;
  });
  return static_cast<std::size_t>(before_this) < options_.readers_per_zone;
}

}  // namespace pumicemast
