/// The list of back ends as one process passes it on to others of its zone.
///
/// Two gateways of a zone read the list from the platform's store; the others and the agents get it
/// from them: each call to the store is priced, and the links to it are narrow.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fleet/backend_record.h"

namespace pumicemast {

struct BackendChange {
  BackendRecord record;
  bool gone = false;  ///< Only its id and the revision count then.
};

/// What makes the list of one revision into that of a later one.
struct BackendChanges {
  std::uint64_t base = 0;
  std::uint64_t revision = 0;
  bool whole = false;  ///< The entries are the whole list, whatever was known.
  std::vector<BackendChange> entries;
};

/// Knows whether what others pass on follows without a gap on what is known here.
///
/// A decision core: no I/O.
class BackendListFollower {
 public:
  enum class Step {
    apply,
    ignore,            ///< Known already.
    request_full_list  ///< Something in between was missed.
  };

  /// The whole list was read from the store.
  void on_read(std::uint64_t revision) { revision_ = std::max(revision_, revision); }
  /// When the answer is `apply`, the changes count as known from now on.
  Step on_changes(const BackendChanges& changes) {
    if (changes.revision <= revision_) return Step::ignore;
    if (!changes.whole && changes.base > revision_) return Step::request_full_list;
    revision_ = changes.revision;
    return Step::apply;
  }
  /// Somebody else's list is of that revision.
  bool lacks(std::uint64_t revision) const { return revision > revision_; }
  std::uint64_t revision() const { return revision_; }

 private:
  std::uint64_t revision_ = 0;
};

}  // namespace pumicemast
