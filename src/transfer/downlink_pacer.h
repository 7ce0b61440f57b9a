/// Stops reading from peers while this agent's share of the downlink is used up.
#pragma once

#include <cstddef>

#include "common/event_loop.h"
#include "limits/token_bucket.h"
#include "transport/peer_links.h"

namespace pumicemast {

class DownlinkPacer {
 public:
  /// @param bytes_per_second  0 for no limit.
  DownlinkPacer(double bytes_per_second, PeerLinks& links)
      : bounded_(bytes_per_second > 0), bucket_(bytes_per_second, 0), links_(links) {}

  /// Counts received bytes against the share. Reading pauses until the share covers them.
  void charge(std::size_t bytes);

 private:
  bool bounded_;
  TokenBucket bucket_;
  PeerLinks& links_;
  Timer timer_;
};

}  // namespace pumicemast
