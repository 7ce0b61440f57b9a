/// Decides whether this gateway is one of the store readers of its zone.
///
/// A decision core: no I/O. Calls to the store cost money and links between zones have little
/// bandwidth, so two gateways of each zone read the store and relay changes to the others. A
/// gateway reads as long as it knows too few live readers that precede it in the order of ids.
/// Readers need not be elected, and one that fails is replaced within little more than a second.
#pragma once

#include <cstddef>
#include <map>

#include "common/time.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

struct StoreReaderOptions {
  std::size_t readers_per_zone = 2;
  /// A reader that has sent no digest for this time no longer counts.
  Duration reader_timeout = milliseconds(1200);
  /// Upper bound of the jitter that each gateway adds, so that the gateways of a zone do not take
  /// over at once.
  Duration max_takeover_jitter = milliseconds(300);
};

/// Jitter of the gateway `self`, below `options.max_takeover_jitter`.
Duration takeover_jitter(PeerId self, const StoreReaderOptions& options);

class StoreReaderRole {
 public:
  explicit StoreReaderRole(PeerId self, StoreReaderOptions options = {});

  /// A gateway of the same zone advertises whether it is a store reader and reaches the store.
  void on_reader_status(PeerId gateway, bool reads, TimePoint now);
  bool should_read(TimePoint now) const;
  /// Number of other gateways of the zone that read the store.
  std::size_t readers(TimePoint now) const;

 private:
  bool is_live(TimePoint seen_at, TimePoint now) const { return now - seen_at <= reader_timeout_; }

  PeerId self_;
  StoreReaderOptions options_;
  Duration reader_timeout_;
  std::map<PeerId, TimePoint> readers_;  ///< When each last advertised that it reads.
};

}  // namespace pumicemast
