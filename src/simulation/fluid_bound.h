/// Lower bounds of the time to distribute S bytes to N machines, with bytes modelled as a fluid.
#pragma once

#include <algorithm>
#include <cstdint>

#include "simulation/network_model.h"

namespace pumicemast::simulation {

/// Every machine must receive S bytes, sent by the origin or by other machines.
/// @param machines  number of machines that become live.
/// @return the bound in seconds.
inline double fluid_bound_s(Duplex duplex, double machines, double bytes, double origin_rate,
                            double machine_rate) {
  const double wanted = machines * bytes;
  if (duplex == Duplex::full) {
    const double by_origin = bytes / origin_rate;
    const double by_downlink = bytes / machine_rate;
    const double by_sum = wanted / (origin_rate + machines * machine_rate);
    return std::max({by_downlink, by_origin, by_sum});
  }
  // Received: N·S. Sent by machines: all but the origin's part. Both use the machines' shared
  // links: N·S + (N·S - origin·t) = N·rate·t.
  return 2 * wanted / (machines * machine_rate + origin_rate);
}

}  // namespace pumicemast::simulation
