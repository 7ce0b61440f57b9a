/// A set of chunk indices as a bitmap.
#pragma once

#include <bit>
#include <cstdint>
#include <vector>

#include "weights/manifest.h"

namespace pumicemast {

class ChunkSet {
 public:
  static constexpr std::size_t kWordBits = 64;

  explicit ChunkSet(ChunkIndex size = 0)
      : size_(size), words_((size + kWordBits - 1) / kWordBits, 0) {}

  ChunkIndex size() const { return size_; }
  ChunkIndex count() const { return count_; }
  bool full() const { return count_ == size_; }
  bool contains(ChunkIndex chunk) const {
    return chunk < size_ && (words_[chunk / kWordBits] >> (chunk % kWordBits) & 1U) != 0;
  }
  /// @return whether `chunk` was new. Indices outside the set are ignored.
  bool insert(ChunkIndex chunk) {
    if (chunk >= size_ || contains(chunk)) return false;
    words_[chunk / kWordBits] |= std::uint64_t{1} << (chunk % kWordBits);
    ++count_;
    return true;
  }
  /// @return whether `chunk` was in the set.
  bool erase(ChunkIndex chunk) {
    if (!contains(chunk)) return false;
    words_[chunk / kWordBits] &= ~(std::uint64_t{1} << (chunk % kWordBits));
    --count_;
    return true;
  }
  const std::vector<std::uint64_t>& words() const { return words_; }

  /// Calls `visit(chunk)` for each member in ascending order.
  template <class Visit>
  void for_each(Visit visit) const {
    for (std::size_t word = 0; word < words_.size(); ++word) {
      for (std::uint64_t bits = words_[word]; bits != 0; bits &= bits - 1) {
        visit(static_cast<ChunkIndex>(word * kWordBits + std::countr_zero(bits)));
      }
    }
  }

  /// One bit per chunk, least significant bit first.
  std::vector<std::uint8_t> to_bytes() const {
    std::vector<std::uint8_t> bytes((size_ + 7) / 8, 0);
    for_each([&](ChunkIndex chunk) {
      bytes[chunk / 8] = static_cast<std::uint8_t>(bytes[chunk / 8] | (1U << (chunk % 8)));
    });
    return bytes;
  }
  /// Reads to_bytes() of a set of `size`. Chunks of missing bytes are absent; extra bytes are
  /// ignored.
  static ChunkSet from_bytes(ChunkIndex size, const std::uint8_t* bytes, std::size_t length) {
    ChunkSet set(size);
    for (ChunkIndex chunk = 0; chunk < size && chunk / 8 < length; ++chunk) {
      if ((bytes[chunk / 8] >> (chunk % 8) & 1U) != 0) set.insert(chunk);
    }
    return set;
  }

 private:
  ChunkIndex size_;
  ChunkIndex count_ = 0;
  std::vector<std::uint64_t> words_;
};

}  // namespace pumicemast
