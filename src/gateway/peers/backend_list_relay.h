/// A gateway's part in passing on the list of back ends within its zone.
///
/// A decision core: no I/O. A gateway that reads the list from the store gathers what changed and
/// has it told to the others; the others take it and ask for the whole list when they missed some.
#pragma once

#include <optional>

#include "common/time.h"
#include "fleet/backend_list.h"

namespace pumicemast {

class BackendListRelay {
 public:
  // What this gateway reads itself.
  void on_listed(std::uint64_t revision);
  void on_record(const BackendRecord& record) { changes_.push_back({record, false}); }
  void on_removed(const std::string& id, std::uint64_t revision);
  /// Everything up to `revision` was told.
  /// @return what the others of the zone lack; empty when nothing changed.
  std::optional<BackendChanges> on_current(std::uint64_t revision);

  // What others pass on.
  BackendListFollower::Step on_changes(const BackendChanges& changes) {
    return follower_.on_changes(changes);
  }
  /// Another gateway's list is of that revision.
  /// @return whether to ask it for the whole list now.
  bool should_ask(std::uint64_t revision, TimePoint now);

  /// Of the list as it is known here.
  std::uint64_t revision() const { return follower_.revision(); }

 private:
  BackendListFollower follower_;
  std::vector<BackendChange> changes_;
  TimePoint next_request_at_{};
};

}  // namespace pumicemast
