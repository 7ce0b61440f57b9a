#include "host/staging/inherited_staging.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// When what lies there can't be told, it is left alone for so long: longer than an engine may take
/// to carry out an order without an answer.
constexpr Duration kLongestUnanswered = seconds(15);
/// So many versions are not named within that time.
constexpr std::uint64_t kEarlierVersions = 3;

}  // namespace

void InheritedStaging::on_manifest(const WeightManifest& manifest) {
  manifests_[manifest.version] = manifest.hashes;
}

std::vector<std::uint64_t> InheritedStaging::earlier_versions(std::uint64_t newest,
                                                              std::uint64_t serving) {
  // Nothing older than what the engine serves is ordered.
  const std::uint64_t oldest = std::max<std::uint64_t>(1, serving);
  std::vector<std::uint64_t> versions;
  for (std::uint64_t back = 1; back <= kEarlierVersions && newest >= oldest + back; ++back) {
    versions.push_back(newest - back);
  }
  return versions;
}

std::vector<std::uint64_t> InheritedStaging::wanted_manifests(std::uint64_t newest,
                                                              std::uint64_t serving) const {
  const auto known = manifests_.find(newest);
  if (marked_ || !held_ || known == manifests_.end()) return {};
  if (!fills_all_places(known->second.size())) return {};
  if (holds_whole(known->second)) return {};
  std::vector<std::uint64_t> wanted = earlier_versions(newest, serving);
  std::erase_if(wanted, [this](std::uint64_t version) { return manifests_.contains(version); });
  return wanted;
}

InheritedStagingVerdict InheritedStaging::decide(std::uint64_t newest, std::uint64_t serving,
                                                 TimePoint now) const {
  using Kind = InheritedStagingVerdict::Kind;
  if (marked_) return {Kind::free, 0};
  const auto known = manifests_.find(newest);
  if (!held_ || known == manifests_.end()) return {};
  if (!fills_all_places(known->second.size())) return {Kind::free, 0};
  for (const auto& [version, hashes] : manifests_) {
    if (!holds_whole(hashes)) continue;
    // An order for what the engine serves finds nothing to do.
    if (version == serving) return {Kind::free, 0};
    return {Kind::order_again, version};
  }
  // Chunks that are the newest version's prove nothing: an earlier one may share them.
  const bool of_no_version = wanted_manifests(newest, serving).empty();
  return {of_no_version || too_long_ago(now) ? Kind::free : Kind::undecided, 0};
}

bool InheritedStaging::too_long_ago(TimePoint now) const {
  return now - began_ >= kLongestUnanswered;
}

bool InheritedStaging::fills_all_places(std::size_t count) const {
  if (held_->size() < count) return false;
  return std::all_of(held_->begin(), held_->begin() + static_cast<std::ptrdiff_t>(count),
                     [](const std::optional<Sha256>& hash) { return hash.has_value(); });
}

bool InheritedStaging::holds_whole(const Hashes& hashes) const {
  if (hashes.empty() || held_->size() < hashes.size()) return false;
  return std::equal(hashes.begin(), hashes.end(), held_->begin());
}

}  // namespace pumicemast
