#include "host/download/manifest_seeker.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

constexpr Duration kAskInterval = milliseconds(150);
/// Most agents wait so long for a few that ask the origin, and one after the other from then on:
/// all at once, 298 manifests took as long on its link as the weights.
constexpr Duration kPatience = milliseconds(250);
constexpr Duration kPatiencePerAgent = milliseconds(40);
constexpr Duration kLongestPatience = seconds(3);
/// After the origin failed it is asked again after so long; doubled with each failure in a row.
constexpr Duration kFirstOriginPause = milliseconds(300);
constexpr std::uint32_t kMostDoublings = 3;
constexpr std::size_t kFirstAtOrigin = 2;
constexpr std::size_t kPeersAsked = 2;
constexpr std::size_t kHashBytes = sizeof(Sha256);

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
  origin_asked_ = false;
  origin_failures_ = 0;
  next_origin_ask_ = now + patience();
  next_ask_ = now;
  on_tick(now);
}

void ManifestSeeker::on_tick(TimePoint now) {
  if (!seeking_ || now < next_ask_) return;
  next_ask_ = now + kAskInterval;
  ask_peers(now);
  if (now >= next_origin_ask_ && !origin_asked_) ask_origin();
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

Duration ManifestSeeker::patience() const {
  const std::uint64_t own = stable_hash(self_, version_);
  const auto before = std::count_if(peers_.begin(), peers_.end(), [&](PeerId peer) {
    return peer != self_ && stable_hash(peer, version_) < own;
  });
  if (static_cast<std::size_t>(before) < kFirstAtOrigin) return Duration::zero();
  return std::min(kLongestPatience, kPatience + kPatiencePerAgent * before);
}

void ManifestSeeker::ask_origin() {
  origin_asked_ = true;
  const std::weak_ptr<bool> alive = alive_;
  const auto on_answer = [this, alive,
                          generation = generation_](std::optional<WeightManifest> manifest) {
    if (alive.expired() || generation != generation_) return;
    origin_asked_ = false;
    if (manifest) {
      if (seeking_) on_found_(std::move(*manifest), "origin");
      return;
    }
    next_origin_ask_ =
        loop_now() + kFirstOriginPause * (1 << std::min(origin_failures_, kMostDoublings));
    ++origin_failures_;
  };
  origin_.fetch_manifest(model_, version_, on_answer);
}

wire::ManifestDocumentT ManifestSeeker::encode(const WeightManifest& manifest) {
  wire::ManifestDocumentT message;
  message.model = manifest.model;
  message.version = manifest.version;
  message.chunk_bytes = manifest.chunk_bytes;
  message.layers = manifest.layers;
  for (const Sha256& hash : manifest.hashes) {
    message.hashes.insert(message.hashes.end(), hash.begin(), hash.end());
  }
  return message;
}

WeightManifest ManifestSeeker::decode(const wire::ManifestDocument& document) {
  WeightManifest manifest;
  manifest.model = document.model()->str();
  manifest.version = document.version();
  manifest.chunk_bytes = document.chunk_bytes();
  manifest.layers = document.layers();
  if (document.hashes() == nullptr) return manifest;
  for (std::size_t at = 0; at + kHashBytes <= document.hashes()->size(); at += kHashBytes) {
    Sha256 hash{};
    std::copy_n(document.hashes()->data() + at, kHashBytes, hash.begin());
    manifest.hashes.push_back(hash);
  }
  return manifest;
}

}  // namespace pumicemast
