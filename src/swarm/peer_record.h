/// What an agent knows about one other agent of a swarm, and whether it may send it requests.
///
/// A decision core: no I/O.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"
#include "swarm/chunk_set.h"

namespace pumicemast {

/// When a peer that sends corrupt chunks is avoided. Links corrupt chunks too, so a single one is
/// no proof.
struct PeerTrust {
  double corrupt_fraction = 0.05;
  std::uint32_t minimum_corrupt = 3;
};

class PeerRecord {
 public:
  explicit PeerRecord(ChunkIndex chunk_count = 0) : held(chunk_count) {}

  bool neighbour = false;
  bool joined = false;  ///< Its set of held chunks is known.
  ChunkSet held;
  std::uint32_t open_requests = 0;

  /// The peer delivered a chunk.
  /// @return whether the peer becomes avoided by this delivery.
  bool on_delivery(bool corrupt, const PeerTrust& trust, TimePoint now) {
    ++received_;
    stalls_ = 0;
    not_before_ = TimePoint{};
    last_arrival_ = now;
    if (!corrupt) return false;
    ++corrupt_;
    const bool too_many =
        corrupt_ >= trust.minimum_corrupt && corrupt_ >= trust.corrupt_fraction * received_;
    if (!too_many || avoided_) return false;
    avoided_ = true;
    return true;
  }
  /// A request to the peer timed out. The pause before the next request doubles with each
  /// consecutive stall, up to a limit.
  void on_stall(Duration pause, TimePoint now) {
    constexpr std::uint32_t kMaximumDoublings = 4;
    not_before_ = now + pause * (1U << std::min(stalls_++, kMaximumDoublings));
  }
  void on_refusal(Duration pause, TimePoint now) { not_before_ = now + pause; }
  /// The connection broke. The counts of received and corrupt chunks and the avoidance stay, so
  /// that a reconnect does not clear them.
  void on_lost() {
    PeerRecord kept(held.size());
    kept.received_ = received_;
    kept.corrupt_ = corrupt_;
    kept.avoided_ = avoided_;
    *this = std::move(kept);
  }

  bool can_request(TimePoint now) const { return joined && !avoided_ && now >= not_before_; }
  TimePoint last_arrival() const { return last_arrival_; }

 private:
  bool avoided_ = false;
  std::uint32_t received_ = 0;
  std::uint32_t corrupt_ = 0;
  std::uint32_t stalls_ = 0;
  TimePoint not_before_{};  ///< Earliest next request after a stall or refusal.
  TimePoint last_arrival_{};
};

}  // namespace pumicemast
