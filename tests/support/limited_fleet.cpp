#include "support/limited_fleet.h"

#include <algorithm>
#include <variant>

namespace pumicemast::tests {
namespace {

constexpr Duration kTickInterval = milliseconds(25);
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kServiceTime = milliseconds(60);
constexpr Duration kWindow = seconds(4);
constexpr std::uint32_t kSlots = 64;

std::string engine_id(std::size_t engine) { return "e" + std::to_string(engine); }
Address engine_address(std::size_t engine) {
  return {"10.0.0.1", static_cast<std::uint16_t>(engine + 1)};
}

FleetConfiguration configuration() {
  RouteRule route;
  route.name = "chat";
  route.host = "api.example";
  route.path_prefix = "/";
  route.kind = RequestKind::repeatable;
  route.timeout = seconds(6);
  route.latency_goal = milliseconds(500);
  route.services = {{"engines", 1}};
  route.attempts = 2;
  route.is_public = true;
  ServiceProfile engines;
  engines.name = "engines";
  engines.engine = EngineProfile{};
  engines.engine->slots = kSlots;
  FleetConfiguration result;
  result.version = 1;
  result.routes = {route};
  result.services = {engines};
  return result;
}

BackendPoolOptions pool_options(std::size_t gateway) {
  BackendPoolOptions options;
  options.zone = "z1";
  options.seed = gateway + 1;
  return options;
}

}  // namespace

struct LimitedFleet::Gateway {
  Gateway(std::size_t index, std::uint64_t incarnation_number)
      : incarnation(incarnation_number),
        targets(seconds(7)),
        pool(pool_options(index)),
        forwarder(pool, targets, quarantine, ForwarderOptions{}) {
    forwarder.set_routes(std::make_shared<RouteTable>(configuration()));
  }

  std::uint64_t incarnation;
  WeightTargets targets;
  BackendPool pool;
  RequestQuarantine quarantine;
  RequestForwarder forwarder;
  RequestNumber last_request = 0;
  std::map<RequestNumber, TimePoint> sent_at;
  std::map<std::string, PermitIssuer> local_issuers;
};

struct LimitedFleet::Engine {
  PermitIssuer issuer;
  std::vector<TimePoint> arrivals;
  std::uint32_t running = 0;
  bool limited = false;
  std::int64_t started_at_ms = 1;
};

LimitedFleet::LimitedFleet(const LimitedFleetOptions& options)
    : options_(options), random_(options.seed) {
  for (std::size_t engine = 0; engine < options.engines; ++engine) {
    engines_.push_back(std::make_unique<Engine>());
    engines_.back()->limited = engine < options.limited;
  }
  gateways_.resize(options.gateways);
  for (std::size_t index = 0; index < options.gateways; ++index) start_gateway(index);
  for (std::size_t engine = 0; engine < options.engines; ++engine) report(engine);
  send_requests();
}

LimitedFleet::~LimitedFleet() = default;

void LimitedFleet::at(TimePoint time, Event event) { events_.emplace(time, std::move(event)); }

void LimitedFleet::at_gateway(std::size_t index, Duration delay,
                              const std::function<void(Gateway&)>& event) {
  const std::uint64_t incarnation = gateways_[index]->incarnation;
  after(delay, [this, index, incarnation, event] {
    if (gateways_[index]->incarnation != incarnation) return;
    const auto frozen = frozen_until_.find(index);
    if (frozen != frozen_until_.end() && now_ < frozen->second) {
      at_gateway(index, frozen->second - now_, event);
      return;
    }
    event(*gateways_[index]);
  });
}

Duration LimitedFleet::network_delay() {
  std::uniform_int_distribution<std::int64_t> microseconds(1000, 6000);
  return Duration(microseconds(random_));
}

void LimitedFleet::start_gateway(std::size_t index) {
  gateways_[index] = std::make_unique<Gateway>(index, ++incarnations_);
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    BackendRecord record;
    record.id = engine_id(engine);
    record.started_at_ms = engines_[engine]->started_at_ms;
    record.service = "engines";
    record.address = engine_address(engine);
    record.zone = "z1";
    record.slots = kSlots;
    record.revision = static_cast<std::uint64_t>(engines_[engine]->started_at_ms);
    record.weight_version = 1;
    gateways_[index]->pool.on_record(record, now_);
    // The agents answer the subscription of the new process at once.
    if (!isolated_.contains(index)) send_load_report(engine, index);
  }
  tick(index);
}

void LimitedFleet::set_limit(std::optional<double> per_second) { limit_ = per_second; }

void LimitedFleet::freeze_gateway(std::size_t gateway, Duration length) {
  frozen_until_[gateway] = now_ + length;
}

void LimitedFleet::restart_gateway(std::size_t gateway) { start_gateway(gateway); }

void LimitedFleet::restart_agent(std::size_t engine) { engines_[engine]->issuer = PermitIssuer(); }

