#include "gateway/peers/store_reader_policy.h"

namespace pumicemast {

StoreReaderPolicy::StoreReaderPolicy(const Address& self, PeerId self_id,
                                     StoreReaderOptions options)
    : options_(options),
      takeover_jitter_(takeover_jitter(self_id, options)),
      role_(self_id, options),
      search_(self) {}

void StoreReaderPolicy::on_reader_status(PeerId gateway, bool reads, TimePoint now) {
  role_.on_reader_status(gateway, reads, now);
  if (reads) search_.on_reader_seen(now);
}

bool StoreReaderPolicy::should_begin(TimePoint now) {
  if (role_.readers(now) >= options_.readers_per_zone) {
    too_few_readers_since_.reset();
    return false;
  }
  if (!too_few_readers_since_) too_few_readers_since_ = now;
  // Other gateways may begin during the jitter: a zone needs only a few readers.
  return now - *too_few_readers_since_ >= takeover_jitter_;
}

bool StoreReaderPolicy::decide(TimePoint now) {
  if (!list_known_) {
    reads_ = search_.should_read(now);
  } else if (reads_) {
    reads_ = role_.should_read(now);
  } else {
    reads_ = should_begin(now);
  }
  if (reads_) too_few_readers_since_.reset();
  return reads_;
}

}  // namespace pumicemast
