#include "gateway/peers/fleet_state.h"

#include "common/event_loop.h"
#include "common/hash.h"

namespace pumicemast {
namespace {

/// Shortest time between two digests that are sent because of what back ends said in responses.
constexpr Duration kBackendGossipInterval = milliseconds(100);

BackendPoolOptions pool_options(const GatewaySettings& settings) {
  BackendPoolOptions options;
  options.zone = settings.zone;
  options.regions_of_zones = settings.regions_of_zones;
  options.seed = stable_hash(settings.name);
  return options;
}

RetryShareOptions retry_share_options(const GatewaySettings& settings) {
  RetryShareOptions options;
  options.extra = settings.retry_extra;
  options.min_gateways = settings.gateway_count;
  options.zones = settings.zones;
  options.window = settings.retry_window;
  return options;
}

QuarantineOptions quarantine_options(const GatewaySettings& settings) {
  QuarantineOptions options;
  options.hold = settings.quarantine_hold;
  return options;
}

/// Empty when no service of the configuration names an origin of weights.
std::optional<wire::EngineDescriptionT> describe_engine(const RouteTable& routes,
                                                        const ServiceProfile& service) {
  wire::EngineDescriptionT description;
  description.service = service.name;
  description.slots = service.engine->slots;
  description.layers = service.engine->layers;
  description.prefill_chunk_tokens = service.engine->prefill_chunk_tokens;
  description.usual_prompt_tokens = static_cast<float>(service.engine->usual_prompt_tokens);
  if (service.cold_start) {
    description.cold_per_second = static_cast<float>(service.cold_start->requests_per_second);
    description.cold_ms = static_cast<std::uint32_t>(to_milliseconds(service.cold_start->duration));
  }
  for (const ModelProfile& model : service.engine->models) {
    description.models.push_back(model.name);
  }
  for (const ServiceProfile& candidate : routes.configuration().services) {
    if (!candidate.origin) continue;
    description.origin = candidate.origin->address.to_string();
    description.origin_connections = candidate.origin->maximum_connections;
    return description;
  }
  return std::nullopt;
}

std::map<std::string, ColdStartProfile> cold_starts_of(const FleetConfiguration& configuration) {
  std::map<std::string, ColdStartProfile> by_service;
  for (const ServiceProfile& service : configuration.services) {
    if (service.cold_start) by_service[service.name] = *service.cold_start;
  }
  return by_service;
}

}  // namespace

FleetState::FleetState(const GatewaySettings& settings, FleetFeed& feed, GatewayLog& log,
                       Metrics& metrics, Callbacks callbacks)
    : zone_(settings.zone),
      self_(stable_hash(settings.internal_address.to_string())),
      feed_(feed),
      log_(log),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      pool_(pool_options(settings)),
      targets_(settings.changeover),
      quarantine_(quarantine_options(settings), loop_now()),
      links_(settings.internal_address, settings.zone, settings.seeds, metrics, *this),
      permits_(self_, pool_, links_, [this] { callbacks_.on_report(); }),
      slot_requests_([this](const Address& engine, const SlotRequests& requests) {
        links_.send_slot_requests(engine, requests);
      }),
      backend_list_holders_(self_),
      store_reader_(settings.internal_address, self_, feed.contacts(),
                    {[this](bool reads) { on_reader_change(reads); },
                     [this](const Address& gateway) { links_.exchange_digests(gateway); }}),
      retry_share_(retry_share_options(settings), loop_now()) {
  targets_.set_start_bound(settings.start_bound);
  quarantine_.set_pardoned(settings.pardoned);
}

bool FleetState::start() {
  if (!links_.start()) return false;
  feed_.start(*this);
  store_reader_.start();
  return true;
}

void FleetState::set_changeover(Duration changeover, Duration start_bound) {
  targets_.set_changeover(changeover);
  targets_.set_start_bound(start_bound);
}

void FleetState::sweep(TimePoint now) {
  pool_.sweep(now);
  if (pool_.placement().evacuations().sweep(now)) log_evacuations("settled");
  quarantine_.sweep(now);
  permits_.sweep(now);
  if (retry_share_.reported_gateways(now) > 0)
    pool_.set_gateway_count(retry_share_.reported_gateways(now));
}

void FleetState::apply_configuration(FleetConfiguration configuration, const std::string& document,
                                     const char* source, const std::string& from) {
  if (routes_ && configuration.version <= routes_->version()) return;
  const Duration lag = links_.time_since_advertised(configuration.version);
  metrics_.observe("pumicemast_gateway_configuration_lag_seconds", {{"source", source}}, lag);
  log_.log_line("configuration",
                "configuration version=" + std::to_string(configuration.version) + " source=" +
                    source + " from=" + from + " bytes=" + std::to_string(document.size()) +
                    " lag_ms=" + std::to_string(to_milliseconds(lag)) +
                    " routes=" + std::to_string(configuration.routes.size()) + " state=IN_FORCE");
  report_unknown_regions(configuration);
  pool_.set_cold_starts(cold_starts_of(configuration));
  routes_ = std::make_shared<RouteTable>(std::move(configuration));
  callbacks_.on_routes(routes_);
  // The configuration defines which back ends are engines, whose agents report to this gateway. The
  // list of back ends may have arrived before it.
  update_engines();
  links_.on_configuration_in_force(routes_->version(), document);
  links_.gossip_now();
}

void FleetState::on_configuration(FleetConfiguration configuration, const std::string& document) {
  apply_configuration(std::move(configuration), document, "store", "-");
}

void FleetState::on_fetched_configuration(const FetchedConfiguration& fetched) {
  if (routes_ && fetched.version <= routes_->version()) return;
  auto configuration = feed_.read_document(fetched.document);
  if (!configuration) {
    log_.log_line("configuration", "configuration source=gateway from=" + fetched.gateway +
                                       " state=REFUSED reason=malformed");
    return;
  }
  apply_configuration(std::move(*configuration), fetched.document, "gateway", fetched.gateway);
}

void FleetState::update_engines() {
  if (!routes_) return;
  std::vector<EngineLocation> engines;
  std::map<Address, wire::EngineDescriptionT> descriptions;
  for (const BackendRecord& record : pool_.records()) {
    const ServiceProfile* service = routes_->service(record.service);
    if (service == nullptr || !service->engine) continue;
    engines.push_back({record.address, record.zone});
    const auto description = describe_engine(*routes_, *service);
    if (description) descriptions[record.address] = *description;
  }
  const std::vector<EngineLocation> chosen = choose_engines(self_, zone_, engines);
  std::set<Address> subscribed;
  for (const EngineLocation& engine : chosen) subscribed.insert(engine.address);
  pool_.set_subscribed_engines(std::move(subscribed));
  links_.set_engines(chosen);
  links_.set_descriptions(descriptions);
}

void FleetState::on_weights_named(const std::string& model, std::uint64_t version,
                                  Duration oldest) {
  const bool seen = oldest == Duration::zero();
  apply_named_weights(model, version, targets_.assumed_named_at(oldest, loop_now()), !seen);
}

void FleetState::apply_named_weights(const std::string& model, std::uint64_t version,
                                     TimePoint named_at, bool assumed) {
  if (!targets_.on_named(model, version, named_at, assumed)) return;
  log_.log_line("weights", "weights model=" + model + " version=" + std::to_string(version) +
                               " age_ms=" + std::to_string(to_milliseconds(loop_now() - named_at)) +
                               " assumed=" + (assumed ? "yes" : "no") + " state=NAMED");
  links_.announce_weights(model, version);
  links_.gossip_now();
}

// ---- where requests may run ----

void FleetState::on_evacuations(const EvacuationSnapshot& snapshot) {
  apply_evacuations(snapshot, "store");
}

void FleetState::apply_evacuations(const EvacuationSnapshot& snapshot, const char* source) {
  if (!pool_.placement().evacuations().apply(snapshot, loop_now())) return;
  log_evacuations(source);
  links_.gossip_now();
}

void FleetState::log_evacuations(const char* source) {
  const PlacementRules& placement = pool_.placement();
  const std::set<std::string> zones = placement.evacuations().zones();
  std::string names;
  for (const std::string& zone : zones) {
    names += (names.empty() ? "" : ",") + zone;
    if (!placement.knows_zone(zone)) report_locality_finding("evacuated_zone", zone);
  }
  if (placement.all_zones_evacuated()) report_locality_finding("all_zones_evacuated", names);
  log_.log_line("evacuations", "evacuations zones=" + (names.empty() ? "-" : names) + " revision=" +
                                   to_string(placement.evacuations().snapshot().revision) +
                                   " source=" + source);
  metrics_.gauge("pumicemast_gateway_evacuated_zones", {}, static_cast<double>(zones.size()));
}

void FleetState::report_unknown_regions(const FleetConfiguration& configuration) {
  std::set<std::string> unknown;
  const auto add_unknown = [this, &unknown](const std::vector<std::string>& regions) {
    for (const std::string& region : regions) {
      if (!pool_.placement().knows_region(region)) unknown.insert(region);
    }
  };
  for (const RouteRule& route : configuration.routes) add_unknown(route.allowed_regions);
  for (const TenantRule& tenant : configuration.tenants) add_unknown(tenant.allowed_regions);
  for (const std::string& region : unknown) report_locality_finding("allowed_region", region);
}

void FleetState::report_locality_finding(const char* kind, const std::string& name) {
  metrics_.count("pumicemast_gateway_locality_findings_total", {{"kind", kind}});
  log_.log_line("locality", std::string("locality finding=") + kind + " name=" + name);
}

void FleetState::on_reader_status(PeerId gateway, bool reads) {
  store_reader_.on_reader_status(gateway, reads);
}

void FleetState::on_reader_change(bool reads) {
  log_.log_line("reader", std::string("store reader=") + (reads ? "yes" : "no"));
  links_.set_reads_store(reads);
  if (reads) {
    feed_.resume(list_relay_.revision());
    // So that other gateways do not start to read as well.
    links_.gossip_now();
    return;
  }
  feed_.pause();
  assume_store_reachable();
}

void FleetState::assume_store_reachable() {
  // The readers of the zone reach the store; otherwise this gateway would be a reader itself.
  on_list_reachable(true);
  on_store_reachable(true);
}

void FleetState::on_list_reachable(bool reachable) {
  links_.set_store_reachable(reachable);
  pool_.on_list_reachable(reachable, loop_now());
}

void FleetState::on_round_trip_time(const Address& engine, Duration round_trip_time) {
  pool_.on_path_delay(engine, round_trip_time, loop_now());
}

void FleetState::send_backlogs() {
  for (const PromptBacklog& backlog : pool_.take_changed_backlogs()) {
    links_.send_backlog(backlog.address, backlog.pending_tokens);
  }
}

void FleetState::on_slot_decisions(const Address& engine, const SlotDecisions& decisions) {
  callbacks_.on_slot_decisions(engine, decisions);
}

void FleetState::exchange_permits(bool requests_wait) {
  if (!requests_wait) pool_.permits().release_unused();
  permits_.schedule();
}

void FleetState::log_limit(const LimitChange& change) {
  const bool named = change.limit.is_limited();
  const std::string rate = named ? std::to_string(*change.limit.per_second) : "-";
  log_.log_line("limit", "backend id=" + change.backend + " limit_per_s=" + rate +
                             " source=" + to_string(change.source) +
                             (named ? " state=LIMITED" : " state=UNLIMITED"));
}

void FleetState::log_notice(const NoticeChange& change) {
  const std::string subject = "backend id=" + change.backend;
  if (change.leaving) {
    log_.log_line("notice", subject + " state=LEAVING source=" + to_string(change.source));
  }
  if (!change.pushback) return;
  log_.log_line("notice", subject + " state=PAUSED source=" + to_string(change.source) +
                              " pause_ms=" + std::to_string(to_milliseconds(*change.pushback)));
}

void FleetState::propagate_backend_changes() {
  bool gossip_needed = false;
  for (const NoticeChange& change : pool_.take_notice_changes()) {
    log_notice(change);
    // Agents report to all gateways themselves.
    gossip_needed = gossip_needed || (change.leaving && change.source != NoticeSource::agent);
  }
  for (const LimitChange& change : pool_.limits().take_changes()) {
    log_limit(change);
    pool_.permits().on_limit_changed(change.backend);
    if (change.source == LimitSource::agent) continue;
    // An agent reports the limit to all gateways. Limits of back ends without an agent are gossiped
    // between the gateways.
    const bool has_agent = permits_.send_limit_to_agent(change.backend);
    gossip_needed = gossip_needed || !has_agent;
  }
  const TimePoint now = loop_now();
  // Changes that follow sooner are sent with the regular digests.
  if (!gossip_needed || now - backends_gossiped_at_ < kBackendGossipInterval) return;
  backends_gossiped_at_ = now;
  links_.gossip_now();
}

std::vector<AdvertisedLimit> FleetState::limits_to_advertise() const {
  std::vector<AdvertisedLimit> limits;
  for (const auto& [backend, belief] : pool_.limits().trackers()) {
    const BackendRecord* record = pool_.record_of(backend);
    if (record == nullptr || links_.agent_of(record->address)) continue;
    limits.push_back({pool_.incarnation_of(backend), belief.limit()});
  }
  return limits;
}

void FleetState::on_permit_request(PeerId gateway, const PermitRequest& request) {
  permits_.on_request(gateway, request);
}

void FleetState::on_permit_answer(PeerId issuer, const PermitAnswer& answer) {
  permits_.on_answer(issuer, answer);
  propagate_backend_changes();
}

void FleetState::gossip_crashes() {
  const CrashUpdate update = quarantine_.take_update(loop_now());
  if (!update.empty()) links_.gossip_crashes(update);
}

void FleetState::on_crash_update(const CrashUpdate& update) {
  // Forwarded at once, because the same request may arrive at any gateway.
  if (quarantine_.on_update(update, loop_now())) gossip_crashes();
}

CrashUpdate FleetState::own_verdicts() { return quarantine_.verdicts(loop_now()); }

void FleetState::on_store_reachable(bool reachable) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  log_.log_line("store",
                std::string("store state=") + (reachable ? "LOST->REACHABLE" : "REACHABLE->LOST"));
}

