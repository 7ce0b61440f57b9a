/// Chooses whom to ask for the whole list of back ends.
///
/// A decision core: no I/O. Where all of a zone lack the list, one gateway could not send it to all
/// of them soon: who has it passes it on, and each asks others before it asks the same one again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "swarm/swarm_membership.h"

namespace pumicemast {

class BackendListHolders {
 public:
  /// @param self  sets apart whom different gateways ask first.
  explicit BackendListHolders(PeerId self) : self_(self) {}

  /// The list of `gateway`, of the own zone, is of that revision.
  void on_revision_advertised(PeerId gateway, std::uint64_t revision) {
    holders_[gateway].revision = revision;
  }
  /// The holder of a list newer than `known` that was asked least often; it counts as asked.
  std::optional<PeerId> next(std::uint64_t known);

 private:
  struct Holder {
    std::uint64_t revision = 0;
    std::uint32_t asked = 0;
  };

  PeerId self_;
  std::map<PeerId, Holder> holders_;
};

}  // namespace pumicemast
