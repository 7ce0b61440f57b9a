/// Remembers which back ends are leaving or gone, and how that became known.
///
/// A decision core: no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "fleet/backend_record.h"
#include "fleet/store_revision.h"

namespace pumicemast {

/// A back end that is draining or removed according to the list.
struct BackendDeparture {
  BackendIncarnation backend;
  StoreRevision revision;  ///< Of the list that showed it.
  bool draining = false;   ///< Its entry said so; otherwise the entry was removed.
};

class BackendDepartures {
 public:
  void on_listed(const BackendDeparture& departure);
  /// The back end itself has said that it is leaving. This holds until the incarnation ends,
  /// whatever the list says: the list may be unreadable or older.
  /// @return whether that is new.
  bool on_announced(const BackendIncarnation& backend, TimePoint now);
  /// A list of this revision is in use.
  void on_list_revision(const StoreRevision& revision, TimePoint now);
  /// Whether the back end of this record is leaving or gone, whatever the record says.
  bool covers(const BackendRecord& record, TimePoint now) const;
  bool announced(const BackendIncarnation& backend) const;
  /// When the announcement became known here; empty if there is none.
  std::optional<TimePoint> announced_at(const BackendIncarnation& backend) const;
  /// The back ends whose announcement became known here within the last seconds, the oldest first;
  /// sent to other gateways.
  std::vector<BackendIncarnation> recently_announced(TimePoint now) const;
  std::size_t announced_count() const { return announced_.size(); }
  /// The latest departures shown by the list, in the order in which they became known; sent to
  /// other gateways.
  std::vector<BackendDeparture> recent() const;

 private:
  std::map<std::string, BackendDeparture> listed_;     ///< By id.
  std::deque<std::string> listed_order_;               ///< Ids of `listed_`, the newest last.
  std::map<BackendIncarnation, TimePoint> announced_;  ///< When it became known here.
  std::deque<BackendIncarnation> announced_order_;     ///< Keys of `announced_`, newest last.
  std::uint64_t era_ = 0;                              ///< Newest era of the list.
  TimePoint era_since_{};
};

}  // namespace pumicemast
