/// Chooses the gateway to request the whole list of back ends from.
///
/// A decision core: no I/O. When all gateways of a zone lack the list, a single holder could not
/// send it to all of them quickly. So every gateway that has received the list serves it, and each
/// gateway asks other holders before it asks the same one again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "fleet/store_revision.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

class BackendListHolders {
 public:
  /// @param self  seeds the hash order of holders that were asked equally often.
  explicit BackendListHolders(PeerId self) : self_(self) {}

  /// `gateway`, which is in the own zone, advertises the revision of its list.
  void on_revision_advertised(PeerId gateway, const StoreRevision& revision) {
    holders_[gateway].revision = revision;
  }
  /// The least often asked holder of a list newer than revision `known`, if any; the call counts it
  /// as asked.
  std::optional<PeerId> next(const StoreRevision& known);

 private:
  struct Holder {
    StoreRevision revision;
    std::uint32_t asked = 0;
  };

  PeerId self_;
  std::map<PeerId, Holder> holders_;
};

}  // namespace pumicemast
