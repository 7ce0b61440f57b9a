#include "support/overload_simulation.h"

#include <algorithm>
#include <cmath>

#include "support/overload_simulation_parts.h"

namespace pumicemast::tests {
namespace {

constexpr Duration kStep = milliseconds(5);
constexpr Duration kReportInterval = milliseconds(50);
/// Competing classes: steps, load polls of agents and timers of gateways.
constexpr Duration kShortStep = milliseconds(1);
constexpr Duration kPollInterval = milliseconds(20);
constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kLateReports = milliseconds(250);
constexpr Duration kWarmUpTime = seconds(4);
constexpr double kUsualPromptTokens = 964;
constexpr double kUsualAnswerTokens = 119;
/// Fractions of the arrivals that reach each gateway: load balancers distribute callers unevenly.
constexpr double kGatewayShares[] = {0.2, 0.5, 0.3};

struct Kind {
  const char* name;
  double share;
  double mean_prompt;
  double largest_tenth;  ///< Minimum tokens of a prompt of the largest tenth.
  int goal_ms;
};
constexpr Kind kKinds[] = {{"draft", 0.39, 1290, 2600, 400},
                           {"explain", 0.28, 787, 1600, 400},
                           {"check", 0.33, 607, 1230, 300}};
/// Of the deployment in docs/design/slot-scheduling.md, by priority.
constexpr Kind kCompetingKinds[] = {
    {"p0", 0.427, 787, 1600, 400}, {"p1", 0.235, 607, 1230, 400}, {"p2", 0.338, 1290, 2600, 1000}};
constexpr double kLargestTenantShare = 1.0 / 3;

const Kind& kind_at(const OverloadOptions& options, std::size_t index) {
  return options.competing_classes ? kCompetingKinds[index] : kKinds[index];
}

EngineProfile true_profile() {
  EngineProfile profile;
  profile.slots = 16;
  profile.step_ms = 6.73;
  profile.step_ms_per_slot = 0.0219;
  profile.prompt_tokens_per_s = 30600;
  profile.steps_per_pass = 6;
  profile.prefill_chunk_tokens = 2048;
  profile.usual_prompt_tokens = kUsualPromptTokens;
  profile.usual_answer_tokens = kUsualAnswerTokens;
  return profile;
}

/// A full engine finishes about 8 requests a second.
EngineProfile competing_profile() {
  EngineProfile profile;
  profile.slots = 12;
  profile.step_ms = 9.27;
  profile.prompt_tokens_per_s = 20700;
  profile.steps_per_pass = 5;
  profile.prefill_chunk_tokens = 2048;
  profile.usual_prompt_tokens = 915;
  profile.usual_answer_tokens = 105;
  return profile;
}

/// Requests per second that an engine with a full batch serves.
double capacity_of(const EngineProfile& profile) {
  const double prefill_ms = profile.usual_prompt_tokens * 1000 / profile.prompt_tokens_per_s;
  const double service_ms =
      profile.usual_answer_tokens * profile.step_ms + profile.slots * prefill_ms;
  return profile.slots * 1000 / service_ms;
}

}  // namespace

OverloadSimulation::OverloadSimulation(OverloadOptions options)
    : options_(options),
      random_(options.seed),
      tenant_random_(options.seed + 1000),
      burst_random_(options.seed + 2000) {
  const EngineProfile profile = this->profile();
  arrivals_per_s_ = options_.load * static_cast<double>(options_.engines) * capacity_of(profile);
  const double configured = options_.configured_prompt_rate > 0 ? options_.configured_prompt_rate
                                                                : profile.prompt_tokens_per_s;
  const auto routes = std::make_shared<RouteTable>(configuration(configured));
  for (std::size_t index = 0; index < std::size(kGatewayShares); ++index) {
    gateways_.push_back(std::make_unique<Gateway>(options_.seed + index));
    gateways_.back()->forwarder.set_routes(routes);
    gateways_.back()->index = index;
  }
  for (std::size_t index = 0; index < options_.engines; ++index) {
    engines_.push_back(std::make_unique<Engine>(profile));
    Engine& engine = *engines_.back();
    engine.id = "e" + std::to_string(index);
    engine.address = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    BackendRecord record;
    record.id = engine.id;
    record.service = "engines";
    record.address = engine.address;
    record.zone = "z";
    record.slots = profile.slots;
    record.revision = index + 1;
    record.weight_version = 1;
    for (const auto& gateway : gateways_) gateway->pool.on_record(record, now_);
    for (std::size_t gateway = 0; options_.reports_demand && gateway < gateways_.size();
         ++gateway) {
      engine.credit_allocator.set_demand(gateway, arrivals_per_s_ * kGatewayShares[gateway]);
    }
  }
}

OverloadSimulation::~OverloadSimulation() = default;

EngineProfile OverloadSimulation::profile() const {
  return options_.competing_classes ? competing_profile() : true_profile();
}

FleetConfiguration OverloadSimulation::configuration(double prompt_rate) const {
  FleetConfiguration result;
  result.version = 1;
  ServiceProfile service;
  service.name = "engines";
  service.engine = profile();
  service.engine->prompt_tokens_per_s = prompt_rate;
  result.services = {service};
  for (std::size_t index = 0; index < std::size(kKinds); ++index) {
    const Kind& kind = kind_at(options_, index);
    RouteRule route;
    if (options_.priorities) route.priority = static_cast<int>(index);
    route.name = kind.name;
    route.host = "api.example";
    route.path_prefix = std::string("/") + kind.name + "/";
    route.kind = RequestKind::stream;
    route.resumable = true;
    route.is_public = true;
    route.timeout = kOverloadCallerTimeout;
    route.latency_goal = milliseconds(kind.goal_ms);
    route.attempts = 2;
    route.services = {{"engines", 1}};
    result.routes.push_back(route);
  }
  for (std::size_t tenant = 0; tenant < options_.tenants; ++tenant) {
    const std::string name = std::to_string(tenant);
    result.tenants.push_back({"tenant-" + name, {"key-" + name}, std::nullopt});
  }
  return result;
}

Duration OverloadSimulation::random_arrival_gap() {
  return from_seconds(std::exponential_distribution<double>(arrivals_per_s_)(random_));
}

Duration OverloadSimulation::random_duration(Duration maximum) {
  if (maximum == Duration::zero()) return maximum;
  return Duration(std::uniform_int_distribution<Duration::rep>(0, maximum.count())(random_));
}

double OverloadSimulation::random_token_count(double mean, double spread, double max_tokens) {
  // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
  std::lognormal_distribution<double> sizes(std::log(mean) - spread * spread / 2, spread);
  return std::clamp(sizes(random_), 16.0, max_tokens);
}

std::size_t OverloadSimulation::random_tenant(std::mt19937_64& random) {
  if (options_.tenants < 2) return 0;
  if (std::bernoulli_distribution(kLargestTenantShare)(random)) return 0;
  return std::uniform_int_distribution<std::size_t>(1, options_.tenants - 1)(random);
}

double OverloadSimulation::burst_rate() const {
  const OverloadBurst& burst = *options_.burst;
  double share = burst.kind ? kind_at(options_, *burst.kind).share : 1;
  if (burst.tenant) {
    share *= *burst.tenant == 0
                 ? kLargestTenantShare
                 : (1 - kLargestTenantShare) / static_cast<double>(options_.tenants - 1);
  }
  return arrivals_per_s_ * share * (burst.factor - 1);
}

/// The usual callers are the same with a burst as without it.
void OverloadSimulation::start_burst_callers() {
  if (!options_.burst) return;
  std::swap(random_, burst_random_);
  while (next_burst_arrival_ <= now_) {
    next_burst_arrival_ +=
        from_seconds(std::exponential_distribution<double>(burst_rate())(random_));
    Caller caller;
    caller.in_burst = true;
    start_caller(caller);
  }
  std::swap(random_, burst_random_);
}

void OverloadSimulation::start_callers() {
  while (next_arrival_ <= now_) {
    next_arrival_ += random_arrival_gap();
    start_caller({});
  }
}

void OverloadSimulation::start_caller(Caller caller) {
  std::discrete_distribution<std::size_t> kinds(
      {kind_at(options_, 0).share, kind_at(options_, 1).share, kind_at(options_, 2).share});
  std::discrete_distribution<std::size_t> gateways(std::begin(kGatewayShares),
                                                   std::end(kGatewayShares));
  caller.kind = kinds(random_);
  caller.gateway = gateways(random_);
  caller.tenant = random_tenant(caller.in_burst ? random_ : tenant_random_);
  if (caller.in_burst && options_.burst->kind) caller.kind = *options_.burst->kind;
  if (caller.in_burst && options_.burst->tenant) caller.tenant = *options_.burst->tenant;
  caller.prompt = random_token_count(kind_at(options_, caller.kind).mean_prompt, 0.8, 3900);
  caller.answer = random_token_count(profile().usual_answer_tokens, 0.7, 360);
  caller.sent_at = now_;
  caller.time_limit = kOverloadCallerTimeout - random_duration(options_.timeout_jitter);
  callers_.push_back(caller);
  const std::size_t number = callers_.size() - 1;
  deliver(caller.gateway, [this, number] { send_request(number); });
}

void OverloadSimulation::send_request(std::uint64_t number) {
  Caller& caller = callers_[number];
  ++caller.attempts;
  RequestMetadata metadata;
  metadata.id = std::to_string(number);
  metadata.host = "api.example";
  metadata.target = std::string("/") + kind_at(options_, caller.kind).name + "/1";
  if (options_.tenants > 0) metadata.api_key = "key-" + std::to_string(caller.tenant);
  metadata.time_left = caller.time_limit - (now_ - caller.sent_at);
  metadata.model = "m";
  metadata.prompt_tokens = caller.prompt;
  metadata.answer_tokens = caller.answer;
  const RequestNumber request = next_request_++;
  callers_of_requests_[request] = number;
  Gateway& gateway = *gateways_[caller.gateway];
  ForwarderActions actions;
  const std::uint64_t first_before = gateway.forwarder.counters().engine_first_attempts;
  gateway.forwarder.on_request(request, std::move(metadata), now_, actions);
  const bool counted_as_first = gateway.forwarder.counters().engine_first_attempts > first_before;
  if (now_ - begin_ > kWarmUpTime) record_classification(caller.attempts > 1, !counted_as_first);
  execute_actions(gateway, actions);
}

void OverloadSimulation::record_classification(bool is_retry, bool classified_as_retry) {
  ++(is_retry ? result_.retries : result_.first_attempts);
  if (classified_as_retry) ++(is_retry ? result_.recognized : result_.misclassified);
}

void OverloadSimulation::execute_actions(Gateway& gateway, ForwarderActions& actions) {
  for (const ForwarderAction& action : actions) {
    if (const auto* send = std::get_if<SendToBackend>(&action)) {
      const Caller& caller = callers_[callers_of_requests_.at(send->request)];
      gateway.forwarder.on_connected(send->request);
      engines_[send->address.port - 1U]->model.submit(
          {send->request, caller.prompt, caller.answer, send->priority.value_or(0)});
      const bool first_attempts_refused =
          now_ - begin_ > kWarmUpTime &&
          now_ - gateway.first_attempt_refused_at < milliseconds(100);
      if (caller.attempts > 1 && first_attempts_refused)
        ++result_.retries_served_while_first_refused;
    } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
      on_refusal(refusal->request, refusal->retry_after);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      for (const auto& engine : engines_) engine->model.cancel(cancel->request);
    } else if (const auto* queue = std::get_if<QueueForSlot>(&action)) {
      send_slot_requests(gateway.index, queue->engine.port - 1U, {{queue->request}, {}});
    } else if (const auto* leave = std::get_if<LeaveSlotQueue>(&action)) {
      send_slot_requests(gateway.index, leave->engine.port - 1U, {{}, {leave->request}});
    }
  }
  actions.clear();
}

