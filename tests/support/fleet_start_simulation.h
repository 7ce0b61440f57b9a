/// Simulates a start of all processes of several zones at once, which fetch the list of back ends
/// and the configuration, on virtual time and over links with little bandwidth. The gateway's
/// decision cores select the gateways that read the store.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.h"

namespace pumicemast::tests {

/// Source of the list of back ends for a process that starts.
enum class StartupListSource {
  contact,      ///< As in production: one gateway of a zone reads the store for the others.
  object_store  ///< All gateways and agents read the store.
};

/// Source of the profile of its engine for an agent that starts.
enum class EngineProfileSource {
  gateways,     ///< As in production: gateways send it to agents that report that they need it.
  object_store  ///< Each agent reads the configuration from the store, with a time limit.
};

struct FleetStartSetup {
  std::size_t zones = 3;
  std::size_t regions = 3;  ///< The store is in the first.
  std::size_t gateways_per_zone = 33;
  std::size_t agents_per_zone = 67;
  std::size_t backends = 3000;
  std::size_t configuration_bytes = 5'000;
  double region_mbit_per_s = 22;
  Duration store_delay = milliseconds(4);  ///< Of each response.
  Duration start_jitter = milliseconds(300);
  /// Time from the start until a configuration is published.
  Duration change_after = seconds(4);
  /// Time from the start until the contact of each zone hangs; zero: never.
  Duration contact_hangs_after = Duration::zero();
  StartupListSource list_source = StartupListSource::contact;
  EngineProfileSource profile_source = EngineProfileSource::gateways;
  std::uint32_t seed = 1;
};

struct FleetStartOutcome {
  /// From the start until the last gateway has the list; the length of the run if one never gets
  /// it.
  Duration list_propagation_time = Duration::zero();
  /// From the publication until the last gateway has the configuration in force; 10 s at most.
  Duration change_propagation_time = Duration::zero();
  /// From the start until the last agent knows its engine's profile; the length of the run if one
  /// never does.
  Duration profile_propagation_time = Duration::zero();
  double megabytes_from_store_to_other_regions = 0;
  /// Number of times that a process began to read the full list from the store.
  std::size_t lists_read = 0;
  /// Number of store readers at the end, in the zone with the most.
  std::size_t max_readers_per_zone = 0;
};

/// Runs until ten seconds after the publication.
FleetStartOutcome start_fleet(const FleetStartSetup& setup);

}  // namespace pumicemast::tests
