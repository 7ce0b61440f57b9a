/// Selects the engines whose load a gateway receives and to which it sends.
///
/// A pure function: no I/O. Selects all engines of the gateway's zone, and some of each other zone
/// for when the own zone has too few. If every gateway received the load of every engine, the
/// number of messages would grow with the product of gateways and engines.
#pragma once

#include <string>
#include <vector>

#include "common/settings.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct EngineLocation {
  Address address;
  std::string zone;
  bool operator==(const EngineLocation&) const = default;
};

struct EngineSubsetOptions {
  /// Number of engines selected in each other zone. It is high enough that no engine is selected by
  /// only a few gateways by chance, and that a gateway that loses its own zone still has a choice.
  std::size_t per_other_zone = 8;
};

/// Ranks the engines of other zones by a hash of gateway and engine (rendezvous hashing). Gateways
/// select different engines, so that all engines are selected about equally often, and an engine
/// that leaves changes nothing but its own position.
std::vector<EngineLocation> choose_engines(PeerId gateway, const std::string& zone,
                                           const std::vector<EngineLocation>& engines,
                                           EngineSubsetOptions options = {});

}  // namespace pumicemast
