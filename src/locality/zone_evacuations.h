/// The zones whose back ends operators have evacuated: they get no new requests.
///
/// A decision core: no I/O. The platform's store numbers all of its changes, so a snapshot with a
/// higher revision is newer, whichever gateway read it.
#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace pumicemast {

/// The evacuated zones as they were at one revision of the platform's store.
struct EvacuationSnapshot {
  std::uint64_t revision = 0;  ///< 0: nothing is known.
  std::set<std::string> zones;
};

class ZoneEvacuations {
 public:
  /// @return whether the set of evacuated zones has changed.
  bool apply(const EvacuationSnapshot& snapshot) {
    if (snapshot.revision <= snapshot_.revision) return false;
    const bool changed = snapshot.zones != snapshot_.zones;
    snapshot_ = snapshot;
    return changed;
  }
  bool evacuated(const std::string& zone) const { return snapshot_.zones.contains(zone); }
  bool any() const { return !snapshot_.zones.empty(); }
  const EvacuationSnapshot& snapshot() const { return snapshot_; }

 private:
  EvacuationSnapshot snapshot_;
};

}  // namespace pumicemast
