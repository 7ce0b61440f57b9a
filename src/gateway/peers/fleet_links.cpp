#include "gateway/peers/fleet_links.h"

#include <algorithm>
#include <iterator>

#include "common/hash.h"
#include "gateway/quarantine/crash_messages.h"
#include "transport/backend_list_messages.h"
#include "transport/permit_messages.h"

namespace pumicemast {
namespace {

constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kUnansweredLimit = seconds(2);
/// In one connection. A peer that reads leaves a few messages; the largest, a configuration, is
/// about 50 KB.
constexpr std::size_t kQueueLimitBytes = 4U << 20U;
/// While more than so much waits for all others, requests for the whole list go unanswered: what is
/// urgent, as a configuration is, would wait behind the lists. Others hold it too.
constexpr std::size_t kListQueueLimitBytes = 1U << 20U;
/// Gateways that each one tells regularly: news reaches all in a few steps.
constexpr std::size_t kFanOut = 3;
/// Further gateways, drawn by lot, that hear of a change at once: with all of them the messages
/// of one change would grow with the square of their number.
constexpr std::size_t kNewsFanOut = 5;
/// Engines are described to the agents of the zone every so many ticks, and to others, which have
/// gateways of their own, more rarely.
constexpr std::uint64_t kDescriptionTicks = 4;
constexpr std::uint64_t kFarDescriptionTicks = 24;

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
                         listener_.on_other_configuration(fetched);
                       },
                       [this](PeerId peer) { return near(peer); },
                       [this](PeerId peer) { return address_text(peer); }}),
      random_(static_cast<std::minstd_rand::result_type>(peer_id(own_address_))) {
  links_.set_unanswered_limit(kUnansweredLimit);
  links_.set_queue_limit(kQueueLimitBytes);
  for (const Address& seed : seeds) note_gateway(seed.to_string(), "");
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

bool FleetLinks::note_gateway(const std::string& text, const std::string& zone) {
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

bool FleetLinks::near(PeerId gateway) const {
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

void FleetLinks::greet(const Address& gateway) {
  note_gateway(gateway.to_string(), zone_);
  send_digest(peer_id(gateway));
}

void FleetLinks::welcome(PeerId newcomer, std::uint64_t its_list_revision) {
  const bool first_time = welcomed_.insert(newcomer).second;
  // Another process of that gateway has no list. Two that have none do not answer each other.
  const bool started_again = its_list_revision == 0 && list_revision_ > 0;
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

std::set<PeerId> FleetLinks::regular_gateways() const {
  const std::vector<PeerId> ring = chosen_gateways();
  std::set<PeerId> result(ring.begin(), ring.end());
  if (!reads_store_) return result;
  for (const auto& [peer, gateway] : gateways_) {
    if (gateway.zone == zone_) result.insert(peer);
  }
  return result;
}

void FleetLinks::set_engines(const std::vector<EnginePlace>& engines) {
  const std::map<PeerId, EnginePlace> before = std::move(agents_);
  agents_.clear();
  for (const EnginePlace& engine : engines) {
    const Address agent{engine.address.host, own_address_.port};
    const PeerId peer = peer_id(agent);
    agents_[peer] = engine;
    if (before.contains(peer)) continue;
    links_.set_address(peer, agent);
    subscribe(peer);
  }
}

void FleetLinks::pass_on(const BackendChanges& to_gateways, const BackendChanges& to_agents) {
  const wire::BackendChangesT gateway_message = encode(to_gateways);
  for (const auto& [peer, gateway] : gateways_) {
    if (gateway.zone == zone_ && links_.connected(peer)) links_.send(peer, gateway_message);
  }
  const wire::BackendChangesT agent_message = encode(to_agents);
  for (const auto& [peer, engine] : agents_) {
    if (engine.zone == zone_) links_.send(peer, agent_message);
  }
}

void FleetLinks::ask_backend_list(PeerId gateway) {
  wire::BackendListRequestT request;
  request.known_revision = list_revision_;
  links_.send(gateway, request);
}

std::uint64_t FleetLinks::revision_read() const {
  return reads_store_ && store_reachable_ ? list_revision_ : 0;
}

void FleetLinks::on_agent_lost(PeerId peer) {
  const auto engine = agents_.find(peer);
  if (engine == agents_.end()) return;
  agents_to_tell_again_.insert(peer);
  listener_.on_engine_agent_lost(engine->second.address);
}

void FleetLinks::tell_weights_again(PeerId agent) {
  for (const NamedWeights& weights : listener_.own_knowledge().weights) {
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
  message.list_revision = revision_read();
  links_.send(peer, message);
}

std::vector<PeerId> FleetLinks::chosen_gateways() const {
  // The next few in the order of their ids: a ring that every gateway is part of.
  std::vector<PeerId> chosen;
  auto position = gateways_.upper_bound(peer_id(own_address_));
  while (chosen.size() < std::min(kFanOut, gateways_.size())) {
    if (position == gateways_.end()) position = gateways_.begin();
    chosen.push_back(position->first);
    ++position;
  }
  return chosen;
}

void FleetLinks::tick() {
  for (const auto& [peer, engine] : agents_) {
    subscribe(peer);
    if (agents_to_tell_again_.erase(peer) > 0) tell_weights_again(peer);
  }
  tell_descriptions();
  ++tick_count_;
  for (const PeerId peer : regular_gateways()) send_digest(peer);
}

void FleetLinks::set_descriptions(const std::map<Address, wire::EngineDescriptionT>& by_engine) {
  descriptions_ = by_engine;
}

void FleetLinks::tell_descriptions() {
  for (const auto& [peer, engine] : agents_) {
    const std::uint64_t ticks = engine.zone == zone_ ? kDescriptionTicks : kFarDescriptionTicks;
    if (tick_count_ % ticks != 0) continue;
    const auto description = descriptions_.find(engine.address);
    if (description != descriptions_.end()) links_.send(peer, description->second);
  }
}

std::set<PeerId> FleetLinks::gateways_told_at_once() {
  std::vector<PeerId> connected;
  for (const auto& [peer, gateway] : gateways_) {
    if (links_.connected(peer)) connected.push_back(peer);
  }
  std::set<PeerId> told = regular_gateways();
  std::erase_if(told, [this](PeerId peer) { return !links_.connected(peer); });
  std::sample(connected.begin(), connected.end(), std::inserter(told, told.end()), kNewsFanOut,
              random_);
  return told;
}

void FleetLinks::tell_others() {
  for (const PeerId peer : gateways_told_at_once()) send_digest(peer);
}

void FleetLinks::tell_zone() {
  for (const auto& [peer, gateway] : gateways_) {
    if (gateway.zone == zone_ && links_.connected(peer)) send_digest(peer);
  }
}

void FleetLinks::tell_crashes(const CrashNews& news) {
  const wire::RequestCrashesT message = encode(news);
  for (const PeerId peer : gateways_told_at_once()) links_.send(peer, message);
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

void FleetLinks::tell_weights_named(const std::string& model, std::uint64_t version) {
  wire::WeightsNamedT message;
  message.model = model;
  message.version = version;
  for (const auto& [peer, agent] : agents_) links_.send(peer, message);
}

void FleetLinks::tell_backlog(const Address& engine, double unread_tokens) {
  wire::PromptBacklogT message;
  message.unread_tokens = static_cast<std::uint32_t>(unread_tokens);
  links_.send(peer_id({engine.host, own_address_.port}), message);
}

void FleetLinks::send_digest(PeerId peer) {
  wire::GatewayDigestT message = encode(listener_.own_knowledge(), loop_now());
  message.gateway = own_address_.to_string();
  message.address = own_address_.to_string();
  message.zone = zone_;
  message.reads_store = reads_store_ && store_reachable_;
  // Whoever knows the list may be asked for it.
  message.list_revision = list_revision_;
  links_.send(peer, message);
}

void FleetLinks::on_list_request(PeerId peer, const wire::BackendListRequest& request) {
  if (list_revision_ <= request.known_revision()) return;
  if (links_.queued_bytes() > kListQueueLimitBytes) return;
  const ListScope scope = is_agent(peer) ? ListScope::engines : ListScope::all;
  links_.send(peer, encode(listener_.own_backend_list(scope)));
}

void FleetLinks::on_frame(PeerId peer, const wire::Frame& frame) {
  switch (frame.body_type()) {
    case wire::Body::EngineReport:
      on_report(*frame.body_as_EngineReport());
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
      listener_.on_backend_changes(peer, decode(*frame.body_as_BackendChanges()));
      return;
    case wire::Body::BackendListRequest:
      on_list_request(peer, *frame.body_as_BackendListRequest());
      return;
    case wire::Body::RequestCrashes:
      listener_.on_crash_news(decode(*frame.body_as_RequestCrashes()));
      return;
    case wire::Body::CrashVerdictsRequest:
      links_.send(peer, encode(listener_.own_verdicts()));
      return;
    case wire::Body::PermitRequest:
      listener_.on_permit_request(peer, decode(*frame.body_as_PermitRequest(), loop_now()));
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

void FleetLinks::on_report(const wire::EngineReport& message) {
  const auto engine = parse_address(message.engine()->str());
  if (!engine) return;
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
  if (message.leaves_in_ms() >= 0) report.leaves_in = milliseconds(message.leaves_in_ms());
  listener_.on_engine_report(*engine, report);
  if (message.echo() == 0) return;
  const Duration since_ping =
      loop_now() - TimePoint(Duration(static_cast<Duration::rep>(message.echo())));
  listener_.on_path_delay(*engine, since_ping - Duration(message.echo_held_us()));
}

void FleetLinks::on_gateway_list(const wire::GatewayList& list) {
  if (list.gateways() == nullptr) return;
  for (const auto* gateway : *list.gateways()) {
    const std::string address = gateway->address()->str();
    const bool is_new = note_gateway(address, text_of(gateway->zone()));
    // So that all of a zone know each other before they decide who reads the store.
    const PeerId peer = stable_hash(address);
    if (is_new && near(peer)) send_digest(peer);
  }
}

void FleetLinks::on_digest(PeerId peer, const wire::GatewayDigest& digest) {
  note_gateway(digest.address()->str(), text_of(digest.zone()));
  if (near(peer)) {
    welcome(peer, digest.list_revision());
    listener_.on_near_gateway(peer, digest.reads_store());
    // A change reaches each gateway from the readers: only without any list others are asked, too.
    if (digest.reads_store() || list_revision_ == 0) {
      listener_.on_list_revision_told(peer, digest.list_revision());
    }
  }
  const GatewayKnowledge knowledge = decode(digest, loop_now());
  const std::uint64_t own_verdicts = listener_.own_knowledge().crash_verdicts;
  if (verdict_pull_.should_ask(peer, digest.crash_verdicts(), own_verdicts, loop_now())) {
    links_.send(peer, wire::CrashVerdictsRequestT{});
  }
  configurations_.on_heard(peer, knowledge.configuration_version);
  listener_.on_other_knowledge(knowledge);
}

}  // namespace pumicemast
