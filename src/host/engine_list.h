/// The list of back ends as an agent knows it: read from the store, or told by gateways that read
/// it.
///
/// A decision core: no I/O. While a gateway of the zone reads the list, its agents leave the store
/// alone: a list of hundreds of engines, read by each agent every two seconds, would fill the links
/// between regions.
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
  /// The whole list was read from the store.
  void on_list_read(const std::vector<BackendRecord>& records, std::uint64_t revision);
  /// A gateway passes on what changed.
  BackendListFollower::Step on_changes(const BackendChanges& changes);
  /// A gateway of the zone reads the list, which is of that revision there.
  /// @return whether to ask it for the whole list now.
  bool on_reader_status(std::uint64_t revision, TimePoint now);
  /// Whether gateways tell what changes.
  bool relayed_by_gateways(TimePoint now) const;

  std::uint64_t revision() const { return follower_.revision(); }
  std::vector<BackendRecord> records() const;

 private:
  void replace(const std::vector<BackendRecord>& records);

  BackendListFollower follower_;
  std::map<std::string, BackendRecord> records_;
  std::optional<TimePoint> reader_seen_at_;
  TimePoint next_request_at_{};
};

}  // namespace pumicemast
