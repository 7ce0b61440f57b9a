#include "locality/allowed_regions.h"

namespace pumicemast {

void AllowedRegions::restrict_to(const std::vector<std::string>& regions) {
  if (regions.empty()) return;
  std::set<std::string> permitted;
  for (const std::string& region : regions) {
    if (contains(region)) permitted.insert(region);
  }
  regions_ = std::move(permitted);
}

std::string AllowedRegions::key() const {
  if (!regions_) return "";
  std::string key;
  for (const std::string& region : *regions_) key += "@" + region;
  return key.empty() ? "@" : key;
}

}  // namespace pumicemast
