// The gateways that subscribe to an agent, and the reports of its engine's load to them.
#include <algorithm>
#include <string_view>

#include "host/host_daemon.h"
#include "transport/permit_messages.h"

namespace pumicemast {
namespace {

/// New subscriptions are collected for this long before gateways are informed of each other.
constexpr Duration kGatewayListInterval = milliseconds(300);
constexpr Duration kSubscriptionTimeout = seconds(6);

}  // namespace

void HostDaemon::on_subscription(PeerId peer, const wire::ReportSubscription& subscription) {
  const bool is_new = !subscribers_.contains(peer);
  Subscriber& subscriber = subscribers_[peer];
  subscriber.renewed_at = loop_now();
  subscriber.address = subscription.address()->str();
  subscriber.ping = subscription.ping();
  subscriber.zone = subscription.zone() == nullptr ? "" : subscription.zone()->str();
  credit_allocator_.set_demand(peer, subscription.demand());
  subscriber.same_zone = subscriber.zone.empty() || subscriber.zone == settings_.zone;
  const bool reads_list = subscriber.same_zone && subscription.list_revision() > 0;
  const StoreRevision list_revision{subscription.list_era(), subscription.list_revision()};
  if (reads_list) on_reader_status(peer, list_revision);
  if (!is_new) return;
  unannounced_subscribers_.insert(peer);
  if (!gateways_timer_.active()) {
    gateways_timer_.start_once(kGatewayListInterval, [this] { send_gateway_lists(); });
  }
  schedule_.on_subscribed();
}

void HostDaemon::send_gateway_lists() {
  std::set<PeerId> all;
  for (const auto& [subscriber, details] : subscribers_) all.insert(subscriber);
  // Each zone has agents that inform its gateways; the same lists from all agents would be too much
  // traffic. Gateways that know the others get the new ones only: the full list of 149 gateways has
  // 12 KB, and sending it to each of 30 in the zone takes 0.4 s of an uplink of 7.3 Mbit/s.
  for (const auto& [subscriber, details] : subscribers_) {
    if (!details.same_zone) continue;
    send_gateway_list(
        subscriber, unannounced_subscribers_.contains(subscriber) ? all : unannounced_subscribers_);
  }
  unannounced_subscribers_.clear();
}

void HostDaemon::send_gateway_list(PeerId peer, const std::set<PeerId>& gateways) {
  wire::GatewayListT message;
  for (const PeerId gateway : gateways) {
    const auto known = subscribers_.find(gateway);
    if (gateway == peer || known == subscribers_.end()) continue;
    auto place = std::make_unique<wire::GatewayPlaceT>();
    place->address = known->second.address;
    place->zone = known->second.zone;
    message.gateways.push_back(std::move(place));
  }
  if (!message.gateways.empty()) links_.send(peer, message);
}

void HostDaemon::remove_subscriber(PeerId peer) {
  subscribers_.erase(peer);
  credit_allocator_.remove_gateway(peer);
  slots_.remove_gateway(peer);
}

void HostDaemon::remove_expired_subscribers(TimePoint now) {
  std::vector<PeerId> expired;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (now - subscriber.renewed_at > kSubscriptionTimeout) expired.push_back(peer);
  }
  for (const PeerId peer : expired) remove_subscriber(peer);
}

LoadReport HostDaemon::current_load(TimePoint now) {
  LoadReport report = load_;
  report.queues_slot_requests = true;
  report.slot_requests = slots_.waiting();
  for (const auto& [model, stager] : stagers_) {
    // The engine counts as busy from the decision on, not only from its next load report.
    if (stager->starting() && report.weight_version != stager->staged_version()) {
      report.busy = true;
    }
    if (const auto leaves_at = stager->leaves_at(now)) {
      report.leaves_in = std::max(Duration::zero(), *leaves_at - now);
    }
  }
  return report;
}

std::uint32_t HostDaemon::largest_zone_gateways() const {
  std::map<std::string_view, std::uint32_t> by_zone;
  std::uint32_t largest = 0;
  for (const auto& [peer, subscriber] : subscribers_) {
    largest = std::max(largest, ++by_zone[subscriber.zone]);
  }
  return largest;
}

