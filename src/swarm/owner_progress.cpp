#include "swarm/owner_progress.h"

namespace pumicemast {
namespace {

/// An owner is judged once at least this many of its chunks are expected to have appeared.
constexpr double kMinimumExpected = 2.5;
/// An owner lags when at most this fraction of the expected chunks has appeared.
constexpr double kLaggingFraction = 0.3;
/// Near the end an owner is judged by its missing chunks. It lags when the missing fraction exceeds
/// kMissingFactor times that of the other owners by more than kMissingMargin. This detects owners
/// whose link became narrow during the download.
constexpr double kMissingFactor = 3;
constexpr double kMissingMargin = 0.2;
/// A single missing chunk counts only once the other owners miss no more than this fraction.
constexpr double kLastChunksFraction = 0.05;

bool lags_early(const OwnerProgress& owner, double others_fraction) {
  const double expected = others_fraction * owner.owned;
  return expected >= kMinimumExpected && owner.appeared <= kLaggingFraction * expected;
}

bool lags_late(const OwnerProgress& owner, double others_fraction) {
  const double others_missing = 1 - others_fraction;
  const std::uint32_t missing = owner.owned - owner.appeared;
  const std::uint32_t minimum_missing = others_missing <= kLastChunksFraction ? 1 : 2;
  return missing >= minimum_missing &&
         missing > (kMissingFactor * others_missing + kMissingMargin) * owner.owned;
}

}  // namespace

std::set<PeerId> find_lagging_owners(const std::map<PeerId, OwnerProgress>& owners) {
  OwnerProgress all;
  for (const auto& [id, progress] : owners) {
    all.owned += progress.owned;
    all.appeared += progress.appeared;
  }
  std::set<PeerId> lagging;
  for (const auto& [id, progress] : owners) {
    const double others_owned = all.owned - progress.owned;
    if (others_owned <= 0) continue;
    const double others_fraction = (all.appeared - progress.appeared) / others_owned;
    if (lags_early(progress, others_fraction) || lags_late(progress, others_fraction)) {
      lagging.insert(id);
    }
  }
  return lagging;
}

}  // namespace pumicemast
