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

namespace pumicemast {

/// A back end that is draining or removed, and the list revision that showed it.
struct BackendDeparture {
  std::string id;
  std::uint64_t revision = 0;
};

class BackendDepartures {
 public:
  /// The list of `revision` shows that the back end is draining or removed.
  void on_listed(const std::string& id, std::uint64_t revision);
  /// The back end itself has said that it is leaving. This holds until the incarnation ends,
  /// whatever the list says: the list may be unreadable or older.
  /// @return whether that is new.
  bool on_announced(const BackendIncarnation& backend, TimePoint now);
  /// Whether the back end of this record is leaving or gone, whatever the record says.
  bool covers(const BackendRecord& record) const;
  bool announced(const BackendIncarnation& backend) const;
  /// When the announcement became known here; empty if there is none.
  std::optional<TimePoint> announced_at(const BackendIncarnation& backend) const;
  /// The back ends whose announcement became known here within the last seconds, the oldest first;
  /// sent to other gateways.
  std::vector<BackendIncarnation> recently_announced(TimePoint now) const;
  std::size_t announced_count() const { return announced_.size(); }
  /// The departures shown by the list, in the order in which they became known.
  const std::deque<BackendDeparture>& recent() const { return order_; }

 private:
  std::map<std::string, std::uint64_t> revisions_;  ///< By id.
  std::deque<BackendDeparture> order_;
  struct Announcement {
    BackendIncarnation backend;
    TimePoint known_since{};
  };
  std::deque<Announcement> announced_;  ///< Newest last.
};

}  // namespace pumicemast
