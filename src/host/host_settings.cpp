#include "host/host_settings.h"

#include "locality/region_settings.h"

namespace pumicemast {

HostSettings HostSettings::read(Settings& settings) {
  constexpr Range kDurationMs{10, 86400000};
  HostSettings result;
  result.name = settings.required_string("process", "name");
  result.zone = settings.required_string("process", "zone");
  result.region = settings.required_string("process", "region");
  result.charts = settings.required_string("process", "charts");
  result.regions_of_zones = read_regions_of_zones(settings);
  result.internal_address = settings.required_address("listen", "internal");
  result.metrics_listen = settings.required_address("listen", "metrics");
  result.engine = settings.required_address("engine", "address");
  result.service = settings.required_string("engine", "service");
  result.report_interval =
      settings.milliseconds_or("engine", "report_interval_ms", 120, kDurationMs);
  constexpr double kBitsPerByte = 8;
  const double megabits = settings.number_or("links", "megabits_per_second", 0, 0, 1e6);
  const double share = settings.number_or("links", "weights_share", 0.85, 0.01, 1);
  result.link_bytes_per_second = megabits * 1e6 / kBitsPerByte;
  result.uplink_bytes_per_second = result.link_bytes_per_second * share;
  result.changeover = settings.milliseconds_or("weights", "changeover_ms", 8000, kDurationMs);
  return result;
}

}  // namespace pumicemast
