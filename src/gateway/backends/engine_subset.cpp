#include "gateway/backends/engine_subset.h"

#include <algorithm>
#include <map>

#include "common/hash.h"

namespace pumicemast {

std::vector<EngineLocation> choose_engines(PeerId gateway, const std::string& zone,
                                           const std::vector<EngineLocation>& engines,
                                           EngineSubsetOptions options) {
  using Ranked = std::pair<std::uint64_t, const EngineLocation*>;
  std::vector<EngineLocation> chosen;
  std::map<std::string, std::vector<Ranked>> others;
  for (const EngineLocation& engine : engines) {
    if (engine.zone == zone) {
      chosen.push_back(engine);
    } else {
      const std::uint64_t rank = stable_hash(gateway, stable_hash(engine.address.to_string()));
      others[engine.zone].emplace_back(rank, &engine);
    }
  }
  for (auto& [other_zone, ranked] : others) {
    std::sort(ranked.begin(), ranked.end());
    const std::size_t count = std::min(options.per_other_zone, ranked.size());
    for (std::size_t index = 0; index < count; ++index) chosen.push_back(*ranked[index].second);
  }
  return chosen;
}

}  // namespace pumicemast
