/// Order of the states of the platform's store.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "common/time.h"

namespace pumicemast {

/// A moment in the history of the platform's store. The store numbers its changes; when it is
/// restored from an older copy, a new era begins, in which numbers that were used before are given
/// out again. So numbers are comparable within one era only, and any state of a later era is newer.
struct StoreRevision {
  std::uint64_t era = 0;     ///< 0 for a store that states none.
  std::uint64_t number = 0;  ///< 0: nothing is known.

  StoreRevision() = default;
  /// A revision of a store that states no era.
  StoreRevision(std::uint64_t revision_number) : number(revision_number) {}
  StoreRevision(std::uint64_t store_era, std::uint64_t revision_number)
      : era(store_era), number(revision_number) {}

  bool known() const { return number != 0; }
  auto operator<=>(const StoreRevision&) const = default;
};

inline std::string to_string(const StoreRevision& revision) {
  return std::to_string(revision.era) + "/" + std::to_string(revision.number);
}

/// For how long after a restore the state of the era before is kept where the copy contradicts it.
/// Operators and back ends write again what the copy lacks, and entries of back ends that have
/// ended lapse.
constexpr Duration kRestoreSettlingTime = seconds(10);

}  // namespace pumicemast
