#include "support/overload_simulation.h"

#include <algorithm>
#include <cmath>

namespace pumicemast::tests {
namespace {

constexpr Duration kStep = milliseconds(5);
constexpr Duration kReportInterval = milliseconds(50);
constexpr Duration kCallerTimeout = seconds(6);
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

/// Requests per second that an engine with a full batch serves.
double capacity_of(const EngineProfile& profile) {
  const double prefill_ms = profile.usual_prompt_tokens * 1000 / profile.prompt_tokens_per_s;
  const double service_ms =
      profile.usual_answer_tokens * profile.step_ms + profile.slots * prefill_ms;
  return profile.slots * 1000 / service_ms;
}

BackendPoolOptions pool_options(std::uint64_t seed) {
  BackendPoolOptions options;
  options.zone = "z";
  options.seed = seed;
  return options;
}

ForwarderOptions forwarder_options(std::uint64_t seed) {
  ForwarderOptions options;
  options.seed = seed;
  return options;
}

}  // namespace

struct OverloadSimulation::Gateway {
  explicit Gateway(std::uint64_t seed)
      : targets(seconds(7)),
        pool(pool_options(seed)),
        forwarder(pool, targets, quarantine, forwarder_options(seed)) {}

  WeightTargets targets;
  BackendPool pool;
  RequestQuarantine quarantine;
  RequestForwarder forwarder;
  TimePoint first_attempt_refused_at{};
};

struct OverloadSimulation::Engine {
  explicit Engine(const EngineProfile& profile) : model(profile) {}

  ModelledEngine model;
  CreditAllocator credit_allocator;
  Address address;
  std::string id;
};

struct OverloadSimulation::Caller {
  std::size_t kind = 0;
  std::size_t gateway = 0;
  double prompt = 0;
  double answer = 0;
  TimePoint sent_at{};
  Duration time_limit = kCallerTimeout;
  int attempts = 0;
  TimePoint first_token{};
  bool finished = false;
};

OverloadSimulation::OverloadSimulation(OverloadOptions options)
    : options_(options), random_(options.seed) {
  const EngineProfile profile = true_profile();
  arrivals_per_s_ = options_.load * static_cast<double>(options_.engines) * capacity_of(profile);
  const double configured = options_.configured_prompt_rate > 0 ? options_.configured_prompt_rate
                                                                : profile.prompt_tokens_per_s;
  const auto routes = std::make_shared<RouteTable>(configuration(configured));
  for (std::size_t index = 0; index < std::size(kGatewayShares); ++index) {
    gateways_.push_back(std::make_unique<Gateway>(options_.seed + index));
    gateways_.back()->forwarder.set_routes(routes);
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

FleetConfiguration OverloadSimulation::configuration(double prompt_rate) const {
  FleetConfiguration result;
  result.version = 1;
  ServiceProfile service;
  service.name = "engines";
  service.engine = true_profile();
  service.engine->prompt_tokens_per_s = prompt_rate;
  result.services = {service};
  for (const Kind& kind : kKinds) {
    RouteRule route;
    route.name = kind.name;
    route.host = "api.example";
    route.path_prefix = std::string("/") + kind.name + "/";
    route.kind = RequestKind::stream;
    route.resumable = true;
    route.is_public = true;
    route.timeout = kCallerTimeout;
    route.latency_goal = milliseconds(kind.goal_ms);
    route.attempts = 2;
    route.services = {{"engines", 1}};
    result.routes.push_back(route);
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

void OverloadSimulation::start_callers() {
  while (next_arrival_ <= now_) {
    next_arrival_ += random_arrival_gap();
    Caller caller;
    std::discrete_distribution<std::size_t> kinds(
        {kKinds[0].share, kKinds[1].share, kKinds[2].share});
    std::discrete_distribution<std::size_t> gateways(std::begin(kGatewayShares),
                                                     std::end(kGatewayShares));
    caller.kind = kinds(random_);
    caller.gateway = gateways(random_);
    caller.prompt = random_token_count(kKinds[caller.kind].mean_prompt, 0.8, 3900);
    caller.answer = random_token_count(kUsualAnswerTokens, 0.7, 360);
    caller.sent_at = now_;
    caller.time_limit = kCallerTimeout - random_duration(options_.timeout_jitter);
    callers_.push_back(caller);
    send_request(callers_.size() - 1);
  }
}

void OverloadSimulation::send_request(std::uint64_t number) {
  Caller& caller = callers_[number];
  ++caller.attempts;
  RequestMetadata metadata;
  metadata.id = std::to_string(number);
  metadata.host = "api.example";
  metadata.target = std::string("/") + kKinds[caller.kind].name + "/1";
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
          {send->request, caller.prompt, caller.answer});
      const bool first_attempts_refused =
          now_ - begin_ > kWarmUpTime &&
          now_ - gateway.first_attempt_refused_at < milliseconds(100);
      if (caller.attempts > 1 && first_attempts_refused)
        ++result_.retries_served_while_first_refused;
    } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
      on_refusal(refusal->request, refusal->retry_after);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      for (const auto& engine : engines_) engine->model.cancel(cancel->request);
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
    send_request(number);
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
    gateway.forwarder.on_response_complete(event.request, now_, actions);
    caller.finished = true;
  }
  execute_actions(gateway, actions);
}

void OverloadSimulation::run_engines() {
  for (const auto& engine : engines_) {
    for (const EngineEvent& event : engine->model.advance(now_)) on_event(event);
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
  for (const auto& engine : engines_) {
    EngineCapacity capacity;
    capacity.slots = true_profile().slots;
    capacity.occupied = engine->model.running() + engine->model.queued();
    capacity.usual_prompt_tokens = kUsualPromptTokens;
    for (const auto& [gateway, credit] : engine->credit_allocator.allocate(capacity, peers)) {
      LoadReport load;
      load.alive = true;
      load.running = engine->model.running();
      load.queued = engine->model.queued();
      load.weight_version = 1;
      load.credit = credit;
      load.others_pending_tokens = engine->credit_allocator.pending_tokens_of_others(gateway);
      gateways_[gateway]->pool.on_report(engine->address, load, now_);
    }
  }
}

void OverloadSimulation::count_outcome(const Caller& caller) {
  const Kind& kind = kKinds[caller.kind];
  std::vector<CallerCounts*> groups = {&result_.all, &result_.by_kind[kind.name],
                                       &result_.by_gateway[caller.gateway]};
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
  while (now_ < begin_ + options_.duration + kCallerTimeout) {
    run_engines();
    send_backlogs();
    if (now_ >= next_report) {
      report();
      next_report += kReportInterval;
    }
    for (const auto& gateway : gateways_) {
      ForwarderActions actions;
      gateway->forwarder.on_tick(now_, actions);
      execute_actions(*gateway, actions);
    }
    if (now_ < begin_ + options_.duration) start_callers();
    send_due_retries();
    now_ += kStep;
  }
  for (const Caller& caller : callers_) count_outcome(caller);
  return result_;
}

}  // namespace pumicemast::tests
