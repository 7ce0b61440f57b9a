/// A back end as service discovery and its own reports describe it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "common/settings.h"
#include "common/time.h"
#include "fleet/rate_limit.h"
#include "fleet/store_revision.h"

namespace pumicemast {

/// Identifies one incarnation of a back end's process: a restart creates a new one, with another id
/// or a later start.
struct BackendIncarnation {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time by its own clock; 0 if not reported.

  auto operator<=>(const BackendIncarnation&) const = default;
};

/// What is known about one incarnation of a back end. A restart creates a new one: with another id,
/// or with the same id and a later start.
struct BackendRecord {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time by its own clock; 0 if not reported.
  std::string service;
  Address address;
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Revision of the list entry; a higher one is newer.
  StoreRevision revision;
  /// Weight version of which all layers are held and served; 0 for none, or for a plain service.
  std::uint64_t weight_version = 0;
  /// When its start-up phase ends, during which it bears fewer requests; in the past when it is
  /// over.
  TimePoint cold_until{};
};

/// The load of an engine, as last read by the agent on its machine.
struct LoadReport {
  bool alive = false;  ///< The engine answered its agent.
  bool busy = false;   ///< The engine is changing weights.
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t weight_version = 0;  ///< Completely held and served; 0 for none.
  double slowdown = 1;       ///< Measured time over the profile's time; above 1 the engine is slow.
  std::uint32_t credit = 0;  ///< New requests that may be sent until the next report.
  /// Prompt tokens of other gateways' requests that the engine has not read yet.
  std::uint32_t others_pending_tokens = 0;
  /// Time from the report until the engine leaves service to change weights; empty if not planned.
  std::optional<Duration> leaves_in;
  std::uint32_t gateways = 0;  ///< Gateways that the agent sends reports to.
  /// Number of orders that the engine has begun to carry out since its start; known only to its
  /// agent.
  std::uint64_t order_sequence = 0;
  /// Start time of the engine by its own clock; 0 if not reported.
  std::int64_t started_at_ms = 0;
  /// How many of `gateways` are in the zone that has the most of them.
  std::uint32_t largest_zone_gateways = 0;
  RateLimit limit;  ///< As known to the agent.
  /// The agent keeps a queue of requests that wait for a slot (scheduling/slot_queue.h).
  bool queues_slot_requests = false;
  std::uint32_t slot_requests = 0;  ///< Requests in that queue.
  bool leaving = false;             ///< The engine announces to its agent that it is leaving.
};

}  // namespace pumicemast
