#include "gateway/peers/store_reader_role.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {

Duration takeover_jitter(PeerId self, const StoreReaderOptions& options) {
  const auto max_jitter = static_cast<std::uint64_t>(options.max_takeover_jitter.count());
  const std::uint64_t jitter = max_jitter == 0 ? 0 : stable_hash(self, 1) % max_jitter;
  return Duration(static_cast<Duration::rep>(jitter));
}

StoreReaderRole::StoreReaderRole(PeerId self, StoreReaderOptions options)
    : self_(self),
      options_(options),
      reader_timeout_(options.reader_timeout + takeover_jitter(self, options)) {}

void StoreReaderRole::on_reader_status(PeerId gateway, bool reads, TimePoint now) {
  if (reads) {
    readers_[gateway] = now;
  } else {
    readers_.erase(gateway);
  }
}

bool StoreReaderRole::should_read(TimePoint now) const {
  const auto before_this = std::count_if(readers_.begin(), readers_.end(), [&](const auto& reader) {
    return reader.first < self_ && is_live(reader.second, now);
  });
  return static_cast<std::size_t>(before_this) < options_.readers_per_zone;
}

std::size_t StoreReaderRole::readers(TimePoint now) const {
  const auto live = std::count_if(readers_.begin(), readers_.end(),
                                  [&](const auto& reader) { return is_live(reader.second, now); });
  return static_cast<std::size_t>(live);
}

}  // namespace pumicemast
