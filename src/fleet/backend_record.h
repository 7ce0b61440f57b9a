/// A back end as service discovery and its own reports describe it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "common/settings.h"
#include "common/time.h"
#include "fleet/rate_limit.h"

namespace pumicemast {

/// One life of a back end's process: a restart makes another, with another id or a later start.
struct BackendIncarnation {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time by its own clock; 0 when it did not say.

  auto operator<=>(const BackendIncarnation&) const = default;
};

/// One incarnation of a back end. A restart makes a new one: with another id, or under the same
/// with a later start.
struct BackendRecord {
  std::string id;
  std::int64_t started_at_ms = 0;  ///< Unix time by its own clock; 0 when it did not say.
  std::string service;
  Address address;
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Of the list's entry: a higher one is newer.
  std::uint64_t revision = 0;
  /// Version of which all layers are held and serve; 0 for none, or for a plain service.
  std::uint64_t weight_version = 0;
};

/// The load of an engine, as the agent on its machine last read it.
struct LoadReport {
  bool alive = false;  ///< The engine answered its agent.
  bool busy = false;   ///< It is changing weights.
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t weight_version = 0;  ///< Held whole and serving; 0 for none.
  double slowdown = 1;               ///< Over 1: slower than its profile.
  std::uint32_t credit = 0;          ///< New requests that may be sent until the next report.
  /// Prompt tokens that other gateways' requests wait to be read there.
  std::uint32_t others_unread_tokens = 0;
  /// Until the engine leaves service to change weights, from the report on; if that is planned.
  std::optional<Duration> leaves_in;
  std::uint32_t gateways = 0;  ///< To which its agent reports.
  /// Orders that the engine has begun to carry out since it was started; its agent alone knows.
  std::uint64_t order_sequence = 0;
  /// When the engine was started, by its own clock; 0 when it did not say.
  std::int64_t started_at_ms = 0;
  /// Of these, those in the zone that has most.
  std::uint32_t largest_zone_gateways = 0;
  RateLimit limit;  ///< As the agent knows it.
};

}  // namespace pumicemast