void OverloadSimulation::on_refusal(std::uint64_t request, Duration retry_after) {
  const std::uint64_t number = callers_of_requests_.at(request);
  Caller& caller = callers_[number];
  if (caller.attempts > 1) return;
  gateways_[caller.gateway]->first_attempt_refused_at = now_;
  retries_.emplace(now_ + std::max(retry_after, milliseconds(50)), number);
}

void OverloadSimulation::send_due_retries() {
  while (!retries_.empty() && retries_.begin()->first <= now_) {
    const std::uint64_t number = retries_.begin()->second;
    retries_.erase(retries_.begin());
    deliver(callers_[number].gateway, [this, number] { send_request(number); });
  }
}

void OverloadSimulation::on_event(const EngineEvent& event) {
  Caller& caller = callers_[callers_of_requests_.at(event.request)];
  Gateway& gateway = *gateways_[caller.gateway];
  ForwarderActions actions;
  if (event.kind == EngineEvent::Kind::tokens) {
    if (event.number == 1) {
      ResponseMetadata metadata;
      metadata.status = 200;
      metadata.success = true;
      gateway.forwarder.on_response_head(event.request, metadata, true, now_);
    }
    const std::string text = "id: " + std::to_string(event.number) + "\ndata: a\n\n";
    gateway.forwarder.on_response_body(event.request, text, now_, actions);
    if (caller.first_token == TimePoint{}) caller.first_token = now_;
  } else {
    gateway.forwarder.on_response_complete(event.request, ResponseEnd::stated, now_, actions);
    caller.finished = true;
  }
  execute_actions(gateway, actions);
}

