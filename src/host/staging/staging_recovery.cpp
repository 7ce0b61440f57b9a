#include "host/staging/staging_recovery.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// How long staged chunks are kept when their version cannot be identified: longer than an engine
/// may take to carry out an unanswered order.
constexpr Duration kEarlierOrderLifetime = seconds(15);
/// More versions than this are not named within that time.
constexpr std::uint64_t kMaximumEarlierVersions = 3;

}  // namespace

void StagingRecovery::on_manifest(const WeightManifest& manifest) {
  manifests_[manifest.version] = manifest.hashes;
}

std::vector<std::uint64_t> StagingRecovery::earlier_versions(std::uint64_t newest,
                                                             std::uint64_t serving) {
  // No version older than the served one is ever ordered.
  const std::uint64_t oldest = std::max<std::uint64_t>(1, serving);
  std::vector<std::uint64_t> versions;
  for (std::uint64_t back = 1; back <= kMaximumEarlierVersions && newest >= oldest + back; ++back) {
    versions.push_back(newest - back);
  }
  return versions;
}

std::vector<std::uint64_t> StagingRecovery::missing_manifests(std::uint64_t newest,
                                                              std::uint64_t serving) const {
  const auto known = manifests_.find(newest);
  if (has_marker_ || !staged_ || known == manifests_.end()) return {};
  if (!all_chunks_staged(known->second.size())) return {};
  if (holds_complete(known->second)) return {};
  std::vector<std::uint64_t> missing = earlier_versions(newest, serving);
  std::erase_if(missing, [this](std::uint64_t version) { return manifests_.contains(version); });
  return missing;
}

StagingRecoveryDecision StagingRecovery::decide(std::uint64_t newest, std::uint64_t serving,
                                                TimePoint now) const {
  using Kind = StagingRecoveryDecision::Kind;
  if (has_marker_) return {Kind::writable, 0};
  const auto known = manifests_.find(newest);
  if (!staged_ || known == manifests_.end()) return {};
  if (!all_chunks_staged(known->second.size())) return {Kind::writable, 0};
  for (const auto& [version, hashes] : manifests_) {
    if (!holds_complete(hashes)) continue;
    // An order for the version that the engine serves has no effect.
    if (version == serving) return {Kind::writable, 0};
    return {Kind::reissue_order, version};
  }
  // Chunks of the newest version prove nothing: an earlier version may share them.
  const bool no_version_matches = missing_manifests(newest, serving).empty();
  return {no_version_matches || earlier_orders_expired(now) ? Kind::writable : Kind::undecided, 0};
}

bool StagingRecovery::earlier_orders_expired(TimePoint now) const {
  return now - started_at_ >= kEarlierOrderLifetime;
}

bool StagingRecovery::all_chunks_staged(std::size_t count) const {
  if (staged_->size() < count) return false;
  return std::all_of(staged_->begin(), staged_->begin() + static_cast<std::ptrdiff_t>(count),
                     [](const std::optional<Sha256>& hash) { return hash.has_value(); });
}

bool StagingRecovery::holds_complete(const Hashes& hashes) const {
  if (hashes.empty() || staged_->size() < hashes.size()) return false;
  return std::equal(hashes.begin(), hashes.end(), staged_->begin());
}

}  // namespace pumicemast
