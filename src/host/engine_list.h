/// An agent's copy of the list of back ends, read from the store or relayed by gateways.
///
/// A decision core: no I/O. While a gateway of the zone reads the list, the agents of the zone do
/// not: a list of hundreds of engines, read by each agent every two seconds, would saturate the
/// links between regions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "fleet/backend_list.h"

namespace pumicemast {

class EngineList {
 public:
  /// The full list was read from the store.
  void on_list_read(const std::vector<BackendRecord>& records, const StoreRevision& revision);
  /// A gateway relays changes of the list.
  BackendListFollower::Step on_changes(const BackendChanges& changes);
  /// A gateway of the zone reads the list and has it at `revision`.
  /// @return whether to request the full list now.
  bool on_reader_status(const StoreRevision& revision, TimePoint now);
  /// Whether gateways relay changes of the list.
  bool relayed_by_gateways(TimePoint now) const;

  const StoreRevision& revision() const { return follower_.revision(); }
  std::vector<BackendRecord> records() const;

 private:
  void replace(const std::vector<BackendRecord>& records);

  BackendListFollower follower_;
  std::map<std::string, BackendRecord> records_;
  std::optional<TimePoint> reader_seen_at_;
  TimePoint next_request_at_{};
};

}  // namespace pumicemast
