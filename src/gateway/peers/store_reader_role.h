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
  Duration reader_timeout = milliseconds(1200);
  /// Added by each gateway's own share, so that not all of a zone take over at once.
  Duration max_takeover_jitter = milliseconds(300);
};

/// The part of `options.max_takeover_jitter` that is `self`'s own.
Duration takeover_jitter(PeerId self, const StoreReaderOptions& options);

class StoreReaderRole {
 public:
  explicit StoreReaderRole(PeerId self, StoreReaderOptions options = {});

  /// A gateway of the same zone tells whether it reads the store, and reaches it.
  void on_reader_status(PeerId gateway, bool reads, TimePoint now);
  bool should_read(TimePoint now) const;
  /// Other gateways of the zone that read the store.
  std::size_t readers(TimePoint now) const;

 private:
  bool is_live(TimePoint seen_at, TimePoint now) const { return now - seen_at <= reader_timeout_; }

  PeerId self_;
  StoreReaderOptions options_;
  Duration reader_timeout_;
  std::map<PeerId, TimePoint> readers_;  ///< By when they last said so.
};

}  // namespace pumicemast
