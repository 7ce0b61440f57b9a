/// Relays the list of back ends within a zone, as sender and as receiver.
///
/// A decision core: no I/O. A gateway that reads the list from the store collects the changes and
/// relays them to the other gateways of its zone; these apply them, and request the whole list when
/// they missed some.
#pragma once

#include <optional>

#include "common/time.h"
#include "fleet/backend_list.h"

namespace pumicemast {

class BackendListRelay {
 public:
  // Read from the store by this gateway.
  void on_list_read(const StoreRevision& revision);
  void on_record(const BackendRecord& record) { changes_.push_back({record, false}); }
  void on_removed(const std::string& id, const StoreRevision& revision);
  /// All changes up to `revision` have been read.
  /// @return the changes since the last call, to be relayed; empty when there are none.
  std::optional<BackendChanges> on_current(const StoreRevision& revision);

  // Received from other gateways.
  BackendListFollower::Step on_changes(const BackendChanges& changes) {
    return follower_.on_changes(changes);
  }
  /// Another gateway advertises that its list has `revision`.
  /// @return whether to request the whole list now.
  bool should_ask(const StoreRevision& revision, TimePoint now);

  /// Revision of the list as known here; 0 for none.
  const StoreRevision& revision() const { return follower_.revision(); }

 private:
  BackendListFollower follower_;
  std::vector<BackendChange> changes_;
  TimePoint next_request_at_{};
};

}  // namespace pumicemast
