#include "host/download/chunk_uploads.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// A chunk that is not acknowledged within this time no longer occupies an upload slot.
constexpr Duration kAcknowledgementTimeout = milliseconds(1500);

}  // namespace

std::optional<ChunkUploads::Started> ChunkUploads::start(PeerChunk upload, TimePoint now) {
  const auto request = requested_at_.extract(upload);
  if (!in_flight_.emplace(upload, Upload{now, std::nullopt}).second) return std::nullopt;
  return Started{request.empty() ? TimePoint{} : request.mapped()};
}

void ChunkUploads::on_transmission_started(PeerChunk upload, TimePoint now) {
  const auto found = in_flight_.find(upload);
  if (found != in_flight_.end()) found->second.transmitting_since = now;
}

std::optional<Duration> ChunkUploads::finish(PeerChunk upload, TimePoint now) {
  const auto ended = in_flight_.extract(upload);
  if (ended.empty()) return std::nullopt;
  return now - ended.mapped().transmitting_since.value_or(now);
}

std::vector<PeerChunk> ChunkUploads::on_peer_lost(PeerId peer) {
  std::erase_if(requested_at_, [&](const auto& entry) { return entry.first.first == peer; });
  std::vector<PeerChunk> lost;
  for (const auto& [upload, state] : in_flight_) {
    if (upload.first == peer) lost.push_back(upload);
  }
  return lost;
}

std::vector<PeerChunk> ChunkUploads::expired(TimePoint now) const {
  std::vector<PeerChunk> result;
  for (const auto& [upload, state] : in_flight_) {
    if (now - state.started_at > kAcknowledgementTimeout) result.push_back(upload);
  }
  return result;
}

Duration ChunkUploads::oldest_transmission_age(TimePoint now) const {
  Duration oldest = Duration::zero();
  for (const auto& [upload, state] : in_flight_) {
    oldest = std::max(oldest, now - state.transmitting_since.value_or(now));
  }
  return oldest;
}

}  // namespace pumicemast
