#include "host/download/manifest_seeker.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

constexpr Duration kAskInterval = milliseconds(150);
constexpr std::size_t kPeersAsked = 2;

}  // namespace

ManifestSeeker::ManifestSeeker(std::string model, PeerId self, WeightOrigin& origin,
                               PeerLinks& links, OnFound on_found)
    : model_(std::move(model)),
      self_(self),
      origin_(origin),
      links_(links),
      on_found_(std::move(on_found)) {}

void ManifestSeeker::begin(std::uint64_t version, TimePoint now) {
  version_ = version;
  ++generation_;
  seeking_ = true;
  origin_asking_.begin(now);
  next_ask_ = now;
}

void ManifestSeeker::on_tick(TimePoint now) {
  if (!seeking_) return;
  if (origin_asking_.due(rank(), now)) ask_origin();
  if (now < next_ask_) return;
  next_ask_ = now + kAskInterval;
  ask_peers(now);
}

void ManifestSeeker::ask_peers(TimePoint now) {
  wire::ManifestRequestT request;
  request.model = model_;
  request.least_version = version_;
  const auto salt = static_cast<std::uint64_t>(now.time_since_epoch().count());
  std::size_t asked = 0;
  for (const PeerId peer : peers_) {
    // Others each time, without keeping whom.
    const bool chosen = peer != self_ && (stable_hash(peer, salt) & 1U) == 0;
    if (!chosen) continue;
    links_.send(peer, request);
    if (++asked >= kPeersAsked) return;
  }
}

std::uint32_t ManifestSeeker::rank() const {
  const std::uint64_t own = stable_hash(self_, version_);
  const auto before = std::count_if(peers_.begin(), peers_.end(), [&](PeerId peer) {
    return peer != self_ && stable_hash(peer, version_) < own;
  });
  return static_cast<std::uint32_t>(before);
}

void ManifestSeeker::ask_origin() {
  origin_asking_.on_asked();
  const std::weak_ptr<bool> alive = alive_;
  const auto on_answer = [this, alive,
                          generation = generation_](std::optional<WeightManifest> manifest) {
    if (alive.expired() || generation != generation_) return;
    if (!manifest) {
      origin_asking_.on_failed(loop_now());
    } else if (seeking_) {
      on_found_(std::move(*manifest), "origin");
    }
  };
  origin_.fetch_manifest(model_, version_, on_answer);
}

}  // namespace pumicemast
