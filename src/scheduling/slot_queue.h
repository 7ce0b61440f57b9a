/// Grants the free slots of one engine to the requests that wait for them at all gateways.
///
/// A decision core: no I/O. A gateway that finds no free slot queues its request at a few engines
/// and sends it to the one that grants a slot first. The queue, not the gateway, decides who is
/// next, so that the order holds over all gateways:
/// 1. a priority level below its guaranteed share of the grants;
/// 2. the most urgent priority level;
/// within a level, requests of callers that were not refused before; among these
/// 3. a tenant below its guaranteed share, then the tenant that got the fewest recent grants;
/// 4. the request that arrived first.
/// A request that cannot be granted a slot in time is denied as soon as that is known.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "scheduling/guaranteed_shares.h"
#include "scheduling/slot_messages.h"
#include "swarm/swarm_membership.h"

namespace pumicemast {

/// The engine's load, as last read by its agent.
struct SlotCapacity {
  bool available = false;                   ///< In service, and without a limit that needs permits.
  std::uint32_t slots = 0;                  ///< 0 while the engine's profile is unknown.
  std::uint32_t occupied = 0;               ///< Requests running or queued at the engine.
  TimePoint read_at{};                      ///< When `occupied` was read.
  std::uint32_t pending_prompt_tokens = 0;  ///< Of requests without a first token.
  std::uint32_t prefill_chunk_tokens = 2048;  ///< Prompt tokens per prefill pass.
};

class SlotQueue {
 public:
  struct Options {
    /// Requests granted beyond the free slots while others wait, so that a slot that becomes free
    /// between two load reports, or while the next request is on its way, is not left idle.
    std::uint32_t grants_ahead = 1;
    /// Time after which a load report shows a granted request, if it was sent.
    Duration grant_transit = milliseconds(15);
    /// Prompts are admitted while the engine can read all pending ones in this many passes.
    double maximum_backlog_passes = 2;
    GuaranteedShares::Options level_shares;
    GuaranteedShares::Options tenant_shares;
  };

  explicit SlotQueue(Options options);

  /// A request of `gateway` waits for a slot. A repeated number replaces the earlier request.
  void add(PeerId gateway, const SlotRequest& request, TimePoint now);
  /// The gateway needs no slot for the request any more, whether or not one was granted.
  void withdraw(PeerId gateway, std::uint64_t number);
  /// The link to the gateway was lost; its requests and unused grants are dropped.
  void remove_gateway(PeerId gateway);
  /// Grants free slots, and denies requests that cannot be granted one in time. Call after each
  /// change of the queue or the load.
  /// @return what to tell each gateway.
  std::map<PeerId, SlotDecisions> decide(const SlotCapacity& capacity, TimePoint now);
  std::size_t waiting() const;
  /// Granted requests that a load read at `read_at` cannot show yet.
  std::uint32_t grants_in_transit(TimePoint read_at) const;
  /// Prompt tokens of these.
  std::uint32_t prompt_tokens_in_transit(TimePoint read_at) const;
};

}  // namespace pumicemast
