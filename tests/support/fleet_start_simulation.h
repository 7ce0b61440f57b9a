/// Processes of several zones that all start at once and learn the list of back ends and the
/// configuration, on virtual time over a network of narrow links. Who reads the store is decided by
/// the gateway's own cores.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.h"

namespace pumicemast::tests {

/// How a process that starts learns the list.
enum class StartupListSource {
  contact,      ///< One gateway of a zone reads it for the others, as in production.
  object_store  ///< All gateways and agents read it from the store.
};

struct FleetStartSetup {
  std::size_t zones = 3;
  std::size_t regions = 3;  ///< The store stands in the first.
  std::size_t gateways_per_zone = 33;
  std::size_t agents_per_zone = 67;
  std::size_t backends = 3000;
  std::size_t configuration_bytes = 5'000;
  double region_mbit_per_s = 22;
  Duration store_delay = milliseconds(4);  ///< Of each answer.
  Duration start_jitter = milliseconds(300);
  /// A configuration is published so long after the start.
  Duration change_after = seconds(4);
  /// The zone's contact stops sending so long after the start; zero for never.
  Duration contact_hangs_after = Duration::zero();
  StartupListSource list_source = StartupListSource::contact;
  std::uint32_t seed = 1;
};

struct FleetStartOutcome {
  /// From the start until the last gateway has the list; the longest run where one never has it.
  Duration list_propagation_time = Duration::zero();
  /// From the publication until the last gateway has the configuration in force.
  Duration change_propagation_time = Duration::zero();
  double megabytes_from_store_to_other_regions = 0;
  /// Copies of the whole list that the store sent.
  std::size_t lists_read = 0;
  /// Gateways that read the store at the end, in the zone with most of them.
  std::size_t max_readers_per_zone = 0;
};

/// Runs until ten seconds after the publication.
FleetStartOutcome start_fleet(const FleetStartSetup& setup);

}  // namespace pumicemast::tests
