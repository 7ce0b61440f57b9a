/// Messages between gateways and agents about requests that wait for a slot of an engine.
#pragma once

#include <cstdint>
#include <vector>

#include "common/time.h"

namespace pumicemast {

/// Priorities of requests, from the most to the least urgent.
constexpr int kMostUrgentPriority = 0;
constexpr int kLeastUrgentPriority = 9;

/// A request that waits at a gateway for a slot.
struct SlotRequest {
  std::uint64_t number = 0;  ///< Chosen by the gateway; unique there until the gateway restarts.
  int priority = kMostUrgentPriority;  ///< Up to `kLeastUrgentPriority`.
  /// Its caller was refused before, so that a response can hardly be in time.
  bool returning = false;
  std::uint64_t tenant = 0;  ///< Hash of the tenant's name; 0 when it has none.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t copies = 1;                ///< Number of engines where the request waits.
  Duration useful_for = Duration::zero();  ///< A slot that is granted later is of no use.
};

enum class SlotDenialReason : std::uint8_t {
  no_capacity,         ///< A slot would be granted too late.
  more_urgent_first,   ///< The same, because of more urgent requests.
  tenant_over_share,   ///< The same, because its tenant takes more than its share.
  engine_unavailable,  ///< The engine takes no requests now.
};
const char* to_string(SlotDenialReason reason);

struct SlotDenial {
  std::uint64_t number = 0;
  SlotDenialReason reason = SlotDenialReason::no_capacity;
  Duration expected_wait = Duration::zero();  ///< Until a slot could be granted; zero if unknown.
};

/// A message of a gateway to the agent of an engine. Withdrawals are handled before new requests.
struct SlotRequests {
  std::vector<SlotRequest> requests;
  /// Requests that need no slot any more, whether or not one was granted.
  std::vector<std::uint64_t> withdrawn;
  bool empty() const { return requests.empty() && withdrawn.empty(); }
};

/// The decisions of an engine's agent for one gateway.
struct SlotDecisions {
  std::vector<std::uint64_t> granted;  ///< Each of these requests may be sent to the engine now.
  std::vector<SlotDenial> denied;
  bool empty() const { return granted.empty() && denied.empty(); }
};

}  // namespace pumicemast
