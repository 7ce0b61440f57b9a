/// Shares out the room of an engine among the gateways that send to it.
///
/// A decision core: no I/O. Gateways do not know of each other's requests under way: without
/// credits all would see the same free slot, and crowd an engine that has just become free.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "swarm/swarm_membership.h"

namespace pumicemast {

struct EngineCapacity {
  std::uint32_t slots = 0;            ///< 0 while the engine's profile is not known.
  std::uint32_t occupied = 0;         ///< Requests that run or wait there.
  std::uint32_t prompt_chunk = 2048;  ///< Prompt tokens that one pass reads.
  double usual_prompt_tokens = 1000;  ///< Tokens.
};

class CreditAllocator {
 public:
  /// A gateway's prompts at the engine without a first token, in tokens.
  void set_pending_tokens(PeerId gateway, std::uint32_t tokens) {
    pending_tokens_[gateway] = tokens;
  }
  /// First attempts that reach a gateway in a second.
  void set_demand(PeerId gateway, double requests_per_s) { demand_[gateway] = requests_per_s; }
  void remove_gateway(PeerId gateway);
  std::uint32_t pending_tokens() const;
  std::uint32_t pending_tokens_of_others(PeerId gateway) const;

  /// New requests that each gateway may send until the next deal: no more than there are free
  /// slots, nor than the engine can read prompts of within two passes. Over several deals each
  /// gateway gets a share by the root of its demand.
  std::map<PeerId, std::uint32_t> allocate(const EngineCapacity& capacity,
                                           const std::vector<PeerId>& gateways);

 private:
  std::uint32_t prompt_allowance(const EngineCapacity& capacity) const;
  std::map<PeerId, double> shares(const std::vector<PeerId>& gateways) const;

  std::map<PeerId, std::uint32_t> pending_tokens_;
  std::map<PeerId, double> demand_;
  /// Credits that each gateway was given less than its share of all that were dealt.
  std::map<PeerId, double> deficits_;
};

}  // namespace pumicemast
