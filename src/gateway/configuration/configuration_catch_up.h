/// Decides when to fetch a newer configuration from another gateway, and from which one.
///
/// A decision core: no I/O. The store usually brings a configuration to every gateway within
/// moments; fetching it from each other as well multiplies a large document by the number of
/// gateways twice. So a gateway asks only when the store has had its time, and one at a time; it
/// asks another one when nothing arrives any more, not when the whole takes long. Gateways of
/// other zones are asked by one of a zone after the other: links between zones are narrow.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct CatchUpOptions {
  /// The store has so long to bring a version that another gateway has in force.
  Duration store_wait = milliseconds(400);
  /// The same while no configuration is in force here, when nothing can be served.
  Duration first_store_wait = milliseconds(150);
  /// A gateway that has sent nothing for so long is passed over. If something arrives after that,
  /// the limit doubles until a newer version is in force here: on a full link pieces take longer,
  /// and asking again for what is on its way would fill it further.
  Duration progress_timeout = milliseconds(600);
  std::uint32_t max_doublings = 3;
  /// Each further gateway of a zone asks in another zone so much later: most documents have come
  /// by then, and the others of the zone fetch them there.
  Duration other_zone_stagger = milliseconds(800);
  /// Added by each gateway's own share, but for the first of its zone, so that not all of a zone
  /// ask at once.
  Duration max_other_zone_jitter = seconds(6);
  /// A gateway of the zone that was not heard of for so long does not go before this one.
  Duration zone_peer_timeout = milliseconds(1500);
};

class ConfigurationCatchUp {
 public:
  /// @param self  sets apart whom different gateways ask first.
  explicit ConfigurationCatchUp(PeerId self, CatchUpOptions options = {})
      : self_(self), options_(options) {}

  /// `gateway` has `version` in force.
  /// @param near  it stands in the own zone, where a document is cheap to move.
  void on_version_advertised(PeerId gateway, std::uint64_t version, bool same_zone, TimePoint now);
  /// Whether the store brings configurations here; otherwise a near gateway is asked at once.
  void set_reads_store(bool reads) { reads_store_ = reads; }
  /// `version` is in force here.
  void on_in_force(std::uint64_t version);
  /// Whether another gateway is known to have a newer version.
  bool behind() const { return !first_advertised_at_.empty(); }
  /// Whom to ask now; the caller sends the request.
  std::optional<PeerId> next_request(TimePoint now);
  /// A part of the document that was asked for has arrived.
  void on_progress(TimePoint now);
  /// The version that `gateway` told last; 0 for none.
  std::uint64_t advertised_version(PeerId gateway) const;
  /// Since when another gateway was known to have `version` or a newer one, if any.
  std::optional<TimePoint> first_advertised(std::uint64_t version) const;

 private:
  PeerId self_;
  CatchUpOptions options_;
  std::uint64_t version_ = 0;  ///< In force here; 0 for none.
  struct Holder {
    std::uint64_t version = 0;
    bool same_zone = false;
    TimePoint advertised_at{};
  };
  bool has_same_zone_holder() const;
  /// Whether a gateway of another zone may be asked now, `since` the newer version was heard of.
  bool other_zone_turn_reached(Duration since, Duration store_wait, TimePoint now) const;

  bool reads_store_ = true;
  std::map<PeerId, Holder> holders_;
  /// When versions above the own one were first heard of.
  std::map<std::uint64_t, TimePoint> first_advertised_at_;
  std::set<PeerId> asked_;       ///< Since the own version last changed.
  bool holder_skipped_ = false;  ///< Someone, since a part of a document arrived.
  std::uint32_t doublings_ = 0;
  std::optional<TimePoint> asked_at_;
};

}  // namespace pumicemast
