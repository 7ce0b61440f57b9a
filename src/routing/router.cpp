#include "routing/router.h"

#include <algorithm>
#include <vector>

#include "common/hash.h"

namespace pumicemast {

Router::Ring Router::ring_of(const Backend& backend) const {
  const Location& there = backend.hello.location;
  if (there.region != options_.location.region) return Ring::anywhere;
  return there.zone == options_.location.zone ? Ring::zone : Ring::region;
}

std::optional<Router::Candidate> Router::candidate(const Backend& backend,
                                                   const RoutingRequirements& requirements,
                                                   TimePoint now) const {
  if (!directory_.accepts_work(backend, now)) return std::nullopt;
  std::string digest;
  if (requirements.model.empty()) {
    if (backend.hello.is_engine || backend.hello.service != requirements.service)
      return std::nullopt;
  } else {
    const ReplicaView* replica = backend.live_replica(requirements.model);
    if (replica == nullptr) return std::nullopt;
    if (!requirements.digest.empty() && replica->digest != requirements.digest) return std::nullopt;
    digest = replica->digest;
  }
  const std::uint32_t load = backend.estimated_in_flight();
  const std::uint32_t limit = backend.status.queue_limit;
  if (load >= limit) return std::nullopt;
  return Candidate{&backend, digest, ring_of(backend), load,
                   load >= options_.spill_fraction * limit};
}

std::optional<RoutingChoice> Router::choose(const RoutingRequirements& requirements,
                                            const std::set<std::string>& excluded,
                                            TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [machine, backend] : directory_.all()) {
    if (excluded.contains(machine)) continue;
    if (auto found = candidate(backend, requirements, now)) candidates.push_back(std::move(*found));
  }
  if (candidates.empty()) return std::nullopt;

  // The nearest ring with a back end that is not nearly full; if there is none, the nearest ring.
  const auto nearer = [](const Candidate& left, const Candidate& right) {
    return std::tie(left.nearly_full, left.ring, left.load) <
           std::tie(right.nearly_full, right.ring, right.load);
  };
  const Candidate best = *std::min_element(candidates.begin(), candidates.end(), nearer);
  std::erase_if(candidates, [&](const Candidate& other) {
    return other.ring != best.ring || other.nearly_full != best.nearly_full;
  });

  const std::uint32_t load_limit = best.load + options_.affinity_slack;
  const Candidate* chosen = nullptr;
  std::uint64_t best_weight = 0;
  for (const Candidate& other : candidates) {
    if (requirements.affinity == 0 ? other.load > best.load : other.load > load_limit) continue;
    const std::uint64_t weight = stable_hash(other.backend->hello.machine, requirements.affinity);
    if (chosen != nullptr && weight <= best_weight) continue;
    chosen = &other;
    best_weight = weight;
  }
  return RoutingChoice{chosen->backend->hello.machine, chosen->digest};
}

}  // namespace pumicemast
