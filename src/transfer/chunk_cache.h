/// Cache of recently received or sent chunks, so that forwarding a chunk needs no read from the
/// engine. Bounded by bytes; evicts the least recently used chunk first.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "weights/manifest.h"

namespace pumicemast {

class ChunkCache {
 public:
  using Bytes = std::shared_ptr<const std::string>;

  explicit ChunkCache(std::uint64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  void insert(const std::string& digest, ChunkIndex chunk, Bytes bytes) {
    const Key key{digest, chunk};
    if (bytes->size() > limit_bytes_ || index_.contains(key)) return;
    used_bytes_ += bytes->size();
    entries_.push_front({key, std::move(bytes)});
    index_[key] = entries_.begin();
    while (used_bytes_ > limit_bytes_) remove_last();
  }
  /// Null when the chunk is not cached.
  Bytes find(const std::string& digest, ChunkIndex chunk) {
    const auto found = index_.find({digest, chunk});
    if (found == index_.end()) return nullptr;
    entries_.splice(entries_.begin(), entries_, found->second);
    return found->second->bytes;
  }
  std::uint64_t used_bytes() const { return used_bytes_; }

 private:
  using Key = std::pair<std::string, ChunkIndex>;
  struct Entry {
    Key key;
    Bytes bytes;
  };
  void remove_last() {
    used_bytes_ -= entries_.back().bytes->size();
    index_.erase(entries_.back().key);
    entries_.pop_back();
  }

  std::uint64_t limit_bytes_;
  std::uint64_t used_bytes_ = 0;
  std::list<Entry> entries_;
  std::map<Key, std::list<Entry>::iterator> index_;
};

}  // namespace pumicemast
