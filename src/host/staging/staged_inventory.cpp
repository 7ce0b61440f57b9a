#include "host/staging/staged_inventory.h"

#include "host/staging/staging_marker.h"

namespace pumicemast {

void StagedInventory::read() {
  if (reading_ || complete_) return;
  reading_ = true;
  engine_.list_staged(model_, [this](std::optional<std::vector<ChunkIndex>> chunks) {
    if (!chunks) {
      reading_ = false;
      return;
    }
    read_next(std::move(*chunks), 0);
  });
}

void StagedInventory::read_next(std::vector<ChunkIndex> chunks, std::size_t position) {
  if (position >= chunks.size()) {
    reading_ = false;
    complete_ = true;
    return;
  }
  const ChunkIndex chunk = chunks[position];
  engine_.read_staged(model_, chunk,
                      [this, chunks = std::move(chunks), chunk,
                       position](std::optional<std::string> bytes) mutable {
                        if (!bytes) {
                          reading_ = false;
                          return;
                        }
                        record(chunk, std::move(*bytes));
                        read_next(std::move(chunks), position + 1);
                      });
}

void StagedInventory::record(ChunkIndex chunk, std::string bytes) {
  const Sha256 hash = sha256(bytes);
  if (chunk >= hashes_.size()) hashes_.resize(chunk + 1);
  hashes_[chunk] = hash;
  if (chunk == kMarkerChunk) marker_manifest_ = decode_staging_marker(bytes);
  bytes_.emplace(hash, std::make_shared<const std::string>(std::move(bytes)));
}

}  // namespace pumicemast
