/// Settings of an agent's part in a swarm.
#pragma once

#include <cstdint>

#include "common/time.h"
#include "swarm/chunk_picker.h"
#include "swarm/peer_record.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct SwarmOptions {
  PeerId self = 0;
  std::uint64_t seed = 1;
  std::uint32_t window = 8;  ///< Open requests to neighbours; bounds memory.
  std::uint32_t window_per_peer = 2;
  std::uint32_t origin_window = 2;
  /// Delay from the first list of participants to the first request to the origin or other regions.
  /// An agent that joins late, as after a restart, first learns which chunks its neighbours hold;
  /// the origin need not send those again.
  Duration external_fetch_delay = Duration::zero();
  std::uint32_t upload_slots = 2;  ///< Chunks handed to the link at the same time.
  std::uint32_t upload_queue_limit = 16;
  /// How many of a chunk's owners fetch it from the origin; 1 gives the least load on the origin.
  std::uint32_t origin_copies = 1;
  Duration announce_interval = milliseconds(50);
  /// A request fails when its peer delivered nothing for several times the average response time,
  /// bounded by the minimum and maximum. The initial value applies before any response was
  /// measured.
  Duration initial_request_timeout = seconds(10);
  Duration minimum_request_timeout = seconds(1);
  Duration maximum_request_timeout = seconds(120);
  Duration origin_timeout = seconds(60);
  /// Maximum wait for a chunk from an owner that did not hold it yet; then the next source is
  /// tried.
  Duration subscription_timeout = seconds(60);
  /// If no missing chunk appeared in the neighbourhood for this long, and for many times the
  /// average gap between new chunks, the owners next in rank take over the missing chunks.
  Duration takeover_interval = seconds(3);
  /// Interval between comparisons of owners; others take over from owners that lag far behind. Zero
  /// turns the comparison off.
  Duration lag_check_interval = Duration::zero();
  /// Interval between probes while the origin fails.
  Duration origin_probe_interval = seconds(10);
  /// Pause before the sequence of sources for a failed chunk starts again.
  Duration source_pause = seconds(1);
  PeerTrust trust;
  PickPolicy pick_policy = PickPolicy::rarest_first;
  // For baselines only:
  bool origin_for_all = false;  ///< All agents may fetch every chunk from the origin.
  bool use_peers = true;
};

/// What a rollout optimises first.
enum class SwarmObjective { time, origin_bytes };

/// Sets the options in which the objectives differ (docs/design/swarm.md has the figures).
void apply_objective(SwarmObjective objective, SwarmOptions& options);

}  // namespace pumicemast
