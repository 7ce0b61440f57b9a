/// Divides the free capacity of an engine among the gateways that send requests to it.
///
/// A decision core: no I/O. Gateways do not know of each other's requests in flight: without
/// credits all would see the same free slot and overload an engine that has just become free.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "swarm/swarm_membership.h"

namespace pumicemast {

struct EngineCapacity {
  std::uint32_t slots = 0;                    ///< 0 while the engine's profile is unknown.
  std::uint32_t occupied = 0;                 ///< Requests running or queued at the engine.
  std::uint32_t prefill_chunk_tokens = 2048;  ///< Prompt tokens per prefill pass.
  double usual_prompt_tokens = 1000;          ///< Length of a typical prompt.
};

class CreditAllocator {
 public:
  /// Prompt tokens of a gateway's requests at the engine that have no first token yet.
  void set_pending_tokens(PeerId gateway, std::uint32_t tokens) {
    pending_tokens_[gateway] = tokens;
  }
  /// Rate of first attempts that arrive at a gateway.
  void set_demand(PeerId gateway, double requests_per_s) { demand_[gateway] = requests_per_s; }
  void remove_gateway(PeerId gateway);
  std::uint32_t pending_tokens() const;
  std::uint32_t pending_tokens_of_others(PeerId gateway) const;

  /// Number of new requests that each gateway may send until the next allocation. Their sum exceeds
  /// neither the free slots nor the prompts that the engine can read within two passes. Over
  /// several allocations each gateway gets a share proportional to the square root of its demand.
  std::map<PeerId, std::uint32_t> allocate(const EngineCapacity& capacity,
                                           const std::vector<PeerId>& gateways);

 private:
  std::uint32_t prompt_allowance(const EngineCapacity& capacity) const;
  std::map<PeerId, double> shares(const std::vector<PeerId>& gateways) const;

  std::map<PeerId, std::uint32_t> pending_tokens_;
  std::map<PeerId, double> demand_;
  /// Difference between a gateway's share of all allocated credits and the credits that it got.
  std::map<PeerId, double> deficits_;
};

}  // namespace pumicemast
