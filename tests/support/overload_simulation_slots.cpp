// Messages between gateways and agents, the agents' queues for slots, and faults.
#include <algorithm>
#include <utility>

#include "support/overload_simulation.h"
#include "support/overload_simulation_parts.h"

namespace pumicemast::tests {
namespace {

constexpr Duration kLinkLatency = milliseconds(1);
constexpr Duration kFaultInterval = seconds(5);
constexpr Duration kFaultDuration = seconds(1);
constexpr std::uint64_t kLinksLostInARow = 5;

}  // namespace

/// Messages on a link that breaks are lost.
void OverloadSimulation::send_message(std::size_t gateway, std::size_t engine, Duration delay,
                                      Event event) {
  if (delay == Duration::zero()) return deliver(gateway, std::move(event));
  const std::uint64_t link = engines_[engine]->links[gateway];
  messages_.emplace(now_ + delay, [this, gateway, engine, link, event = std::move(event)] {
    if (engines_[engine]->links[gateway] == link) deliver(gateway, event);
  });
}

/// A frozen gateway handles what arrives when it resumes.
void OverloadSimulation::deliver(std::size_t gateway, Event event) {
  if (now_ < gateways_[gateway]->frozen_until) {
    gateways_[gateway]->held.push_back(std::move(event));
  } else {
    event();
  }
}

void OverloadSimulation::deliver_messages() {
  for (const auto& gateway : gateways_) {
    if (now_ < gateway->frozen_until) continue;
    for (const Event& event : std::exchange(gateway->held, {})) event();
  }
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const Event event = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    event();
  }
}

void OverloadSimulation::send_slot_requests(std::size_t gateway, std::size_t engine,
                                            const SlotRequests& requests) {
  const std::uint64_t link = engines_[engine]->links[gateway];
  messages_.emplace(now_ + kLinkLatency, [this, gateway, engine, link, requests] {
    Engine& target = *engines_[engine];
    if (target.links[gateway] != link || now_ < target.agent_lost_until) return;
    for (const std::uint64_t number : requests.withdrawn) target.slots.withdraw(gateway, number);
    for (const SlotRequest& request : requests.requests) target.slots.add(gateway, request, now_);
    decide_slots(engine);
  });
}

void OverloadSimulation::decide_slots(std::size_t engine) {
  Engine& target = *engines_[engine];
  if (now_ < target.agent_lost_until) return;
  SlotCapacity capacity;
  capacity.available = true;
  capacity.slots = profile().slots;
  capacity.occupied = target.model.running() + target.model.queued();
  capacity.read_at = now_;
  capacity.pending_prompt_tokens = target.credit_allocator.pending_tokens();
  for (const auto& [gateway, decisions] : target.slots.decide(capacity, now_)) {
    const std::size_t to = gateway;
    send_message(to, engine, kLinkLatency, [this, to, engine, decided = decisions] {
      on_slot_decisions(to, engine, decided);
    });
  }
}

void OverloadSimulation::on_slot_decisions(std::size_t gateway, std::size_t engine,
                                           const SlotDecisions& decisions) {
  Gateway& target = *gateways_[gateway];
  const Address& address = engines_[engine]->address;
  ForwarderActions actions;
  for (const std::uint64_t number : decisions.granted) {
    target.forwarder.on_slot_granted(address, number, now_, actions);
  }
  for (const SlotDenial& denial : decisions.denied) {
    target.forwarder.on_slot_denied(address, denial, now_, actions);
  }
  execute_actions(target, actions);
}

void OverloadSimulation::lose_link(std::size_t gateway, std::size_t engine) {
  ++engines_[engine]->links[gateway];
  engines_[engine]->slots.remove_gateway(gateway);
  deliver(gateway, [this, gateway, engine] {
    Gateway& target = *gateways_[gateway];
    ForwarderActions actions;
    target.pool.on_agent_lost(engines_[engine]->address);
    target.forwarder.on_slot_queue_lost(engines_[engine]->address, now_, actions);
    execute_actions(target, actions);
  });
}

void OverloadSimulation::inject_faults() {
  if (now_ - begin_ < kFaultInterval * static_cast<Duration::rep>(1 + fault_step_)) return;
  const std::size_t engine = fault_step_ % engines_.size();
  const std::size_t gateway = fault_step_ % gateways_.size();
  ++fault_step_;
  if (options_.fault == OverloadFault::agent_lost) {
    engines_[engine]->agent_lost_until = now_ + kFaultDuration;
    for (std::size_t each = 0; each < gateways_.size(); ++each) lose_link(each, engine);
    engines_[engine]->slots = SlotQueue({});
  } else if (options_.fault == OverloadFault::gateway_frozen) {
    gateways_[gateway]->frozen_until = now_ + kFaultDuration;
  } else if (options_.fault == OverloadFault::links_lost) {
    for (std::uint64_t count = 0; count < kLinksLostInARow; ++count) {
      messages_.emplace(now_ + kFaultDuration / 5 * static_cast<Duration::rep>(count),
                        [this, link = fault_step_ + count] {
                          lose_link(link % gateways_.size(), link % engines_.size());
                        });
    }
  }
}

void OverloadSimulation::measure_idle_slots() {
  if (!options_.competing_classes) return;
  const double weight = 1.0 / (static_cast<double>(options_.duration / kLinkLatency) *
                               static_cast<double>(engines_.size() * profile().slots));
  const bool waits = std::any_of(gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
    return now_ >= gateway->frozen_until && gateway->forwarder.waiting() > 0;
  });
  if (!waits) return;
  for (const auto& engine : engines_) {
    const std::uint32_t running = std::min(engine->model.running(), profile().slots);
    const std::uint32_t assigned = std::min(running + engine->model.queued(), profile().slots);
    result_.idle_share += weight * (profile().slots - running);
    result_.unassigned_share += weight * (profile().slots - assigned);
  }
}

}  // namespace pumicemast::tests