void OverloadSimulation::run_engines() {
  for (const auto& engine : engines_) {
    for (const EngineEvent& event : engine->model.advance(now_)) {
      const Caller& caller = callers_[callers_of_requests_.at(event.request)];
      deliver(caller.gateway, [this, event] { on_event(event); });
    }
  }
}

void OverloadSimulation::send_backlogs() {
  for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
    for (const PromptBacklog& backlog : gateways_[gateway]->pool.take_changed_backlogs()) {
      engines_[backlog.address.port - 1U]->credit_allocator.set_pending_tokens(
          gateway, static_cast<std::uint32_t>(backlog.pending_tokens));
    }
  }
}

void OverloadSimulation::report() {
  std::vector<PeerId> peers;
  for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) peers.push_back(gateway);
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    const auto& engine = engines_[index];
    if (now_ < engine->agent_lost_until) continue;
    EngineCapacity capacity;
    capacity.slots = profile().slots;
    capacity.occupied =
        engine->model.running() + engine->model.queued() + engine->slots.grants_in_transit(now_);
    if (engine->slots.waiting() > 0)
      capacity.occupied = std::max(capacity.occupied, capacity.slots);
    capacity.usual_prompt_tokens = profile().usual_prompt_tokens;
    for (const auto& [gateway, credit] : engine->credit_allocator.allocate(capacity, peers)) {
      LoadReport load;
      load.alive = true;
      load.running = engine->model.running();
      load.queued = engine->model.queued();
      load.weight_version = 1;
      load.credit = credit;
      load.others_pending_tokens = engine->credit_allocator.pending_tokens_of_others(gateway);
      load.queues_slot_requests = options_.competing_classes;
      load.slot_requests = static_cast<std::uint32_t>(engine->slots.waiting());
      const Duration delay =
          options_.fault == OverloadFault::late_reports ? kLateReports : Duration::zero();
      send_message(gateway, index, delay, [this, to = gateway, index, load] {
        Gateway& target = *gateways_[to];
        target.pool.on_report(engines_[index]->address, load, now_);
        if (!options_.competing_classes) return;
        ForwarderActions actions;
        target.forwarder.on_capacity(now_, actions);
        execute_actions(target, actions);
      });
    }
  }
}

