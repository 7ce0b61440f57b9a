#include "swarm/chunk_picker.h"

#include <cassert>

namespace pumicemast {

ChunkPicker::ChunkPicker(ChunkSet have, PickPolicy policy, std::uint64_t seed)
    : have_(std::move(have)),
      open_(have_.size()),
      availability_(have_.size(), 0),
      policy_(policy),
      random_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus + 1)) {
  for (ChunkIndex chunk = 0; chunk < have_.size(); ++chunk) {
    if (!have_.contains(chunk)) open_.insert(chunk);
  }
}

void ChunkPicker::on_neighbour_lost(const ChunkSet& held) {
  held.for_each([&](ChunkIndex chunk) {
    assert(availability_[chunk] > 0);
    --availability_[chunk];
  });
}

void ChunkPicker::on_request_failed(ChunkIndex chunk) {
  if (!have_.contains(chunk)) open_.insert(chunk);
}

bool ChunkPicker::on_received(ChunkIndex chunk) {
  open_.erase(chunk);
  return have_.insert(chunk);
}

std::optional<ChunkIndex> ChunkPicker::pick(const ChunkSet& held) {
  const auto& held_words = held.words();
  const auto& open_words = open_.words();
  const std::size_t word_count = open_words.size();
  if (word_count == 0) return std::nullopt;
  // A random starting position breaks ties without a second pass.
  const std::size_t first = policy_ == PickPolicy::sequential ? 0 : random_() % word_count;
  const unsigned rotation = policy_ == PickPolicy::sequential ? 0 : random_() % ChunkSet::kWordBits;
  std::optional<ChunkIndex> best;
  std::uint32_t best_availability = UINT32_MAX;
  for (std::size_t step = 0; step < word_count; ++step) {
    const std::size_t word = (first + step) % word_count;
    std::uint64_t bits = std::rotr(held_words[word] & open_words[word], static_cast<int>(rotation));
    for (; bits != 0; bits &= bits - 1) {
      const auto offset =
          (static_cast<unsigned>(std::countr_zero(bits)) + rotation) % ChunkSet::kWordBits;
      const auto chunk = static_cast<ChunkIndex>(word * ChunkSet::kWordBits + offset);
      if (policy_ != PickPolicy::rarest_first) return chunk;
      if (availability_[chunk] >= best_availability) continue;
      best = chunk;
      best_availability = availability_[chunk];
      if (best_availability <= 1) return best;
    }
  }
  return best;
}

}  // namespace pumicemast
