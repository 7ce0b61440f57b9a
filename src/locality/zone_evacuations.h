/// The zones whose back ends operators have evacuated: they get no new requests.
///
/// A decision core: no I/O. A snapshot of a later state of the platform's store is newer, whichever
/// gateway read it.
#pragma once

#include <set>
#include <string>

#include "common/time.h"
#include "fleet/store_revision.h"

namespace pumicemast {

/// The evacuated zones as they were in one state of the platform's store.
struct EvacuationSnapshot {
  StoreRevision revision;
  std::set<std::string> zones;
};

class ZoneEvacuations {
 public:
  /// When the store was restored from a copy, zones that were evacuated before stay so for a while:
  /// the copy may lack their evacuation.
  /// @return whether the set of evacuated zones has changed.
  bool apply(const EvacuationSnapshot& snapshot, TimePoint now) {
    if (snapshot.revision <= snapshot_.revision) return false;
    const std::set<std::string> before = zones();
    if (snapshot_.revision.known() && snapshot.revision.era > snapshot_.revision.era) {
      retained_ = before;
      retained_until_ = now + kRestoreSettlingTime;
    }
    snapshot_ = snapshot;
    return zones() != before;
  }
  /// Drops zones that are no longer retained. Call periodically.
  /// @return whether the set of evacuated zones has changed.
  bool sweep(TimePoint now) {
    if (retained_.empty() || now < retained_until_) return false;
    const std::set<std::string> before = zones();
    retained_.clear();
    return zones() != before;
  }
  bool evacuated(const std::string& zone) const {
    return snapshot_.zones.contains(zone) || retained_.contains(zone);
  }
  bool any() const { return !snapshot_.zones.empty() || !retained_.empty(); }
  std::set<std::string> zones() const {
    std::set<std::string> result = snapshot_.zones;
    result.insert(retained_.begin(), retained_.end());
    return result;
  }
  /// What the store says, for other gateways.
  const EvacuationSnapshot& snapshot() const { return snapshot_; }

 private:
  EvacuationSnapshot snapshot_;
  std::set<std::string> retained_;  ///< Evacuated before the store was restored.
  TimePoint retained_until_{};
};

}  // namespace pumicemast