void OverloadSimulation::count_outcome(const Caller& caller) {
  if (caller.in_burst) return;
  const Kind& kind = kind_at(options_, caller.kind);
  std::vector<CallerCounts*> groups = {&result_.all, &result_.by_kind[kind.name],
                                       &result_.by_gateway[caller.gateway],
                                       &result_.by_tenant[caller.tenant]};
  if (caller.prompt >= kind.largest_tenth) groups.push_back(&result_.largest_tenth);
  const bool in_time =
      caller.finished && caller.first_token - caller.sent_at <= milliseconds(kind.goal_ms);
  for (CallerCounts* group : groups) {
    ++group->total;
    ++(in_time ? group->in_time : caller.finished ? group->late : group->unserved);
  }
}

OverloadResult OverloadSimulation::run() {
  TimePoint next_report = now_;
  TimePoint next_tick = now_;
  TimePoint next_poll = now_;
  const Duration step = options_.competing_classes ? kShortStep : kStep;
  while (now_ < begin_ + options_.duration + kOverloadCallerTimeout) {
    inject_faults();
    deliver_messages();
    run_engines();
    send_backlogs();
    if (now_ >= next_report) {
      report();
      next_report += kReportInterval;
    }
    if (now_ >= next_poll) {
      for (std::size_t engine = 0; engine < engines_.size(); ++engine) decide_slots(engine);
      next_poll += kPollInterval;
    }
    if (now_ >= next_tick) {
      for (const auto& gateway : gateways_) {
        if (now_ < gateway->frozen_until) continue;
        ForwarderActions actions;
        gateway->forwarder.on_tick(now_, actions);
        execute_actions(*gateway, actions);
      }
      next_tick += options_.competing_classes ? kTickInterval : kStep;
    }
    if (now_ < begin_ + options_.duration) {
      start_callers();
      start_burst_callers();
      measure_idle_slots();
    }
    send_due_retries();
    now_ += step;
  }
  for (const Caller& caller : callers_) count_outcome(caller);
  return result_;
}

}  // namespace pumicemast::tests
