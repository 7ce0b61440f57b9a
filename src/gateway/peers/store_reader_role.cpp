#include "gateway/peers/store_reader_role.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {

Duration takeover_share(PeerId self, const StoreReaderOptions& options) {
  const auto spread = static_cast<std::uint64_t>(options.takeover_spread.count());
  const std::uint64_t share = spread == 0 ? 0 : stable_hash(self, 1) % spread;
  return Duration(static_cast<Duration::rep>(share));
}

StoreReaderRole::StoreReaderRole(PeerId self, StoreReaderOptions options)
    : self_(self), options_(options), lifetime_(options.lifetime + takeover_share(self, options)) {}

void StoreReaderRole::on_heard(PeerId gateway, bool reads, TimePoint now) {
  if (reads) {
    readers_[gateway] = now;
  } else {
    readers_.erase(gateway);
  }
}

bool StoreReaderRole::should_read(TimePoint now) const {
  const auto before_this = std::count_if(readers_.begin(), readers_.end(), [&](const auto& reader) {
    return reader.first < self_ && lives(reader.second, now);
  });
  return static_cast<std::size_t>(before_this) < options_.readers_per_zone;
}

std::size_t StoreReaderRole::readers(TimePoint now) const {
  const auto living = std::count_if(readers_.begin(), readers_.end(),
                                    [&](const auto& reader) { return lives(reader.second, now); });
  return static_cast<std::size_t>(living);
}

}  // namespace pumicemast
