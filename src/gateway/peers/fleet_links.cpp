#include "gateway/peers/fleet_links.h"

#include <algorithm>
#include <iterator>

#include "common/hash.h"
#include "gateway/quarantine/crash_messages.h"
#include "transport/backend_list_messages.h"
#include "transport/permit_messages.h"
#include "transport/slot_messages.h"

namespace pumicemast {
namespace {

constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kUnansweredLimit = seconds(2);
/// Bytes that may be queued in one connection. A peer that keeps reading leaves only a few messages
/// queued; the largest, a configuration, is about 50 KB.
constexpr std::size_t kQueueLimitBytes = 4U << 20U;
/// While more bytes than this are queued for all peers together, requests for the whole list are
/// not answered: urgent messages, such as configurations, would wait behind the lists. Other
/// gateways have the list too.
constexpr std::size_t kListQueueLimitBytes = 1U << 20U;
/// Ring successors that each gateway sends its regular digests to: a change reaches all gateways in
/// a few hops.
constexpr std::size_t kRingFanOut = 3;
/// Further gateways, drawn at random, that get a change at once. If all got it, the messages for
/// one change would grow with the square of the number of gateways.
constexpr std::size_t kRandomFanOut = 5;

PeerId peer_id(const Address& address) { return stable_hash(address.to_string()); }

std::string text_of(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

}  // namespace

FleetLinks::FleetLinks(Address own_address, std::string zone, std::vector<Address> seeds,
                       Metrics& metrics, FleetLinksListener& listener)
    : own_address_(std::move(own_address)),
      zone_(std::move(zone)),
      metrics_(metrics),
      listener_(listener),
      links_(own_address_.to_string(), metrics,
             {[this](PeerId peer, const wire::Frame& frame) { on_frame(peer, frame); },
              [this](PeerId peer) { on_agent_lost(peer); }, [](PeerId) {}}),
      configurations_(peer_id(own_address_), links_, metrics,
                      {[this](const FetchedConfiguration& fetched) {
                         listener_.on_fetched_configuration(fetched);
                       },
                       [this](PeerId peer) { return same_zone(peer); },
                       [this](PeerId peer) { return address_text(peer); }}),
      random_(static_cast<std::minstd_rand::result_type>(peer_id(own_address_))) {
  links_.set_user_timeout(kUnansweredLimit);
  links_.set_queue_limit(kQueueLimitBytes);
  for (const Address& seed : seeds) add_gateway(seed.to_string(), "");
}

bool FleetLinks::start() {
  const bool bound = handle_error(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(links_.listen(own_address_));
        return true;
      },
      [](const Error&) { return false; });
  timer_.start_repeating(kTickInterval, [this] { tick(); });
  return bound;
}

bool FleetLinks::add_gateway(const std::string& text, const std::string& zone) {
  const auto address = parse_address(text);
  if (!address || *address == own_address_) return false;
  const PeerId peer = peer_id(*address);
  if (agents_.contains(peer)) return false;
  const auto [known, is_new] = gateways_.try_emplace(peer, Gateway{*address, zone});
  if (is_new) links_.set_address(peer, *address);
  if (!zone.empty()) known->second.zone = zone;
  return is_new;
}

std::string FleetLinks::address_text(PeerId gateway) const {
  const auto found = gateways_.find(gateway);
  return found == gateways_.end() ? "-" : found->second.address.to_string();
}

bool FleetLinks::same_zone(PeerId gateway) const {
  const auto found = gateways_.find(gateway);
  return found != gateways_.end() && found->second.zone == zone_;
}

void FleetLinks::set_store_reachable(bool reachable) {
  store_reachable_ = reachable;
  configurations_.set_reads_store(reads_store_ && store_reachable_);
}

void FleetLinks::set_reads_store(bool reads) {
  reads_store_ = reads;
  configurations_.set_reads_store(reads_store_ && store_reachable_);
}

void FleetLinks::exchange_digests(const Address& gateway) {
  add_gateway(gateway.to_string(), zone_);
  send_digest(peer_id(gateway));
}

void FleetLinks::bootstrap_gateway(PeerId newcomer, const StoreRevision& newcomer_list_revision) {
  const bool first_time = bootstrapped_.insert(newcomer).second;
  // A restarted gateway has no list. Two gateways without a list do not answer each other.
  const bool started_again = !newcomer_list_revision.known() && list_revision_.known();
  if (!first_time && !started_again) return;
  wire::GatewayListT message;
  for (const auto& [peer, gateway] : gateways_) {
    if (peer == newcomer || gateway.zone != zone_) continue;
    auto place = std::make_unique<wire::GatewayPlaceT>();
    place->address = gateway.address.to_string();
    place->zone = gateway.zone;
    message.gateways.push_back(std::move(place));
  }
  if (!message.gateways.empty()) links_.send(newcomer, message);
  send_digest(newcomer);
}

std::set<PeerId> FleetLinks::regular_recipients() const {
  const std::vector<PeerId> ring = ring_successors();
  std::set<PeerId> result(ring.begin(), ring.end());
  if (!reads_store_) return result;
  for (const auto& [peer, gateway] : gateways_) {
    if (gateway.zone == zone_) result.insert(peer);
  }
  return result;
}

void FleetLinks::set_engines(const std::vector<EngineLocation>& engines) {
  const std::map<PeerId, EngineLocation> before = std::move(agents_);
  agents_.clear();
  for (const EngineLocation& engine : engines) {
    const Address agent{engine.address.host, own_address_.port};
    const PeerId peer = peer_id(agent);
    agents_[peer] = engine;
    if (before.contains(peer)) continue;
    links_.set_address(peer, agent);
    subscribe(peer);
  }
  // What an agent decides about requests is ignored from now on.
  for (const auto& [peer, engine] : before) {
    if (!agent_of(engine.address)) listener_.on_engine_agent_lost(engine.address);
  }
}

void FleetLinks::relay_changes(const BackendChanges& to_gateways, const BackendChanges& to_agents) {
  const wire::BackendChangesT gateway_message = encode(to_gateways, loop_now());
  for (const auto& [peer, gateway] : gateways_) {
    if (gateway.zone == zone_ && links_.connected(peer)) links_.send(peer, gateway_message);
  }
  const wire::BackendChangesT agent_message = encode(to_agents, loop_now());
  for (const auto& [peer, engine] : agents_) {
    if (engine.zone == zone_) links_.send(peer, agent_message);
  }
}

void FleetLinks::request_backend_list(PeerId gateway) {
  wire::BackendListRequestT request;
  request.known_revision = list_revision_.number;
  request.known_era = list_revision_.era;
  links_.send(gateway, request);
}

StoreRevision FleetLinks::revision_as_reader() const {
  return reads_store_ && store_reachable_ ? list_revision_ : StoreRevision{};
}

void FleetLinks::on_agent_lost(PeerId peer) {
  const auto engine = agents_.find(peer);
  if (engine == agents_.end()) return;
  agents_to_resend_to_.insert(peer);
  listener_.on_engine_agent_lost(engine->second.address);
}

void FleetLinks::resend_weights(PeerId agent) {
  for (const NamedWeights& weights : listener_.own_gossip_state().weights) {
    wire::WeightsNamedT message;
    message.model = weights.model;
    message.version = weights.version;
    links_.send(agent, message);
  }
}

void FleetLinks::subscribe(PeerId peer) {
  wire::ReportSubscriptionT message;
  message.gateway = own_address_.to_string();
  message.address = own_address_.to_string();
  message.zone = zone_;
  message.demand = static_cast<float>(demand_);
  message.ping = static_cast<std::uint64_t>(loop_now().time_since_epoch().count());
  const StoreRevision revision = revision_as_reader();
  message.list_revision = revision.number;
  message.list_era = revision.era;
  links_.send(peer, message);
}

std::vector<PeerId> FleetLinks::ring_successors() const {
  // The next gateways in the order of ids, which form a ring of all gateways.
  std::vector<PeerId> chosen;
  auto position = gateways_.upper_bound(peer_id(own_address_));
  while (chosen.size() < std::min(kRingFanOut, gateways_.size())) {
    if (position == gateways_.end()) position = gateways_.begin();
    chosen.push_back(position->first);
    ++position;
  }
  return chosen;
}

void FleetLinks::tick() {
  for (const auto& [peer, engine] : agents_) {
    subscribe(peer);
    if (agents_to_resend_to_.erase(peer) > 0) resend_weights(peer);
  }
  for (const PeerId peer : regular_recipients()) send_digest(peer);
}

void FleetLinks::set_descriptions(const std::map<Address, wire::EngineDescriptionT>& by_engine) {
  descriptions_ = by_engine;
}

void FleetLinks::send_description(PeerId agent, const Address& engine) {
  const auto description = descriptions_.find(engine);
  if (description != descriptions_.end()) links_.send(agent, description->second);
}

std::set<PeerId> FleetLinks::immediate_recipients() {
  std::vector<PeerId> connected;
  for (const auto& [peer, gateway] : gateways_) {
    if (links_.connected(peer)) connected.push_back(peer);
  }
  std::set<PeerId> recipients = regular_recipients();
  std::erase_if(recipients, [this](PeerId peer) { return !links_.connected(peer); });
  std::sample(connected.begin(), connected.end(), std::inserter(recipients, recipients.end()),
              kRandomFanOut, random_);
  return recipients;
}

void FleetLinks::gossip_now() {
  for (const PeerId peer : immediate_recipients()) send_digest(peer);
}

void FleetLinks::send_digest_to_zone() {
  for (const auto& [peer, gateway] : gateways_) {
    if (gateway.zone == zone_ && links_.connected(peer)) send_digest(peer);
  }
}

void FleetLinks::gossip_crashes(const CrashUpdate& update) {
  const wire::RequestCrashesT message = encode(update);
  for (const PeerId peer : immediate_recipients()) links_.send(peer, message);
}

void FleetLinks::send(PeerId issuer, const PermitRequest& request) {
  links_.send(issuer, encode(request, loop_now()));
}

void FleetLinks::send(PeerId gateway, const PermitAnswer& answer) {
  links_.send(gateway, encode(answer, loop_now()));
}

std::optional<PeerId> FleetLinks::agent_of(const Address& backend) const {
  const PeerId peer = peer_id({backend.host, own_address_.port});
  const auto found = agents_.find(peer);
  if (found == agents_.end() || found->second.address != backend) return std::nullopt;
  return peer;
}

std::vector<PeerId> FleetLinks::known_gateways() const {
  std::vector<PeerId> gateways;
  for (const auto& [peer, gateway] : gateways_) gateways.push_back(peer);
  return gateways;
}

std::size_t FleetLinks::bytes_queued_to_gateways() const {
  std::size_t bytes = 0;
  for (const auto& [peer, gateway] : gateways_) bytes += links_.queued_bytes(peer);
  return bytes;
}

void FleetLinks::announce_weights(const std::string& model, std::uint64_t version) {
  wire::WeightsNamedT message;
  message.model = model;
  message.version = version;
  for (const auto& [peer, agent] : agents_) links_.send(peer, message);
}

void FleetLinks::send_backlog(const Address& engine, double pending_tokens) {
  wire::PromptBacklogT message;
  message.unread_tokens = static_cast<std::uint32_t>(pending_tokens);
  links_.send(peer_id({engine.host, own_address_.port}), message);
}

void FleetLinks::send_slot_requests(const Address& engine, const SlotRequests& requests) {
  const auto agent = agent_of(engine);
  if (!agent) return;
  for (const SlotRequests& part : split(requests)) links_.send(*agent, encode(part));
}

void FleetLinks::on_slot_decisions(PeerId agent, const wire::SlotDecisions& message) {
  const auto known = agents_.find(agent);
  const auto engine = parse_address(message.engine()->str());
  // An agent decides about its own engine alone.
  if (!engine || known == agents_.end() || known->second.address != *engine) return;
  listener_.on_slot_decisions(*engine, decode(message));
}

void FleetLinks::send_digest(PeerId peer) {
  wire::GatewayDigestT message = encode(listener_.own_gossip_state(), loop_now());
  message.gateway = own_address_.to_string();
  message.address = own_address_.to_string();
  message.zone = zone_;
  message.reads_store = reads_store_ && store_reachable_;
  // Every gateway that has the list may be asked for it, not only store readers.
  message.list_revision = list_revision_.number;
  message.list_era = list_revision_.era;
  links_.send(peer, message);
}

void FleetLinks::on_list_request(PeerId peer, const wire::BackendListRequest& request) {
  if (list_revision_ <= StoreRevision{request.known_era(), request.known_revision()}) return;
  if (links_.queued_bytes() > kListQueueLimitBytes) return;
  const ListScope scope = is_agent(peer) ? ListScope::engines : ListScope::all;
  links_.send(peer, encode(listener_.own_backend_list(scope), loop_now()));
}

void FleetLinks::on_frame(PeerId peer, const wire::Frame& frame) {
  switch (frame.body_type()) {
    case wire::Body::EngineReport:
      on_report(peer, *frame.body_as_EngineReport());
      return;
    case wire::Body::OthersBacklog: {
      const auto* message = frame.body_as_OthersBacklog();
      const auto engine = parse_address(message->engine()->str());
      if (engine) listener_.on_others_backlog(*engine, message->unread_tokens());
      return;
    }
    case wire::Body::GatewayList:
      on_gateway_list(*frame.body_as_GatewayList());
      return;
    case wire::Body::GatewayDigest:
      on_digest(peer, *frame.body_as_GatewayDigest());
      return;
    case wire::Body::BackendChanges:
      listener_.on_backend_changes(peer, decode(*frame.body_as_BackendChanges(), loop_now()));
      return;
    case wire::Body::BackendListRequest:
      on_list_request(peer, *frame.body_as_BackendListRequest());
      return;
    case wire::Body::RequestCrashes:
      listener_.on_crash_update(decode(*frame.body_as_RequestCrashes()));
      return;
    case wire::Body::CrashVerdictsRequest:
      links_.send(peer, encode(listener_.own_verdicts()));
      return;
    case wire::Body::PermitRequest:
      listener_.on_permit_request(peer, decode(*frame.body_as_PermitRequest(), loop_now()));
      return;
    case wire::Body::SlotDecisions:
      on_slot_decisions(peer, *frame.body_as_SlotDecisions());
      return;
    case wire::Body::PermitAnswer:
      listener_.on_permit_answer(peer, decode(*frame.body_as_PermitAnswer(), loop_now()));
      return;
    case wire::Body::ConfigurationRequest:
      configurations_.on_request(peer, *frame.body_as_ConfigurationRequest());
      return;
    case wire::Body::ConfigurationDocument:
      configurations_.on_document(peer, *frame.body_as_ConfigurationDocument());
      return;
    default:
      return;
  }
}

void FleetLinks::on_report(PeerId agent, const wire::EngineReport& message) {
  const auto engine = parse_address(message.engine()->str());
  if (!engine) return;
  if (message.needs_description()) send_description(agent, *engine);
  LoadReport report;
  report.alive = message.alive();
  report.busy = message.busy();
  report.running = message.running();
  report.queued = message.queued();
  report.weight_version = message.weight_version();
  report.slowdown = message.pace();
  report.credit = message.credit();
  report.others_pending_tokens = message.others_unread_tokens();
  report.gateways = message.gateways();
  report.largest_zone_gateways = message.largest_zone_gateways();
  report.started_at_ms = message.started_at_ms();
  report.limit = decode(message.limit(), loop_now());
  report.leaving = message.leaving();
  report.queues_slot_requests = message.queues_slot_requests();
  report.slot_requests = message.slot_requests();
  if (message.leaves_in_ms() >= 0) report.leaves_in = milliseconds(message.leaves_in_ms());
  listener_.on_engine_report(*engine, report);
  if (message.echo() == 0) return;
  const Duration since_ping =
      loop_now() - TimePoint(Duration(static_cast<Duration::rep>(message.echo())));
  listener_.on_round_trip_time(*engine, since_ping - Duration(message.echo_held_us()));
}

void FleetLinks::on_gateway_list(const wire::GatewayList& list) {
  if (list.gateways() == nullptr) return;
  for (const auto* gateway : *list.gateways()) {
    const std::string address = gateway->address()->str();
    const bool is_new = add_gateway(address, text_of(gateway->zone()));
    // All gateways of a zone must know each other before they decide which of them read the store.
    const PeerId peer = stable_hash(address);
    if (is_new && same_zone(peer)) send_digest(peer);
  }
}

void FleetLinks::on_digest(PeerId peer, const wire::GatewayDigest& digest) {
  add_gateway(digest.address()->str(), text_of(digest.zone()));
  if (same_zone(peer)) {
    const StoreRevision list_revision{digest.list_era(), digest.list_revision()};
    bootstrap_gateway(peer, list_revision);
    listener_.on_reader_status(peer, digest.reads_store());
    // Changes arrive from the store readers. Other gateways are asked for the list only while none
    // is known here.
    if (digest.reads_store() || !list_revision_.known()) {
      listener_.on_list_revision_advertised(peer, list_revision);
    }
  }
  const GossipState state = decode(digest, loop_now());
  const std::uint64_t own_verdicts = listener_.own_gossip_state().crash_verdicts;
  if (verdict_pull_.should_request(peer, digest.crash_verdicts(), own_verdicts, loop_now())) {
    links_.send(peer, wire::CrashVerdictsRequestT{});
  }
  configurations_.on_version_advertised(peer, state.configuration_version);
  listener_.on_gossip_state(state);
}

}  // namespace pumicemast
