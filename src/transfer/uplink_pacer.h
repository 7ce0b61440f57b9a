/// Sends chunks to other agents within the share of the uplink for weights, one after the other,
/// chunks of the version with the highest priority first.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "common/event_loop.h"
#include "limits/token_bucket.h"
#include "transfer/chunk_cache.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// A chunk that is ready to be sent.
struct ChunkUpload {
  std::string digest;
  PeerId peer = 0;
  ChunkIndex chunk = 0;
  ChunkCache::Bytes bytes;
  int priority = 0;          ///< Of the version's rollout; the highest goes first.
  TimePoint requested_at{};  ///< When the peer's request arrived; zero if unknown.
};

class UplinkPacer {
 public:
  /// @param bytes_per_second  the share for weights; 0 for no limit.
  /// @param on_sent           the link accepted a chunk and its slot is free; called without the
  ///                          bytes.
  UplinkPacer(double bytes_per_second, PeerLinks& links, Metrics& metrics,
              std::function<void(const ChunkUpload& upload)> on_sent);

  void push(ChunkUpload upload);
  /// All bytes queued for `peer` were accepted by the operating system.
  void on_drained(PeerId peer);
  void on_peer_lost(PeerId peer);

 private:
  void pump();
  ChunkUpload take_next();
  void send(const ChunkUpload& upload);

  double bytes_per_second_;
  PeerLinks& links_;
  Metrics& metrics_;
  std::function<void(const ChunkUpload&)> on_sent_;
  std::list<ChunkUpload> waiting_;
  /// Chunks that a connection has not fully accepted yet.
  std::map<PeerId, std::vector<ChunkUpload>> undrained_;
  TokenBucket bucket_;
  Timer timer_;
};

}  // namespace pumicemast
