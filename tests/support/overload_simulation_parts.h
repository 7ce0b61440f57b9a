/// State of the simulated gateways, engines and callers of overload_simulation.h.
#pragma once

#include "scheduling/slot_queue.h"
#include "support/overload_simulation.h"

namespace pumicemast::tests {

constexpr Duration kOverloadCallerTimeout = seconds(6);

struct OverloadSimulation::Gateway {
  explicit Gateway(std::uint64_t seed)
      : targets(seconds(7)),
        pool({.zone = "z", .regions_of_zones = {}, .seed = seed}),
        forwarder(pool, targets, quarantine, {.seed = seed}) {}

  WeightTargets targets;
  BackendPool pool;
  RequestQuarantine quarantine;
  RequestForwarder forwarder;
  TimePoint first_attempt_refused_at{};
  std::size_t index = 0;
  TimePoint frozen_until{};
  std::vector<Event> held;  ///< Arrived while the gateway is frozen.
};

struct OverloadSimulation::Engine {
  explicit Engine(const EngineProfile& profile) : model(profile) {}

  ModelledEngine model;
  CreditAllocator credit_allocator;
  SlotQueue slots{{}};
  TimePoint agent_lost_until{};
  std::map<std::size_t, std::uint64_t> links;  ///< By gateway: number of the link.
  Address address;
  std::string id;
};

struct OverloadSimulation::Caller {
  std::size_t kind = 0;
  std::size_t gateway = 0;
  std::size_t tenant = 0;
  double prompt = 0;
  double answer = 0;
  TimePoint sent_at{};
  Duration time_limit = kOverloadCallerTimeout;
  int attempts = 0;
  TimePoint first_token{};
  bool finished = false;
  bool in_burst = false;
};

}  // namespace pumicemast::tests
