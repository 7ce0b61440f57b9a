/// A gateway and full engines whose agents keep queues of requests that wait for slots.
#pragma once

#include <set>
#include <string>

#include "support/gateway_harness.h"

namespace pumicemast::tests {

inline Address address(std::uint16_t port) { return {"127.0.0.1", port}; }

class SlotHarness : public GatewayHarness {
 public:
  static constexpr std::uint32_t kSlots = 12;
  static constexpr auto kUrgent = "/chat/1";
  static constexpr auto kLessUrgent = "/bulk/1";

  static FleetConfiguration configuration(int less_urgent = 2) {
    FleetConfiguration result = tests::GatewayHarness::configuration();
    RouteRule bulk = result.routes[0];
    bulk.name = "bulk";
    bulk.path_prefix = "/bulk/";
    bulk.priority = less_urgent;
    result.routes.push_back(bulk);
    EngineProfile& engine = *result.services[0].engine;
    engine.slots = kSlots;
    engine.step_ms = 9.27;
    engine.steps_per_pass = 5;
    engine.prompt_tokens_per_s = 20700;
    engine.usual_answer_tokens = 50;
    return result;
  }

  void configure(int less_urgent = 2) {
    forwarder.set_routes(std::make_shared<RouteTable>(configuration(less_urgent)));
  }

  /// Delivers a report of an engine that is full unless credits are given.
  void report(std::uint16_t port, std::uint32_t slot_requests = 0, std::uint32_t credit = 0,
              bool busy = false, bool queues = true) {
    LoadReport load;
    load.alive = true;
    load.busy = busy;
    load.credit = credit;
    load.weight_version = 1;
    load.running = credit > 0 ? kSlots - 1 : kSlots;
    load.queued = credit > 0 ? 0 : 1;
    load.queues_slot_requests = queues;
    load.slot_requests = slot_requests;
    pool.on_report(address(port), load, now);
  }

  void add_full_engines(std::uint16_t count, bool queues = true) {
    for (std::uint16_t port = 1; port <= count; ++port) {
      add_backend("e" + std::to_string(port), "engines", port, 1);
      report(port, 0, 0, false, queues);
    }
  }

  void grant(std::uint16_t port, RequestNumber request) {
    actions.clear();
    forwarder.on_slot_granted(address(port), request, now, actions);
  }

  void deny(std::uint16_t port, RequestNumber request, SlotDenialReason reason,
            Duration expected_wait = Duration::zero()) {
    actions.clear();
    forwarder.on_slot_denied(address(port), {request, reason, expected_wait}, now, actions);
  }

  template <class Action>
  std::set<std::uint16_t> ports() const {
    std::set<std::uint16_t> result;
    for (const ForwarderAction& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action)) result.insert(typed->engine.port);
    }
    return result;
  }
};

}  // namespace pumicemast::tests
