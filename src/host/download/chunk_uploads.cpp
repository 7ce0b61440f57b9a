#include "host/download/chunk_uploads.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// A chunk that was not acknowledged for so long no longer holds its slot.
constexpr Duration kPatience = milliseconds(1500);

}  // namespace

std::optional<ChunkUploads::Begun> ChunkUploads::begin(PeerChunk upload, TimePoint now) {
  const auto asked = asked_.extract(upload);
  if (!under_way_.emplace(upload, Upload{now, std::nullopt}).second) return std::nullopt;
  return Begun{asked.empty() ? TimePoint{} : asked.mapped()};
}

void ChunkUploads::on_link_took(PeerChunk upload, TimePoint now) {
  const auto found = under_way_.find(upload);
  if (found != under_way_.end()) found->second.on_link = now;
}

std::optional<Duration> ChunkUploads::end(PeerChunk upload, TimePoint now) {
  const auto ended = under_way_.extract(upload);
  if (ended.empty()) return std::nullopt;
  return now - ended.mapped().on_link.value_or(now);
}

std::vector<PeerChunk> ChunkUploads::lose(PeerId peer) {
  std::erase_if(asked_, [&](const auto& entry) { return entry.first.first == peer; });
  std::vector<PeerChunk> lost;
  for (const auto& [upload, state] : under_way_) {
    if (upload.first == peer) lost.push_back(upload);
  }
  return lost;
}

std::vector<PeerChunk> ChunkUploads::expired(TimePoint now) const {
  std::vector<PeerChunk> result;
  for (const auto& [upload, state] : under_way_) {
    if (now - state.begun > kPatience) result.push_back(upload);
  }
  return result;
}

Duration ChunkUploads::oldest_on_link(TimePoint now) const {
  Duration oldest = Duration::zero();
  for (const auto& [upload, state] : under_way_) {
    oldest = std::max(oldest, now - state.on_link.value_or(now));
  }
  return oldest;
}

}  // namespace pumicemast
