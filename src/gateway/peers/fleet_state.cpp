#include "gateway/peers/fleet_state.h"

#include "common/event_loop.h"
#include "common/hash.h"

namespace pumicemast {
namespace {

/// Between two tellings of limits to other gateways, beside the regular digests.
constexpr Duration kLimitNewsInterval = milliseconds(100);

BackendPoolOptions pool_options(const GatewaySettings& settings) {
  BackendPoolOptions options;
  options.zone = settings.zone;
  options.seed = stable_hash(settings.name);
  return options;
}

RetryShareOptions retry_share_options(const GatewaySettings& settings) {
  RetryShareOptions options;
  options.extra = settings.retry_extra;
  options.least_gateways = settings.gateway_count;
  options.zones = settings.zones;
  options.window = settings.retry_window;
  return options;
}

QuarantineOptions quarantine_options(const GatewaySettings& settings) {
  QuarantineOptions options;
  options.hold = settings.quarantine_hold;
  return options;
}

/// Empty when the configuration names no origin of weights.
std::optional<wire::EngineDescriptionT> describe_engine(const RouteTable& routes,
                                                        const ServiceProfile& service) {
  wire::EngineDescriptionT description;
  description.service = service.name;
  description.slots = service.engine->slots;
  description.layers = service.engine->layers;
  for (const ModelProfile& model : service.engine->models) {
    description.models.push_back(model.name);
  }
  for (const ServiceProfile& candidate : routes.configuration().services) {
    if (!candidate.origin) continue;
    description.origin = candidate.origin->address.to_string();
    return description;
  }
  return std::nullopt;
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
      list_holders_(self_),
      reading_(settings.internal_address, self_, feed.contacts(),
               {[this](bool reads) { on_store_reader(reads); },
                [this](const Address& gateway) { links_.greet(gateway); }}),
      retry_share_(retry_share_options(settings), loop_now()) {
  targets_.set_start_bound(settings.start_bound);
  quarantine_.set_pardoned(settings.pardoned);
}

bool FleetState::start() {
  if (!links_.start()) return false;
  feed_.start(*this);
  reading_.start();
  return true;
}

void FleetState::set_changeover(Duration changeover, Duration start_bound) {
  targets_.set_changeover(changeover);
  targets_.set_start_bound(start_bound);
}

void FleetState::sweep(TimePoint now) {
  pool_.sweep(now);
  quarantine_.sweep(now);
  permits_.sweep(now);
  if (retry_share_.told(now) > 0) pool_.set_gateway_count(retry_share_.told(now));
}

void FleetState::apply_configuration(FleetConfiguration configuration, const std::string& document,
                                     const char* source, const std::string& from) {
  if (routes_ && configuration.version <= routes_->version()) return;
  const Duration lag = links_.known_elsewhere_for(configuration.version);
  metrics_.observe("pumicemast_gateway_configuration_lag_seconds", {{"source", source}}, lag);
  log_.line("configuration",
            "configuration version=" + std::to_string(configuration.version) + " source=" + source +
                " from=" + from + " bytes=" + std::to_string(document.size()) +
                " lag_ms=" + std::to_string(to_milliseconds(lag)) +
                " routes=" + std::to_string(configuration.routes.size()) + " state=IN_FORCE");
  routes_ = std::make_shared<RouteTable>(std::move(configuration));
  callbacks_.on_routes(routes_);
  // Which back ends are engines, whose agents are to report, stands in the configuration; the list
  // may have come before it.
  update_engines();
  links_.on_configuration_in_force(routes_->version(), document);
  links_.tell_others();
}

void FleetState::on_configuration(FleetConfiguration configuration, const std::string& document) {
  apply_configuration(std::move(configuration), document, "store", "-");
}

void FleetState::on_other_configuration(const FetchedConfiguration& fetched) {
  if (routes_ && fetched.version <= routes_->version()) return;
  auto configuration = feed_.read_document(fetched.document);
  if (!configuration) {
    log_.line("configuration", "configuration source=gateway from=" + fetched.gateway +
                                   " state=REFUSED reason=malformed");
    return;
  }
  apply_configuration(std::move(*configuration), fetched.document, "gateway", fetched.gateway);
}

void FleetState::update_engines() {
  if (!routes_) return;
  std::vector<EnginePlace> engines;
  std::map<Address, wire::EngineDescriptionT> descriptions;
  for (const BackendRecord& record : pool_.records()) {
    const ServiceProfile* service = routes_->service(record.service);
    if (service == nullptr || !service->engine) continue;
    engines.push_back({record.address, record.zone});
    const auto description = describe_engine(*routes_, *service);
    if (description) descriptions[record.address] = *description;
  }
  const std::vector<EnginePlace> chosen = choose_engines(self_, zone_, engines);
  std::set<Address> watched;
  for (const EnginePlace& engine : chosen) watched.insert(engine.address);
  pool_.set_watched(std::move(watched));
  links_.set_engines(chosen);
  links_.set_descriptions(descriptions);
}

// ---- the list of back ends ----

void FleetState::note_backend_list(const std::vector<BackendRecord>& records,
                                   std::uint64_t revision) {
  pool_.on_list(records, revision, loop_now());
  log_.line("backend_list", "backends event=list count=" + std::to_string(records.size()) +
                                " revision=" + std::to_string(revision));
}

void FleetState::note_backend(const BackendRecord& record) {
  const bool was_leaving = pool_.leaving(record.id);
  pool_.on_record(record);
  if (was_leaving == record.draining) return;
  log_.line("backend", "backend id=" + record.id + " service=" + record.service +
                           " address=" + record.address.to_string() +
                           (record.draining ? " state=DRAINING" : " state=READY"));
}

void FleetState::note_gone(const std::string& id, std::uint64_t revision) {
  pool_.on_gone(id, revision, loop_now());
  log_.line("backend", "backend id=" + id + " state=GONE");
}

void FleetState::on_backend_list(const std::vector<BackendRecord>& records,
                                 std::uint64_t revision) {
  note_backend_list(records, revision);
  list_relay_.on_listed(revision);
}

void FleetState::on_backend(const BackendRecord& record) {
  note_backend(record);
  list_relay_.on_record(record);
}

void FleetState::on_backend_removed(const std::string& id, std::uint64_t revision) {
  note_gone(id, revision);
  list_relay_.on_gone(id, revision);
}

void FleetState::on_backends_current(std::uint64_t revision) {
  const auto changes = list_relay_.on_current(revision);
  links_.set_list_revision(list_relay_.revision());
  update_engines();
  on_list_known();
  if (!changes) return;
  BackendChanges to_agents = *changes;
  std::erase_if(to_agents.entries, [this](const auto& entry) { return !concerns_agents(entry); });
  links_.pass_on(*changes, to_agents);
  // Gateways that are cut off from the store hear of who leaves.
  links_.tell_others();
}

void FleetState::on_backend_changes(PeerId gateway, const BackendChanges& changes) {
  using Step = BackendListFollower::Step;
  const Step step = list_relay_.on_changes(changes);
  if (step == Step::request_full_list) on_list_revision_told(gateway, changes.revision);
  if (step != Step::apply) return;
  if (changes.complete) {
    std::vector<BackendRecord> records;
    for (const BackendChange& entry : changes.entries) records.push_back(entry.record);
    note_backend_list(records, changes.revision);
  } else {
    for (const BackendChange& entry : changes.entries) {
      if (entry.removed) {
        note_gone(entry.record.id, entry.record.revision);
      } else {
        note_backend(entry.record);
      }
    }
  }
  links_.set_list_revision(list_relay_.revision());
  update_engines();
  on_list_known();
}

void FleetState::on_list_known() {
  if (list_known_) return;
  list_known_ = true;
  reading_.on_list_known();
  if (!reading_.reads()) on_read_by_others();
  links_.tell_zone();  // Others wait for the list.
}

void FleetState::on_list_revision_told(PeerId gateway, std::uint64_t revision) {
  list_holders_.on_heard(gateway, revision);
  if (!list_relay_.should_ask(revision, loop_now())) return;
  if (const auto holder = list_holders_.next(list_relay_.revision())) {
    links_.ask_backend_list(*holder);
  }
}

bool FleetState::concerns_agents(const BackendChange& change) const {
  // Of what is gone only the id is known.
  if (change.removed || !routes_) return true;
  const ServiceProfile* service = routes_->service(change.record.service);
  return service == nullptr || service->engine.has_value();
}

BackendChanges FleetState::own_backend_list(ListScope scope) {
  BackendChanges list{0, list_relay_.revision(), true, {}};
  for (const BackendRecord& record : pool_.listed()) {
    const BackendChange entry{record, false};
    if (scope == ListScope::all || concerns_agents(entry)) list.entries.push_back(entry);
  }
  return list;
}

void FleetState::on_weights_named(const std::string& model, std::uint64_t version,
                                  Duration oldest) {
  const bool seen = oldest == Duration::zero();
  note_weights(model, version, targets_.assumed_naming(oldest, loop_now()), !seen);
}

void FleetState::note_weights(const std::string& model, std::uint64_t version, TimePoint named_at,
                              bool assumed) {
  if (!targets_.on_named(model, version, named_at, assumed)) return;
  log_.line("weights", "weights model=" + model + " version=" + std::to_string(version) +
                           " age_ms=" + std::to_string(to_milliseconds(loop_now() - named_at)) +
                           " assumed=" + (assumed ? "yes" : "no") + " state=NAMED");
  links_.tell_weights_named(model, version);
  links_.tell_others();
}

void FleetState::on_near_gateway(PeerId gateway, bool reads) {
  reading_.on_gateway_heard(gateway, reads);
}

void FleetState::on_store_reader(bool reads) {
  log_.line("reader", std::string("store reader=") + (reads ? "yes" : "no"));
  links_.set_reads_store(reads);
  if (reads) {
    feed_.resume(list_relay_.revision());
    // Before others begin, too.
    links_.tell_others();
    return;
  }
  feed_.pause();
  on_read_by_others();
}

void FleetState::on_read_by_others() {
  // Whoever reads for the zone reaches the store, or this gateway would read itself.
  on_list_reachable(true);
  on_store_reachable(true);
}

void FleetState::on_list_reachable(bool reachable) {
  links_.set_store_reachable(reachable);
  pool_.on_list_reachable(reachable, loop_now());
}

void FleetState::on_path_delay(const Address& engine, Duration delay) {
  pool_.on_path_delay(engine, delay, loop_now());
}

void FleetState::tell_backlogs() {
  for (const PromptBacklog& backlog : pool_.take_changed_backlogs()) {
    links_.tell_backlog(backlog.address, backlog.unread_tokens);
  }
}

void FleetState::exchange_permits(bool requests_wait) {
  if (!requests_wait) pool_.permits().release_unused();
  permits_.schedule();
}

void FleetState::log_limit(const LimitChange& change) {
  const bool named = change.limit.is_limited();
  const std::string rate = named ? std::to_string(*change.limit.per_second) : "-";
  log_.line("limit", "backend id=" + change.backend + " limit_per_s=" + rate +
                         " source=" + to_string(change.source) +
                         (named ? " state=LIMITED" : " state=UNLIMITED"));
}

void FleetState::follow_limits() {
  bool gateways_to_tell = false;
  for (const LimitChange& change : pool_.limits().take_changes()) {
    log_limit(change);
    pool_.permits().on_limit_changed(change.backend);
    if (change.source == LimitSource::agent) continue;
    // An agent tells all gateways; of other back ends the gateways tell each other.
    const bool has_agent = permits_.tell_agent(change.backend);
    gateways_to_tell = gateways_to_tell || !has_agent;
  }
  const TimePoint now = loop_now();
  // The regular digests tell what changes more often.
  if (!gateways_to_tell || now - limits_told_at_ < kLimitNewsInterval) return;
  limits_told_at_ = now;
  links_.tell_others();
}

std::vector<ToldLimit> FleetState::limits_to_tell() const {
  std::vector<ToldLimit> limits;
  for (const auto& [backend, belief] : pool_.limits().beliefs()) {
    const BackendRecord* record = pool_.record_of(backend);
    if (record == nullptr || links_.agent_of(record->address)) continue;
    limits.push_back({pool_.life_of(backend), belief.limit()});
  }
  return limits;
}

void FleetState::on_permit_request(PeerId gateway, const PermitRequest& request) {
  permits_.on_request(gateway, request);
}

void FleetState::on_permit_answer(PeerId issuer, const PermitAnswer& answer) {
  permits_.on_answer(issuer, answer);
  follow_limits();
}

void FleetState::tell_crashes() {
  const CrashNews news = quarantine_.take_news(loop_now());
  if (!news.empty()) links_.tell_crashes(news);
}

void FleetState::on_crash_news(const CrashNews& news) {
  // To be told on at once: the request may be under way to any gateway.
  if (quarantine_.on_told(news, loop_now())) tell_crashes();
}

CrashNews FleetState::own_verdicts() { return quarantine_.verdicts(loop_now()); }

void FleetState::on_store_reachable(bool reachable) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  log_.line("store",
            std::string("store state=") + (reachable ? "LOST->REACHABLE" : "REACHABLE->LOST"));
}

void FleetState::on_engine_report(const Address& engine, const LoadReport& report) {
  const auto ended = pool_.on_report(engine, report, loop_now());
  follow_limits();
  if (ended) callbacks_.on_engine_ended(*ended);
  retry_share_.on_gateways_told(report.gateways, loop_now());
  retry_share_.on_largest_zone_told(report.largest_zone_gateways, loop_now());
  callbacks_.on_report();
}

void FleetState::on_others_backlog(const Address& engine, std::uint32_t unread_tokens) {
  pool_.on_others_backlog(engine, unread_tokens);
}

void FleetState::on_engine_agent_lost(const Address& engine) { pool_.on_agent_lost(engine); }

void FleetState::on_other_knowledge(const GatewayKnowledge& knowledge) {
  for (const LeftBackend& left : knowledge.leaving) {
    pool_.on_leaving(left.id, left.revision);
  }
  for (const NamedWeights& weights : knowledge.weights) {
    note_weights(weights.model, weights.version, loop_now() - weights.age, weights.assumed);
  }
  for (const ToldLimit& told : knowledge.limits) {
    if (pool_.life_of(told.backend.id) != told.backend) continue;
    pool_.limits().on_told(told.backend.id, told.limit, LimitSource::gateway);
  }
  follow_limits();
}

GatewayKnowledge FleetState::own_knowledge() {
  GatewayKnowledge knowledge;
  knowledge.configuration_version = routes_ ? routes_->version() : 0;
  knowledge.leaving.assign(pool_.recently_left().begin(), pool_.recently_left().end());
  knowledge.weights = targets_.known_namings(loop_now());
  knowledge.limits = limits_to_tell();
  knowledge.crash_verdicts = quarantine_.verdict_digest(loop_now());
  return knowledge;
}

}  // namespace pumicemast
