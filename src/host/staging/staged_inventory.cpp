#include "host/staging/staged_inventory.h"

#include "host/staging/staging_marker.h"

namespace pumicemast {

void StagedInventory::read() {
  if (reading_ || complete_) return;
  reading_ = true;
  engine_.list_staged(model_, [this](std::optional<std::vector<ChunkIndex>> places) {
    if (!places) {
      reading_ = false;
      return;
    }
    read_next(std::move(*places), 0);
  });
}

void StagedInventory::read_next(std::vector<ChunkIndex> places, std::size_t position) {
  if (position >= places.size()) {
    reading_ = false;
    complete_ = true;
    return;
  }
  const ChunkIndex place = places[position];
  engine_.read_staged(model_, place,
                      [this, places = std::move(places), place,
                       position](std::optional<std::string> bytes) mutable {
                        if (!bytes) {
                          reading_ = false;
                          return;
                        }
                        note(place, std::move(*bytes));
                        read_next(std::move(places), position + 1);
                      });
}

void StagedInventory::note(ChunkIndex place, std::string bytes) {
  const Sha256 hash = sha256(bytes);
  if (place >= hashes_.size()) hashes_.resize(place + 1);
  hashes_[place] = hash;
  if (place == kMarkerPlace) marked_ = decode_staging_marker(bytes);
  bytes_.emplace(hash, std::make_shared<const std::string>(std::move(bytes)));
}

}  // namespace pumicemast
