/// Origin model with a single queue: chunks are sent one after the other.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "weights/manifest.h"

namespace pumicemast::simulation {

struct OriginRequest {
  MachineNumber machine = 0;
  std::uint32_t version = 0;
  ChunkIndex chunk = 0;
  bool operator==(const OriginRequest&) const = default;
};

class OriginModel {
 public:
  struct Callbacks {
    /// Whether the request is still pending at its machine; queried before its chunk is sent.
    std::function<bool(const OriginRequest&)> is_pending;
    std::function<void(const OriginRequest&)> on_arrived;
    /// Called when the requesting machine has detected that the origin is unreachable.
    std::function<void(const OriginRequest&)> on_failed;
  };

  /// @param chunk_size  returns the size of a chunk in bytes.
  OriginModel(EventQueue& events, NetworkModel& network,
              std::function<std::uint64_t(ChunkIndex)> chunk_size, Callbacks callbacks);

  void request(const OriginRequest& request);
  /// Removes a queued request. A chunk that is already being sent is still delivered.
  void cancel(const OriginRequest& request);
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  void serve();
  void send(const OriginRequest& request);
  void fail(const OriginRequest& request);

  EventQueue& events_;
  NetworkModel& network_;
  std::function<std::uint64_t(ChunkIndex)> chunk_size_;
  Callbacks callbacks_;
  std::deque<OriginRequest> queue_;
  bool sending_ = false;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace pumicemast::simulation
