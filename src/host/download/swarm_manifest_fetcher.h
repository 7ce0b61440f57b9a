/// Fetches the manifest of a version of a model from other agents or from the origin.
///
/// Other agents are preferred, so that the origin sends few copies over its narrow link
/// (host/download/origin_request_schedule.h decides when an agent calls the origin). What the
/// origin sends is confirmed by a second request before it is used or reaches other agents.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "host/download/manifest_confirmation.h"
#include "host/download/origin_request_schedule.h"
#include "host/engine_control.h"
#include "transport/peer_links.h"

namespace pumicemast {

class SwarmManifestFetcher {
 public:
  /// Called for each manifest that was fetched and confirmed.
  using OnFound = std::function<void(WeightManifest, const char* source)>;

  SwarmManifestFetcher(std::string model, PeerId self, WeightOrigin& origin, PeerLinks& links,
                       OnFound on_found);

  /// Fetches the manifest of `version` (0: the newest) instead of any earlier one.
  void begin(std::uint64_t version, TimePoint now);
  void stop() { fetching_ = false; }
  void set_peers(std::vector<PeerId> peers) { peers_ = std::move(peers); }
  /// Must be called every few tens of milliseconds.
  void on_tick(TimePoint now);

 private:
  void request_from_peers(TimePoint now);
  void request_from_origin();
  void on_origin_answer(std::optional<WeightManifest> manifest);
  /// Number of agents that call the origin before this one.
  std::uint32_t rank() const;

  std::string model_;
  PeerId self_;
  WeightOrigin& origin_;
  PeerLinks& links_;
  OnFound on_found_;
  std::vector<PeerId> peers_;
  std::uint64_t version_ = 0;
  std::uint64_t generation_ = 0;  ///< Responses to earlier requests are ignored.
  bool fetching_ = false;
  OriginRequestSchedule origin_schedule_;
  ManifestConfirmation confirmation_;
  TimePoint next_peer_request_{};
  /// Expires with this object, so that later responses of the origin are ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pumicemast
