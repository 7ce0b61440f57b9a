/// Simulates how two large configurations reach all gateways, from the store and from each other,
/// on virtual time and over links with little bandwidth. The decision cores are those of the
/// gateway.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "common/time.h"

namespace pumicemast {

struct SpreadSetup {
  std::size_t document_bytes = 700'000;
  std::size_t gateways = 39;
  std::size_t zones = 4;  ///< The first half of them are in the store's region.
  std::size_t readers_per_zone = 2;
  double machine_mbit_per_s = 40;
  /// Bandwidth between two regions in each direction, without the 4 Mbit/s that requests use.
  double region_mbit_per_s = 18;
  Duration second_version_after = seconds(2);
  /// Time from the first version until the first store reader of each zone hangs; zero: never.
  Duration reader_hangs_after = Duration::zero();
  std::uint32_t seed = 1;
};

struct SpreadOutcome {
  bool all_have_newest = false;
  /// From the publication of the second version until the last gateway has it in force.
  Duration propagation_time = Duration::zero();
  /// Document bytes that gateways sent to other regions, divided by the size of a document.
  double copies_between_regions = 0;
  /// Document bytes that gateways sent in total, divided by the size of a document.
  double copies = 0;
  /// Highest number of bytes queued for sending at one gateway.
  std::size_t peak_queued_bytes = 0;
};

/// Runs until all gateways have the second version, for at most 30 s after its publication.
SpreadOutcome spread_configurations(const SpreadSetup& setup);

}  // namespace pumicemast
