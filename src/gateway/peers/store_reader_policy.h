/// Decides whether this gateway reads the platform's store, at start-up and in steady state.
///
/// A decision core: no I/O. Until the list of back ends is known, only the zone's contact reads.
/// After that a gateway begins to read when its zone has too few readers, and stops when enough
/// gateways that precede it in the fixed order of StoreReaderRole read.
#pragma once

#include <optional>

#include "common/time.h"
#include "gateway/peers/contact_search.h"
#include "gateway/peers/store_reader_role.h"

namespace pumicemast {

class StoreReaderPolicy {
 public:
  StoreReaderPolicy(const Address& self, PeerId self_id, StoreReaderOptions options = {});

  /// A gateway of the same zone advertises whether it is a store reader and reaches the store.
  void on_reader_status(PeerId gateway, bool reads, TimePoint now);
  /// The whole list of back ends is known here.
  void on_list_known() { list_known_ = true; }
  bool list_known() const { return list_known_; }
  /// Whether this gateway is to read the store from now on.
  bool decide(TimePoint now);
  ContactSearch& search() { return search_; }

 private:
  bool should_begin(TimePoint now);

  StoreReaderOptions options_;
  Duration takeover_jitter_;
  StoreReaderRole role_;
  ContactSearch search_;
  bool list_known_ = false;
  bool reads_ = false;
  /// Since when the zone has had fewer readers than it should.
  std::optional<TimePoint> too_few_readers_since_;
};

}  // namespace pumicemast
