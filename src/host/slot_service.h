/// Answers the gateways whose requests wait for a slot of the agent's engine.
///
/// The shell around SlotQueue: sends its decisions, and counts and logs them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "common/metrics.h"
#include "common/settings.h"
#include "scheduling/slot_queue.h"
#include "transport/peer_links.h"

namespace pumicemast {

class SlotService {
 public:
  /// Writes a line of a kind, unless too many of that kind were written.
  using LogLine = std::function<void(const std::string& kind, const std::string& line)>;

  /// @param engine  address of the engine; part of all answers.
  SlotService(Address engine, PeerLinks& links, Metrics& metrics, LogLine log_line);

  void on_requests(PeerId gateway, const SlotRequests& requests, const SlotCapacity& capacity,
                   TimePoint now);
  /// Denies all requests of a gateway for which none are queued.
  void deny_all(PeerId gateway, const SlotRequests& requests);
  /// The engine's load was read.
  void on_capacity(const SlotCapacity& capacity, TimePoint now);
  void remove_gateway(PeerId gateway);
  /// Requests that wait for a slot.
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(queue_.waiting()); }
  /// Slots granted to requests that a load read at `read_at` cannot show yet.
  std::uint32_t grants_in_transit(TimePoint read_at) const {
    return queue_.grants_in_transit(read_at);
  }

 private:
  struct PendingRequest {
    TimePoint at{};
    int priority = 0;
  };

  void decide(const SlotCapacity& capacity, TimePoint now);
  void send(PeerId gateway, const SlotDecisions& decisions);
  void count(PeerId gateway, const SlotDecisions& decisions, TimePoint now);
  void report_state();

  Address engine_;
  PeerLinks& links_;
  Metrics& metrics_;
  LogLine log_line_;
  SlotQueue queue_;
  std::map<PeerId, std::map<std::uint64_t, PendingRequest>>
      pending_;  ///< Of waiting requests, by gateway.
  bool contended_ = false;
};

}  // namespace pumicemast
