/// Finds out what the wanted version of a model consists of.
///
/// Manifests come from other agents where they have them, so that the origin's narrow link
/// sends few copies (host/download/origin_request_schedule.h says who asks it when).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "host/download/origin_request_schedule.h"
#include "host/engine_control.h"
#include "transport/peer_links.h"

namespace pumicemast {

class SwarmManifestFetcher {
 public:
  /// Called for each manifest that was found; it may be of a newer version than was asked for.
  using OnFound = std::function<void(WeightManifest, const char* source)>;

  SwarmManifestFetcher(std::string model, PeerId self, WeightOrigin& origin, PeerLinks& links,
                       OnFound on_found);

  /// Seeks `version` (0: the newest) from now on, and nothing else.
  void begin(std::uint64_t version, TimePoint now);
  void stop() { fetching_ = false; }
  void set_peers(std::vector<PeerId> peers) { peers_ = std::move(peers); }
  /// Call every few hundredths of a second.
  void on_tick(TimePoint now);

 private:
  void request_from_peers(TimePoint now);
  void request_from_origin();
  /// How many agents come before this one at the origin.
  std::uint32_t rank() const;

  std::string model_;
  PeerId self_;
  WeightOrigin& origin_;
  PeerLinks& links_;
  OnFound on_found_;
  std::vector<PeerId> peers_;
  std::uint64_t version_ = 0;
  std::uint64_t generation_ = 0;  ///< Answers to what was asked before are dropped.
  bool fetching_ = false;
  OriginRequestSchedule origin_schedule_;
  TimePoint next_peer_request_{};
  /// Answers of the origin that come after this object are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pumicemast
