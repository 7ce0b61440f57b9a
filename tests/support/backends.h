/// Shorthands for the messages that fill a BackendDirectory.
#pragma once

#include <string>

#include "routing/backend_directory.h"

namespace pumicemast::tests {

inline BackendHello hello(const std::string& machine, const std::string& zone = "z1",
                          const std::string& region = "r1") {
  BackendHello result;
  result.machine = machine;
  result.location = {region, zone};
  result.swarm_address = "127.0.0.1:1";
  result.memory_bytes = 1000;
  return result;
}

inline BackendStatus serving(const std::string& model, const std::string& version,
                             const std::string& state = "LIVE", std::uint32_t in_flight = 0,
                             std::uint32_t queue_limit = 10) {
  BackendStatus status;
  status.replicas.emplace(model, ReplicaView{version, "digest-" + version, state, 1, 1, ""});
  status.in_flight = in_flight;
  status.queue_limit = queue_limit;
  return status;
}

}  // namespace pumicemast::tests
