/// Stable, fast hashing (XXH3) for placement decisions that all processes must share.
/// Not for verification: weights are verified by SHA-256.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace pumicemast {

inline std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Hash of two numbers, for rendezvous hashing of a key over members.
inline std::uint64_t stable_hash(std::uint64_t left, std::uint64_t right) {
  const std::uint64_t pair[2] = {left, right};
  return XXH3_64bits(pair, sizeof(pair));
}

}  // namespace pumicemast
