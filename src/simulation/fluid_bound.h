/// Lower bounds of the time to bring S bytes to N machines, as if bytes were a fluid.
#pragma once

#include <algorithm>
#include <cstdint>

#include "simulation/network_model.h"

namespace pumicemast::simulation {

/// Every machine must receive S; all of it is sent by the origin or by other machines.
/// @param machines  that end up live.
/// @return seconds.
inline double fluid_bound_s(Duplex duplex, double machines, double bytes, double origin_rate,
                            double machine_rate) {
  const double wanted = machines * bytes;
  if (duplex == Duplex::full) {
    const double by_origin = bytes / origin_rate;
    const double by_downlink = bytes / machine_rate;
    const double by_sum = wanted / (origin_rate + machines * machine_rate);
    return std::max({by_downlink, by_origin, by_sum});
  }
  // In: N·S. Out: what the origin does not send. Both pass the machines' shared links:
  // N·S + (N·S - origin·t) = N·rate·t.
  return 2 * wanted / (machines * machine_rate + origin_rate);
}

}  // namespace pumicemast::simulation
