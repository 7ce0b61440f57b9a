#include "host/download/swarm_manifest_fetcher.h"

#include <algorithm>

#include "common/event_loop.h"
#include "common/hash.h"
#include "common/log.h"

namespace pumicemast {
namespace {

constexpr Duration kPeerRequestInterval = milliseconds(150);
constexpr std::size_t kPeersPerRound = 2;

}  // namespace

SwarmManifestFetcher::SwarmManifestFetcher(std::string model, PeerId self, WeightOrigin& origin,
                                           PeerLinks& links, OnFound on_found)
    : model_(std::move(model)),
      self_(self),
      origin_(origin),
      links_(links),
      on_found_(std::move(on_found)) {}

void SwarmManifestFetcher::begin(std::uint64_t version, TimePoint now) {
  version_ = version;
  ++generation_;
  fetching_ = true;
  origin_schedule_.begin(now);
  confirmation_.begin(model_, version);
  next_peer_request_ = now;
}

void SwarmManifestFetcher::on_tick(TimePoint now) {
  if (!fetching_) return;
  if (origin_schedule_.due(rank(), now)) request_from_origin();
  if (now < next_peer_request_) return;
  next_peer_request_ = now + kPeerRequestInterval;
  request_from_peers(now);
}

void SwarmManifestFetcher::request_from_peers(TimePoint now) {
  wire::ManifestRequestT request;
  request.model = model_;
  request.least_version = version_;
  const auto salt = static_cast<std::uint64_t>(now.time_since_epoch().count());
  std::size_t requested = 0;
  for (const PeerId peer : peers_) {
    // The salt selects other peers in each round without a record of earlier ones.
    const bool chosen = peer != self_ && (stable_hash(peer, salt) & 1U) == 0;
    if (!chosen) continue;
    links_.send(peer, request);
    if (++requested >= kPeersPerRound) return;
  }
}

std::uint32_t SwarmManifestFetcher::rank() const {
  const std::uint64_t own = stable_hash(self_, version_);
  const auto before = std::count_if(peers_.begin(), peers_.end(), [&](PeerId peer) {
    return peer != self_ && stable_hash(peer, version_) < own;
  });
  return static_cast<std::uint32_t>(before);
}

void SwarmManifestFetcher::request_from_origin() {
  origin_schedule_.on_request_sent();
  const std::weak_ptr<bool> alive = alive_;
  const auto on_answer = [this, alive,
                          generation = generation_](std::optional<WeightManifest> manifest) {
    if (alive.expired() || generation != generation_ || !fetching_) return;
    on_origin_answer(std::move(manifest));
  };
  origin_.fetch_manifest(model_, confirmation_.next_version(), on_answer);
}

void SwarmManifestFetcher::on_origin_answer(std::optional<WeightManifest> manifest) {
  if (!manifest) {
    confirmation_.on_failed();
    origin_schedule_.on_failed(loop_now());
    return;
  }
  switch (confirmation_.on_answer(*manifest)) {
    case ManifestConfirmation::Verdict::confirmed:
      on_found_(std::move(*manifest), "origin");
      return;
    case ManifestConfirmation::Verdict::unconfirmed:
      request_from_origin();
      return;
    case ManifestConfirmation::Verdict::contradicted:
      LOG(WARNING) << "manifest model=" << model_ << " version=" << version_
                   << " state=CONTRADICTED source=origin";
      origin_schedule_.on_failed(loop_now());
      return;
  }
}

}  // namespace pumicemast
