/// The list of back ends as one process relays it to others of its zone.
///
/// Two gateways of a zone read the list from the platform's store; the other gateways and the
/// agents get it from them: every call to the store is charged for, and the links to it have little
/// bandwidth.
#pragma once

#include <algorithm>
#include <vector>

#include "fleet/backend_record.h"
#include "fleet/store_revision.h"

namespace pumicemast {

struct BackendChange {
  BackendRecord record;
  bool removed = false;  ///< If set, only the record's id and revision are valid.
};

/// The difference between the list of one revision and that of a later one.
struct BackendChanges {
  StoreRevision base;
  StoreRevision revision;
  bool complete = false;  ///< The entries are the complete list and replace what was known.
  std::vector<BackendChange> entries;
};

/// Checks that relayed changes follow without a gap on the list known here.
///
/// A decision core: no I/O.
class BackendListFollower {
 public:
  enum class Step {
    apply,
    ignore,            ///< Already known.
    request_full_list  ///< Changes in between are missing.
  };

  /// The complete list was read from the store.
  void on_read(const StoreRevision& revision) { revision_ = std::max(revision_, revision); }
  /// When the result is `apply`, the changes count as known from now on.
  Step on_changes(const BackendChanges& changes) {
    if (changes.revision <= revision_) return Step::ignore;
    if (!changes.complete && changes.base > revision_) return Step::request_full_list;
    revision_ = changes.revision;
    return Step::apply;
  }
  /// Whether a list of `revision`, which another process has, is newer than the one known here.
  bool is_behind(const StoreRevision& revision) const { return revision > revision_; }
  const StoreRevision& revision() const { return revision_; }

 private:
  StoreRevision revision_;
};

}  // namespace pumicemast
