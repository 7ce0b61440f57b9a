/// Gateways that learn two large configurations from the store and from each other, on virtual
/// time over a network of narrow links. The decisions are those of the gateway's own cores.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "common/time.h"

namespace pumicemast {

struct SpreadSetup {
  std::size_t document_bytes = 700'000;
  std::size_t gateways = 39;
  std::size_t zones = 4;  ///< The first half of them in the store's region.
  std::size_t readers_per_zone = 2;
  double machine_mbit_per_s = 40;
  /// Between two regions each way, less the 4 Mbit/s that requests take.
  double region_mbit_per_s = 18;
  Duration second_version_after = seconds(2);
  /// The first reader of each zone stops sending so long after the first version; zero for never.
  Duration reader_hangs_after = Duration::zero();
  std::uint32_t seed = 1;
};

struct SpreadOutcome {
  bool all_have_newest = false;
  /// From the second version's appearance until the last gateway has it.
  Duration propagation_time = Duration::zero();
  /// Bytes of documents sent from gateways to gateways of another region, in documents.
  double copies_between_regions = 0;
  /// The same over all links, of both versions.
  double copies = 0;
  /// Most bytes that one gateway held for others at once.
  std::size_t peak_queued_bytes = 0;
};

/// Runs until all have the second version, 30 s at most.
SpreadOutcome spread_configurations(const SpreadSetup& setup);

}  // namespace pumicemast
