/// Decides whether this gateway reads the platform's store itself.
///
/// A decision core: no I/O. Calls to the store are priced and links between zones are narrow: two
/// gateways of each zone read it and the others of the zone are told by them. Everyone reads
/// who does not hear of enough readers that go before it in a fixed order; so readers need not be
/// elected, and one that dies is replaced within little more than a second.
#pragma once

#include <cstddef>
#include <map>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct StoreReaderOptions {
  std::size_t readers_per_zone = 2;
  /// A reader that was not heard of for so long no longer counts.
  Duration lifetime = milliseconds(1200);
  /// Added by each gateway's own share, so that not all of a zone take over at once.
  Duration takeover_spread = milliseconds(300);
};

/// The part of `options.takeover_spread` that is `self`'s own.
Duration takeover_share(PeerId self, const StoreReaderOptions& options);

class StoreReaderRole {
 public:
  explicit StoreReaderRole(PeerId self, StoreReaderOptions options = {});

  /// A gateway of the same zone tells whether it reads the store, and reaches it.
  void on_heard(PeerId gateway, bool reads, TimePoint now);
  bool should_read(TimePoint now) const;
  /// Other gateways of the zone that read the store.
  std::size_t readers(TimePoint now) const;

 private:
  bool lives(TimePoint heard_at, TimePoint now) const { return now - heard_at <= lifetime_; }

  PeerId self_;
  StoreReaderOptions options_;
  Duration lifetime_;
  std::map<PeerId, TimePoint> readers_;  ///< By when they last said so.
};

}  // namespace pumicemast
