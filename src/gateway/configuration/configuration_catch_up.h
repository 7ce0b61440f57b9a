/// Decides when to fetch a newer configuration from another gateway, and from which one.
///
/// A decision core: no I/O. The store usually delivers a configuration to every gateway within
/// moments; fetching it from peers as well would send a large document to every gateway twice. So a
/// gateway requests it from a peer only after the store has had time to deliver it, and from one
/// peer at a time. It turns to another peer when no more data arrives, not when the whole document
/// takes long. Gateways of one zone take turns in asking other zones, because links between zones
/// have little bandwidth.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct CatchUpOptions {
  /// Time for the store to deliver a version that another gateway already has in force.
  Duration store_wait = milliseconds(400);
  /// As store_wait, while no configuration is in force here and no request can be served.
  Duration first_store_wait = milliseconds(150);
  /// A gateway that has sent no data for this time is skipped. If data arrives after that, the
  /// timeout doubles, until a newer version is in force here: on a full link pieces take longer,
  /// and requesting again what is already on its way would add to its load.
  Duration progress_timeout = milliseconds(600);
  std::uint32_t max_doublings = 3;  ///< Of progress_timeout.
  /// Delay between the gateways of one zone in asking other zones: most documents arrive within it,
  /// and the remaining gateways of the zone fetch them from the first one.
  Duration other_zone_stagger = milliseconds(800);
  /// Upper bound of the jitter that is added for all but the first gateway of a zone, so that the
  /// gateways of a zone do not ask other zones at once.
  Duration max_other_zone_jitter = seconds(6);
  /// A gateway of the own zone that has sent no digest for this time loses its turn.
  Duration zone_peer_timeout = milliseconds(1500);
};

class ConfigurationCatchUp {
 public:
  /// @param self  seeds the hash order in which this gateway asks others.
  explicit ConfigurationCatchUp(PeerId self, CatchUpOptions options = {})
      : self_(self), options_(options) {}

  /// `gateway` advertises that it has `version` in force.
  /// @param same_zone  whether it is in the own zone, where a document is cheap to transfer.
  void on_version_advertised(PeerId gateway, std::uint64_t version, bool same_zone, TimePoint now);
  /// Whether this gateway reads configurations from the store; if not, a gateway of the same zone
  /// is asked without waiting for the store.
  void set_reads_store(bool reads) { reads_store_ = reads; }
  /// `version` is in force here.
  void on_in_force(std::uint64_t version);
  /// Whether another gateway is known to have a newer version.
  bool behind() const { return !first_advertised_at_.empty(); }
  /// The gateway to ask now, if any; the caller sends the request.
  std::optional<PeerId> next_request(TimePoint now);
  /// A piece of the requested document has arrived.
  void on_progress(TimePoint now);
  /// The version that `gateway` advertised last; 0 for none.
  std::uint64_t advertised_version(PeerId gateway) const;
  /// When another gateway first advertised `version` or a newer one; empty if none did.
  std::optional<TimePoint> first_advertised(std::uint64_t version) const;

 private:
  PeerId self_;
  CatchUpOptions options_;
  std::uint64_t version_ = 0;  ///< Version in force here; 0 for none.
  struct Holder {
    std::uint64_t version = 0;
    bool same_zone = false;
    TimePoint advertised_at{};
  };
  bool has_same_zone_holder() const;
  /// Whether a gateway of another zone may be asked now.
  /// @param since  time since a newer version was first advertised.
  bool other_zone_turn_reached(Duration since, Duration store_wait, TimePoint now) const;

  bool reads_store_ = true;
  std::map<PeerId, Holder> holders_;
  /// When each version newer than the own one was first advertised.
  std::map<std::uint64_t, TimePoint> first_advertised_at_;
  std::set<PeerId> asked_;       ///< Gateways asked since the own version last changed.
  bool holder_skipped_ = false;  ///< Whether one was skipped since the last piece arrived.
  std::uint32_t doublings_ = 0;
  std::optional<TimePoint> asked_at_;
};

}  // namespace pumicemast
