/// Decides whether this gateway reads the platform's store: at the start, and from then on.
///
/// A decision core: no I/O. Until the list of back ends is known here, only the zone's contact
/// reads; then a gateway begins when fewer of its zone read than should, and ends when enough that
/// go before it do.
#pragma once

#include <optional>

#include "common/time.h"
#include "gateway/peers/contact_search.h"
#include "gateway/peers/store_reader_role.h"

namespace pumicemast {

class StoreReaderPolicy {
 public:
  StoreReaderPolicy(const Address& self, PeerId self_id, StoreReaderOptions options = {});

  /// A gateway of the same zone tells whether it reads the store, and reaches it.
  void on_reader_status(PeerId gateway, bool reads, TimePoint now);
  /// The list of back ends is known here.
  void on_list_known() { list_known_ = true; }
  bool list_known() const { return list_known_; }
  /// Whether this gateway reads from now on.
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
  std::optional<TimePoint>
      too_few_readers_since_;  ///< Fewer gateways of the zone read than should.
};

}  // namespace pumicemast
