/// What an agent's part in a swarm is tuned by.
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
  /// From the first list of participants until the first draw from outside. Who joins late, as
  /// after a restart, first hears from its neighbours what they hold: it need not leave the
  /// origin a second time.
  Duration external_fetch_delay = Duration::zero();
  std::uint32_t upload_slots = 2;  ///< Chunks handed to the link at once.
  std::uint32_t upload_queue_limit = 16;
  /// How many of a chunk's owners draw it from the origin: 1 spares the origin most.
  std::uint32_t origin_copies = 1;
  Duration announce_interval = milliseconds(50);
  /// A request fails when its peer delivered nothing for several times the usual response
  /// time, within these limits; the first is used before any response was measured.
  Duration initial_request_timeout = seconds(10);
  Duration minimum_request_timeout = seconds(1);
  Duration maximum_request_timeout = seconds(120);
  Duration origin_timeout = seconds(60);
  /// An owner that was asked before it had the chunk is passed over after this.
  Duration subscription_timeout = seconds(60);
  /// When no chunk that is missing here appeared nearby for so long, and for many times the
  /// usual gap between two that do, the next owners in rank bring in those that did not.
  Duration takeover_interval = seconds(3);
  /// Owners are compared this often; those that lag far behind are passed over. Zero: never.
  Duration lag_check_interval = Duration::zero();
  /// While the origin fails it is probed this often.
  Duration origin_probe_interval = seconds(10);
  /// Pause before a failed chunk's sequence of sources begins again.
  Duration source_pause = seconds(1);
  PeerTrust trust;
  PickPolicy pick_policy = PickPolicy::rarest_first;
  // For baselines only:
  bool origin_for_all = false;  ///< Everyone may draw every chunk from the origin.
  bool use_peers = true;
};

/// What a rollout weighs more.
enum class SwarmObjective { time, origin_bytes };

/// Sets the options in which the objectives differ (docs/design/swarm.md has the figures).
void apply_objective(SwarmObjective objective, SwarmOptions& options);

}  // namespace pumicemast