wire::EngineReportT HostDaemon::encode(const LoadReport& report) const {
  wire::EngineReportT message;
  message.engine = settings_.engine.to_string();
  message.alive = report.alive;
  message.busy = report.busy;
  message.running = report.running;
  message.queued = report.queued;
  message.weight_version = report.weight_version;
  message.pace = static_cast<float>(report.slowdown);
  message.gateways = static_cast<std::uint32_t>(subscribers_.size());
  message.largest_zone_gateways = largest_zone_gateways();
  message.started_at_ms = report.started_at_ms;
  message.needs_description = origin_ == nullptr;
  message.leaving = report.leaving;
  message.queues_slot_requests = report.queues_slot_requests;
  message.slot_requests = report.slot_requests;
  message.limit = pumicemast::encode(permits_.limit(), loop_now());
  if (report.leaves_in) {
    message.leaves_in_ms = static_cast<std::int32_t>(to_milliseconds(*report.leaves_in));
  }
  return message;
}

void HostDaemon::send_report(bool forced) {
  const TimePoint now = loop_now();
  const LoadReport report = current_load(now);
  const bool has_free_slots = report.running + report.queued < capacity_.slots;
  const ReportAudience audience = schedule_.next(report, has_free_slots, forced, now);
  if (!audience.any()) return;
  remove_expired_subscribers(now);
  wire::EngineReportT message = encode(report);
  for (const auto& [peer, credit] : allocate_credits(report, audience)) {
    Subscriber& subscriber = subscribers_.at(peer);
    message.credit = credit;
    message.others_unread_tokens = credit_allocator_.pending_tokens_of_others(peer);
    subscriber.reported_others_tokens = message.others_unread_tokens;
    message.echo = subscriber.ping;
    message.echo_held_us = static_cast<std::uint32_t>((now - subscriber.renewed_at).count());
    subscriber.ping = 0;
    links_.send(peer, message);
  }
}

std::map<PeerId, std::uint32_t> HostDaemon::allocate_credits(const LoadReport& report,
                                                             ReportAudience audience) {
  std::vector<PeerId> gateways;
  for (const auto& [peer, subscriber] : subscribers_) {
    if (subscriber.same_zone ? audience.same_zone : audience.other_zones) gateways.push_back(peer);
  }
  capacity_.occupied = report.running + report.queued + slots_.grants_in_transit(load_read_at_);
  // Requests that wait for a slot come before those that may still arrive.
  if (slots_.waiting() > 0) capacity_.occupied = std::max(capacity_.occupied, capacity_.slots);
  // Under a rate limit permits replace credits, also at gateways that do not know of the limit yet.
  // A leaving engine has none to give.
  if (report.leaving || permits_.limited(loop_now()))
    capacity_.occupied = std::max(capacity_.occupied, capacity_.slots);
  return credit_allocator_.allocate(capacity_, gateways);
}

SlotCapacity HostDaemon::slot_capacity(TimePoint now) {
  const LoadReport report = current_load(now);
  SlotCapacity capacity;
  capacity.available = report.alive && !report.busy && !report.leaving &&
                       report.weight_version != 0 && !permits_.limited(now);
  capacity.slots = capacity_.slots;
  capacity.occupied = report.running + report.queued;
  capacity.read_at = load_read_at_;
  capacity.pending_prompt_tokens = credit_allocator_.pending_tokens();
  capacity.prefill_chunk_tokens = capacity_.prefill_chunk_tokens;
  return capacity;
}

void HostDaemon::on_slot_requests(PeerId peer, const SlotRequests& requests) {
  if (!subscribers_.contains(peer)) {
    // For example a gateway that was frozen until its subscription expired.
    slots_.deny_all(peer, requests);
    return;
  }
  slots_.on_requests(peer, requests, slot_capacity(loop_now()), loop_now());
}

void HostDaemon::send_backlogs() {
  for (auto& [peer, subscriber] : subscribers_) {
    const std::uint32_t tokens = credit_allocator_.pending_tokens_of_others(peer);
    // Traffic between zones is expensive: other zones get the value with the next report.
    if (!subscriber.same_zone || tokens == subscriber.reported_others_tokens) continue;
    subscriber.reported_others_tokens = tokens;
    wire::OthersBacklogT message;
    message.engine = settings_.engine.to_string();
    message.unread_tokens = tokens;
    links_.send(peer, message);
  }
}

}  // namespace pumicemast
