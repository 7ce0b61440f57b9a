#include "locality/region_settings.h"

#include <sstream>

namespace pumicemast {

RegionsOfZones read_regions_of_zones(Settings& settings) {
  RegionsOfZones result;
  std::istringstream pairs(settings.string_or("process", "regions", ""));
  for (std::string pair; std::getline(pairs, pair, ';');) {
    const std::size_t colon = pair.find(':');
    settings.require(colon != std::string::npos, "process", "regions",
                     "\"" + pair + "\" is not ZONE:REGION");
    if (colon == std::string::npos) continue;
    result[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  return result;
}

}  // namespace pumicemast
