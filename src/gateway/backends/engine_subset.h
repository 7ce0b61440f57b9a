/// Which engines a gateway hears of and sends to.
///
/// A pure function: no I/O. All of its own zone, and some of each other zone, for when its own has
/// too few. Were every gateway told the load of every engine, messages would grow with the product
/// of their numbers.
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
  /// Engines of each other zone: enough that no engine is left to few gateways by chance, and that
  /// a gateway whose own zone is lost still chooses among several.
  std::size_t per_other_zone = 8;
};

/// Ranks by hash of both: gateways choose differently, so that all engines are chosen about alike,
/// and an engine that leaves moves nothing but its own place.
std::vector<EngineLocation> choose_engines(PeerId gateway, const std::string& zone,
                                           const std::vector<EngineLocation>& engines,
                                           EngineSubsetOptions options = {});

}  // namespace pumicemast
