#include "gateway/peers/store_reading.h"

namespace pumicemast {

StoreReading::StoreReading(const Address& self, PeerId self_id, StoreReaderOptions options)
    : options_(options),
      own_share_(takeover_share(self_id, options)),
      role_(self_id, options),
      search_(self) {}

void StoreReading::on_heard(PeerId gateway, bool reads, TimePoint now) {
  role_.on_heard(gateway, reads, now);
  if (reads) search_.on_reader_heard(now);
}

bool StoreReading::begins(TimePoint now) {
  if (role_.readers(now) >= options_.readers_per_zone) {
    too_few_since_.reset();
    return false;
  }
  if (!too_few_since_) too_few_since_ = now;
  // Others may begin meanwhile: of all of a zone only a few are needed.
  return now - *too_few_since_ >= own_share_;
}

bool StoreReading::decide(TimePoint now) {
  if (!list_known_) {
    reads_ = search_.reads(now);
  } else if (reads_) {
    reads_ = role_.should_read(now);
  } else {
    reads_ = begins(now);
  }
  if (reads_) too_few_since_.reset();
  return reads_;
}

}  // namespace pumicemast