void LimitedFleet::restart_engine(std::size_t engine) {
  Engine& restarted = *engines_[engine];
  ++restarted.started_at_ms;
  restarted.limited = false;
  restarted.issuer.on_restarted(now_);
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    at_gateway(index, network_delay(),
               [this, engine, incarnation = restarted.started_at_ms](Gateway& gateway) {
                 BackendRecord record = *gateway.pool.record_of(engine_id(engine));
                 record.started_at_ms = incarnation;
                 record.revision = static_cast<std::uint64_t>(incarnation);
                 gateway.pool.on_record(record, now_);
               });
  }
}

void LimitedFleet::run(Duration span) {
  const TimePoint end = now_ + span;
  while (!events_.empty() && events_.begin()->first <= end) {
    now_ = std::max(now_, events_.begin()->first);
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  now_ = end;
}

int LimitedFleet::arrived(std::size_t engine, TimePoint since) const {
  const std::vector<TimePoint>& arrivals = engines_[engine]->arrivals;
  return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(),
                                        [since](TimePoint at) { return at >= since; }));
}

int LimitedFleet::max_arrivals_in_window(std::size_t engine, TimePoint since) const {
  std::deque<TimePoint> window;
  std::size_t maximum = 0;
  for (const TimePoint at : engines_[engine]->arrivals) {
    if (at < since) continue;
    window.push_back(at);
    while (at - window.front() >= kWindow) window.pop_front();
    maximum = std::max(maximum, window.size());
  }
  return static_cast<int>(maximum);
}

// ---- callers ----

void LimitedFleet::send_requests() {
  std::exponential_distribution<double> pause_s(options_.requests_per_s);
  after(from_seconds(pause_s(random_)), [this] { send_requests(); });
  std::uniform_int_distribution<std::size_t> any(0, gateways_.size() - 1);
  const std::size_t index = any(random_);
  const auto frozen = frozen_until_.find(index);
  // Callers soon stop using a gateway that is frozen.
  if (frozen != frozen_until_.end() && now_ < frozen->second) return;
  Gateway& gateway = *gateways_[index];
  const RequestNumber number = ++gateway.last_request;
  gateway.sent_at[number] = now_;
  ++results_.sent;
  RequestMetadata request;
  request.id = std::to_string(number);
  request.host = "api.example";
  request.target = "/" + request.id;
  request.content = fingerprint_content("POST", request.host, request.target, request.id);
  request.time_left = seconds(6);
  request.model = "m";
  request.prompt_tokens = 100;
  ForwarderActions actions;
  gateway.forwarder.on_request(number, request, now_, actions);
  execute_actions(index, gateway, actions);
}

void LimitedFleet::tick(std::size_t index) {
  at_gateway(index, kTickInterval, [this, index](Gateway& gateway) {
    ForwarderActions actions;
    gateway.forwarder.on_tick(now_, actions);
    execute_actions(index, gateway, actions);
    tick(index);
  });
}

void LimitedFleet::execute_actions(std::size_t index, Gateway& gateway, ForwarderActions& actions) {
  for (const ForwarderAction& action : actions) {
    if (const auto* submission = std::get_if<SendToBackend>(&action)) send(index, *submission);
    if (std::get_if<EndResponse>(&action) != nullptr) ++results_.served;
    if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
      const bool limited = refusal->reason == RefusalReason::rate_limited;
      ++(limited ? results_.rate_limited : results_.refused);
      results_.max_refusal_delay =
          std::max(results_.max_refusal_delay, now_ - gateway.sent_at[refusal->request]);
    }
  }
  actions.clear();
  gateway.forwarder.take_summaries();
  report_limits(index, gateway);
  if (gateway.forwarder.waiting() == 0) gateway.pool.permits().release_unused();
  exchange_permits(index, gateway);
}

// ---- permits ----

void LimitedFleet::report_limits(std::size_t index, Gateway& gateway) {
  for (const LimitChange& change : gateway.pool.limits().take_changes()) {
    gateway.pool.permits().on_limit_changed(change.backend);
    if (change.source != LimitSource::answer) continue;
    send_to_issuer(index, gateway,
                   {change.backend, gateway.pool.incarnation_of(change.backend).started_at_ms, now_,
                    false, 0, change.limit});
  }
}

void LimitedFleet::exchange_permits(std::size_t index, Gateway& gateway) {
  for (const PermitMessage& call : gateway.pool.permits().take_messages(now_)) {
    const PermitRequest request{call.backend,
                                gateway.pool.incarnation_of(call.backend).started_at_ms,
                                call.asked_at,
                                call.wanted,
                                0,
                                gateway.pool.limits().limit_of(call.backend),
                                call.given_back,
                                gateway.incarnation};
    if (options_.sharing == LimitSharing::issuer) {
      send_to_issuer(index, gateway, request);
      continue;
    }
    const PermitAnswer answer = issue_locally(index, gateway, request);
    if (!request.wanted) continue;
    at_gateway(index, Duration::zero(), [this, index, answer](Gateway& requester) {
      on_permit_answer(index, requester, answer);
    });
  }
}

