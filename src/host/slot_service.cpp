#include "host/slot_service.h"

#include <utility>

#include "common/event_loop.h"
#include "transport/slot_messages.h"

namespace pumicemast {

SlotService::SlotService(Address engine, PeerLinks& links, Metrics& metrics, LogLine log_line)
    : engine_(std::move(engine)),
      links_(links),
      metrics_(metrics),
      log_line_(std::move(log_line)),
      queue_({}) {}

void SlotService::on_requests(PeerId gateway, const SlotRequests& requests,
                              const SlotCapacity& capacity, TimePoint now) {
  auto& pending = pending_[gateway];
  for (const std::uint64_t number : requests.withdrawn) {
    queue_.withdraw(gateway, number);
    pending.erase(number);
  }
  for (const SlotRequest& request : requests.requests) {
    queue_.add(gateway, request, now);
    pending[request.number] = {now, request.priority};
  }
  decide(capacity, now);
}

void SlotService::deny_all(PeerId gateway, const SlotRequests& requests) {
  SlotDecisions decisions;
  for (const SlotRequest& request : requests.requests) {
    decisions.denied.push_back(
        {request.number, SlotDenialReason::engine_unavailable, Duration::zero()});
  }
  if (decisions.empty()) return;
  count(gateway, decisions, loop_now());
  send(gateway, decisions);
}

void SlotService::on_capacity(const SlotCapacity& capacity, TimePoint now) {
  decide(capacity, now);
}

void SlotService::remove_gateway(PeerId gateway) {
  queue_.remove_gateway(gateway);
  pending_.erase(gateway);
  report_state();
}

void SlotService::decide(const SlotCapacity& capacity, TimePoint now) {
  for (const auto& [gateway, decisions] : queue_.decide(capacity, now)) {
    count(gateway, decisions, now);
    send(gateway, decisions);
  }
  report_state();
}

void SlotService::send(PeerId gateway, const SlotDecisions& decisions) {
  for (const SlotDecisions& part : split(decisions)) links_.send(gateway, encode(part, engine_));
}

void SlotService::count(PeerId gateway, const SlotDecisions& decisions, TimePoint now) {
  auto& pending = pending_[gateway];
  for (const std::uint64_t number : decisions.granted) {
    const auto found = pending.find(number);
    if (found == pending.end()) continue;
    metrics_.count("pumicemast_host_slot_grants_total",
                   {{"priority", std::to_string(found->second.priority)}});
    metrics_.observe("pumicemast_host_slot_grant_wait_seconds", {}, now - found->second.at);
    pending.erase(found);
  }
  for (const SlotDenial& denial : decisions.denied) {
    metrics_.count("pumicemast_host_slot_denials_total", {{"reason", to_string(denial.reason)}});
    pending.erase(denial.number);
  }
  if (pending.empty()) pending_.erase(gateway);
}

void SlotService::report_state() {
  metrics_.gauge("pumicemast_host_slot_requests", {}, static_cast<double>(queue_.waiting()));
  const bool contended = queue_.waiting() > 0;
  if (contended == contended_) return;
  contended_ = contended;
  log_line_("slots", std::string("slots waiting=") + std::to_string(queue_.waiting()) +
                         (contended ? " state=FREE->CONTENDED" : " state=CONTENDED->FREE"));
}

}  // namespace pumicemast
