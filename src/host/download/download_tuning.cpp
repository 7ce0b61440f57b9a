#include "host/download/download_tuning.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

constexpr Duration kAnnounceInterval = milliseconds(15);
constexpr Duration kLagCheckInterval = milliseconds(100);
/// An agent that is behind, as after a restart, may have more than one origin request in flight.
constexpr std::uint32_t kMaximumOriginWindow = 2;
/// Fraction of the origin's connections for chunks; manifests need some too.
constexpr double kOriginConnectionFraction = 0.9;
constexpr Duration kOriginProbeInterval = milliseconds(500);
constexpr Duration kSourcePause = milliseconds(200);
/// After a refusal or failure the origin is called again after 0.5 to 1.5 times this delay, with
/// new jitter each time. The delay does not grow: after the origin's return, the version is
/// complete only once the last owner of a chunk has called it again.
constexpr Duration kOriginRetryDelay = milliseconds(300);

std::uint32_t origin_window(std::uint32_t connections, std::size_t agents) {
  const double share = connections * kOriginConnectionFraction /
                       static_cast<double>(std::max<std::size_t>(1, agents));
  return std::clamp(static_cast<std::uint32_t>(share), 1U, kMaximumOriginWindow);
}

}  // namespace

SwarmOptions download_options(PeerId self, std::uint64_t version, std::size_t agents,
                              std::uint32_t origin_connections) {
  SwarmOptions options;
  options.self = self;
  options.seed = stable_hash(self, version);
  options.window = kChunkWindow;
  options.upload_slots = kUploadSlots;
  options.origin_window = origin_window(origin_connections, agents);
  options.origin_probe_interval = kOriginProbeInterval;
  options.source_pause = kSourcePause;
  options.announce_interval = kAnnounceInterval;
  options.initial_request_timeout = seconds(2);
  // On a slow link a chunk that is requested again from another peer would arrive twice.
  options.minimum_request_timeout = milliseconds(1500);
  options.maximum_request_timeout = seconds(4);
  // A stalled call fails by itself; a slow one that timed out would have to be sent again.
  options.origin_timeout = seconds(30);
  options.subscription_timeout = seconds(3);
  options.takeover_interval = milliseconds(700);
  options.lag_check_interval = kLagCheckInterval;
  return options;
}

Duration origin_retry_delay(PeerId self, std::uint32_t failures) {
  const std::uint64_t hash = stable_hash(self, std::uint64_t{failures});
  const auto jitter_range = static_cast<std::uint64_t>(kOriginRetryDelay.count());
  return kOriginRetryDelay / 2 + Duration(static_cast<Duration::rep>(hash % jitter_range));
}

}  // namespace pumicemast