PermitAnswer LimitedFleet::issue_locally(std::size_t index, Gateway& gateway,
                                         const PermitRequest& request) {
  PermitRequest own = request;
  const auto gateways = static_cast<double>(gateways_.size());
  const bool shared = options_.sharing == LimitSharing::equal_shares;
  if (shared && own.limit.is_limited()) own.limit.per_second = *own.limit.per_second / gateways;
  PermitAnswer answer = gateway.local_issuers[request.backend].on_request(own, now_);
  answer.limit = request.limit;
  if (options_.sharing == LimitSharing::one_gateway && index != 0) answer.granted = false;
  return answer;
}

void LimitedFleet::send_to_issuer(std::size_t index, Gateway& gateway,
                                  const PermitRequest& request) {
  if (options_.sharing != LimitSharing::issuer) return;
  ++permit_messages_;
  if (isolated_.contains(index)) return;
  const std::size_t engine = std::stoul(request.backend.substr(1));
  const std::uint64_t incarnation = gateway.incarnation;
  after(network_delay(), [this, index, engine, incarnation, request] {
    PermitIssuer& issuer = engines_[engine]->issuer;
    const PermitAnswer answer = issuer.on_request(request, now_);
    if (issuer.take_changed(now_)) {
      for (std::size_t other = 0; other < gateways_.size(); ++other)
        send_load_report(engine, other);
    }
    if (!request.wanted || isolated_.contains(index)) return;
    if (gateways_[index]->incarnation != incarnation) return;
    ++permit_messages_;
    at_gateway(index, network_delay(), [this, index, answer](Gateway& requester) {
      on_permit_answer(index, requester, answer);
    });
  });
}

void LimitedFleet::on_permit_answer(std::size_t index, Gateway& gateway,
                                    const PermitAnswer& answer) {
  gateway.pool.permits().on_answer(answer, now_);
  gateway.pool.limits().on_reported(answer.backend, answer.limit, LimitSource::agent);
  ForwarderActions actions;
  gateway.forwarder.on_capacity(now_, actions);
  execute_actions(index, gateway, actions);
}

// ---- engines ----

void LimitedFleet::report(std::size_t engine) {
  for (std::size_t index = 0; index < gateways_.size(); ++index) send_load_report(engine, index);
  after(kReportInterval, [this, engine] { report(engine); });
}

void LimitedFleet::send_load_report(std::size_t engine, std::size_t index) {
  if (isolated_.contains(index)) return;
  const Engine& reporting = *engines_[engine];
  LoadReport load;
  load.alive = true;
  load.running = reporting.running;
  load.weight_version = 1;
  load.credit = reporting.issuer.limit().is_limited() ? 0 : 4;
  load.gateways = static_cast<std::uint32_t>(gateways_.size());
  load.started_at_ms = reporting.started_at_ms;
  if (options_.sharing == LimitSharing::issuer) load.limit = reporting.issuer.limit();
  at_gateway(index, network_delay(), [this, index, engine, load](Gateway& gateway) {
    gateway.pool.on_report(engine_address(engine), load, now_);
    ForwarderActions actions;
    gateway.forwarder.on_capacity(now_, actions);
    execute_actions(index, gateway, actions);
  });
}

void LimitedFleet::send(std::size_t index, const SendToBackend& action) {
  const std::size_t engine = std::stoul(action.backend.substr(1));
  if (isolated_.contains(index)) return;
  after(network_delay(),
        [this, index, engine, request = action.request] { on_arrival(index, engine, request); });
}

void LimitedFleet::on_arrival(std::size_t index, std::size_t engine, RequestNumber request) {
  engines_[engine]->arrivals.push_back(now_);
  ++engines_[engine]->running;
  after(kServiceTime, [this, index, engine, request] { respond(index, engine, request); });
}

void LimitedFleet::respond(std::size_t index, std::size_t engine, RequestNumber request) {
  Engine& from = *engines_[engine];
  --from.running;
  if (isolated_.contains(index)) return;
  ResponseMetadata metadata;
  metadata.status = 200;
  metadata.success = true;
  if (from.limited) metadata.rate_limit.per_second = limit_;
  at_gateway(index, network_delay(), [this, index, request, metadata](Gateway& gateway) {
    gateway.forwarder.on_connected(request);
    gateway.forwarder.on_response_head(request, metadata, false, now_);
    ForwarderActions actions;
    gateway.forwarder.on_response_body(request, "answer", now_, actions);
    gateway.forwarder.on_response_complete(request, ResponseEnd::stated, now_, actions);
    gateway.forwarder.on_capacity(now_, actions);
    execute_actions(index, gateway, actions);
  });
}

}  // namespace pumicemast::tests
