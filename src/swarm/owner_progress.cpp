#include "swarm/owner_progress.h"

namespace pumicemast {
namespace {

/// An owner is judged by what has appeared once so many of its chunks should have.
constexpr double kMinimumExpected = 2.5;
/// It lags with less than this share of what is expected.
constexpr double kLaggingFraction = 0.3;
/// Near the end an owner is judged by what is missing: it lags with this much more than so many
/// times the others' share. One whose link became narrow on the way shows only then.
constexpr double kMissingFactor = 3;
constexpr double kMissingMargin = 0.2;
/// Before the others miss as little as this, a single missing chunk is no sign.
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