void FleetState::on_engine_report(const Address& engine, const LoadReport& report) {
  const auto ended = pool_.on_report(engine, report, loop_now());
  propagate_backend_changes();
  if (ended) callbacks_.on_engine_ended(*ended);
  retry_share_.on_gateway_count(report.gateways, loop_now());
  retry_share_.on_largest_zone_gateway_count(report.largest_zone_gateways, loop_now());
  callbacks_.on_report();
}

void FleetState::on_others_backlog(const Address& engine, std::uint32_t pending_tokens) {
  pool_.on_others_backlog(engine, pending_tokens);
}

void FleetState::on_engine_agent_lost(const Address& engine) {
  pool_.on_agent_lost(engine);
  slot_requests_.drop(engine);
  callbacks_.on_slot_queue_lost(engine);
}

void FleetState::on_gossip_state(const GossipState& state) {
  for (const BackendDeparture& left : state.leaving) {
    pool_.on_departure(left, loop_now());
  }
  for (const BackendIncarnation& backend : state.announced_departures) {
    pool_.on_announced_departure(backend, loop_now());
  }
  for (const NamedWeights& weights : state.weights) {
    apply_named_weights(weights.model, weights.version, loop_now() - weights.age, weights.assumed);
  }
  for (const AdvertisedLimit& advertised : state.limits) {
    if (pool_.incarnation_of(advertised.backend.id) != advertised.backend) continue;
    pool_.limits().on_reported(advertised.backend.id, advertised.limit, LimitSource::gateway);
  }
  propagate_backend_changes();
  apply_evacuations(state.evacuations, "gateway");
}

GossipState FleetState::own_gossip_state() {
  GossipState state;
  state.configuration_version = routes_ ? routes_->version() : 0;
  state.leaving = pool_.departures().recent();
  state.announced_departures = pool_.departures().recently_announced(loop_now());
  state.weights = targets_.known_versions(loop_now());
  state.limits = limits_to_advertise();
  state.evacuations = pool_.placement().evacuations().snapshot();
  state.crash_verdicts = quarantine_.verdict_digest(loop_now());
  return state;
}

}  // namespace pumicemast
