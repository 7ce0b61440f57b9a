#include "support/overload_world.h"

#include <algorithm>
#include <cmath>

namespace pumicemast::tests {
namespace {

constexpr Duration kStep = milliseconds(5);
constexpr Duration kReportEvery = milliseconds(50);
constexpr Duration kPatience = seconds(6);
constexpr Duration kLearningTime = seconds(4);
constexpr double kUsualPrompt = 964;
constexpr double kUsualAnswer = 119;
/// The shares of arrivals that the gateways get: balancers spread callers unevenly.
constexpr double kGatewayShares[] = {0.2, 0.5, 0.3};

struct Kind {
  const char* name;
  double share;
  double mean_prompt;
  double largest_tenth;  ///< A prompt of the largest tenth has so many tokens or more.
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
  profile.usual_prompt_tokens = kUsualPrompt;
  profile.usual_answer_tokens = kUsualAnswer;
  return profile;
}

/// Requests a second that an engine with a full batch serves.
double capacity_of(const EngineProfile& profile) {
  const double read_ms = profile.usual_prompt_tokens * 1000 / profile.prompt_tokens_per_s;
  const double stay_ms = profile.usual_answer_tokens * profile.step_ms + profile.slots * read_ms;
  return profile.slots * 1000 / stay_ms;
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

struct OverloadWorld::Gateway {
  explicit Gateway(std::uint64_t seed)
      : targets(seconds(7)),
        pool(pool_options(seed)),
        forwarder(pool, targets, quarantine, forwarder_options(seed)) {}

  WeightTargets targets;
  BackendPool pool;
  RequestQuarantine quarantine;
  RequestForwarder forwarder;
  TimePoint refused_first_at{};
};

struct OverloadWorld::Engine {
  explicit Engine(const EngineProfile& profile) : model(profile) {}

  ModelledEngine model;
  CreditAllocator dealer;
  Address address;
  std::string id;
};

struct OverloadWorld::Caller {
  std::size_t kind = 0;
  std::size_t gateway = 0;
  double prompt = 0;
  double answer = 0;
  TimePoint asked{};
  Duration patience = kPatience;
  int attempts = 0;
  TimePoint first_token{};
  bool finished = false;
};

OverloadWorld::OverloadWorld(OverloadOptions options) : options_(options), random_(options.seed) {
  const EngineProfile profile = true_profile();
  arrivals_per_s_ = options_.load * static_cast<double>(options_.engines) * capacity_of(profile);
  const double believed = options_.believed_prompt_rate > 0 ? options_.believed_prompt_rate
                                                            : profile.prompt_tokens_per_s;
  const auto routes = std::make_shared<RouteTable>(configuration(believed));
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
    for (const auto& gateway : gateways_) gateway->pool.on_record(record);
    for (std::size_t gateway = 0; options_.tells_demand && gateway < gateways_.size(); ++gateway) {
      engine.dealer.set_demand(gateway, arrivals_per_s_ * kGatewayShares[gateway]);
    }
  }
}

OverloadWorld::~OverloadWorld() = default;

FleetConfiguration OverloadWorld::configuration(double prompt_rate) const {
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
    route.timeout = kPatience;
    route.latency_goal = milliseconds(kind.goal_ms);
    route.attempts = 2;
    route.services = {{"engines", 1}};
    result.routes.push_back(route);
  }
  return result;
}

Duration OverloadWorld::draw_gap() {
  return from_seconds(std::exponential_distribution<double>(arrivals_per_s_)(random_));
}

Duration OverloadWorld::draw_up_to(Duration longest) {
  if (longest == Duration::zero()) return longest;
  return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(random_));
}

double OverloadWorld::draw_tokens(double mean, double spread, double most) {
  // A mean of the lognormal distribution is shifted by half of its variance.
  std::lognormal_distribution<double> sizes(std::log(mean) - spread * spread / 2, spread);
  return std::clamp(sizes(random_), 16.0, most);
}

void OverloadWorld::arrive() {
  while (next_arrival_ <= now_) {
    next_arrival_ += draw_gap();
    Caller caller;
    std::discrete_distribution<std::size_t> kinds(
        {kKinds[0].share, kKinds[1].share, kKinds[2].share});
    std::discrete_distribution<std::size_t> gateways(std::begin(kGatewayShares),
                                                     std::end(kGatewayShares));
    caller.kind = kinds(random_);
    caller.gateway = gateways(random_);
    caller.prompt = draw_tokens(kKinds[caller.kind].mean_prompt, 0.8, 3900);
    caller.answer = draw_tokens(kUsualAnswer, 0.7, 360);
    caller.asked = now_;
    caller.patience = kPatience - draw_up_to(options_.patience_spread);
    callers_.push_back(caller);
    ask(callers_.size() - 1);
  }
}

void OverloadWorld::ask(std::uint64_t number) {
  Caller& caller = callers_[number];
  ++caller.attempts;
  RequestMetadata facts;
  facts.id = std::to_string(number);
  facts.host = "api.example";
  facts.target = std::string("/") + kKinds[caller.kind].name + "/1";
  facts.time_left = caller.patience - (now_ - caller.asked);
  facts.model = "m";
  facts.prompt_tokens = caller.prompt;
  facts.answer_tokens = caller.answer;
  const RequestNumber request = next_request_++;
  callers_of_requests_[request] = number;
  Gateway& gateway = *gateways_[caller.gateway];
  ForwarderActions actions;
  const std::uint64_t first_before = gateway.forwarder.counters().engine_first_attempts;
  gateway.forwarder.on_request(request, std::move(facts), now_, actions);
  const bool held_first = gateway.forwarder.counters().engine_first_attempts > first_before;
  if (now_ - begin_ > kLearningTime) note_recognition(caller.attempts > 1, !held_first);
  carry_out(gateway, actions);
}

void OverloadWorld::note_recognition(bool returned, bool held_to_return) {
  ++(returned ? result_.returned : result_.asked_first);
  if (held_to_return) ++(returned ? result_.recognized : result_.mistaken);
}

void OverloadWorld::carry_out(Gateway& gateway, ForwarderActions& actions) {
  for (const ForwarderAction& action : actions) {
    if (const auto* send = std::get_if<SendToBackend>(&action)) {
      const Caller& caller = callers_[callers_of_requests_.at(send->request)];
      gateway.forwarder.on_connected(send->request);
      engines_[send->address.port - 1U]->model.submit(
          {send->request, caller.prompt, caller.answer});
      const bool first_refused =
          now_ - begin_ > kLearningTime && now_ - gateway.refused_first_at < milliseconds(100);
      if (caller.attempts > 1 && first_refused) ++result_.returns_served_while_first_refused;
    } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
      refuse(refusal->request, refusal->retry_after);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      for (const auto& engine : engines_) engine->model.cancel(cancel->request);
    }
  }
  actions.clear();
}

void OverloadWorld::refuse(std::uint64_t request, Duration retry_after) {
  const std::uint64_t number = callers_of_requests_.at(request);
  Caller& caller = callers_[number];
  if (caller.attempts > 1) return;
  gateways_[caller.gateway]->refused_first_at = now_;
  returns_.emplace(now_ + std::max(retry_after, milliseconds(50)), number);
}

void OverloadWorld::come_back() {
  while (!returns_.empty() && returns_.begin()->first <= now_) {
    const std::uint64_t number = returns_.begin()->second;
    returns_.erase(returns_.begin());
    ask(number);
  }
}

void OverloadWorld::on_event(const EngineEvent& event) {
  Caller& caller = callers_[callers_of_requests_.at(event.request)];
  Gateway& gateway = *gateways_[caller.gateway];
  ForwarderActions actions;
  if (event.kind == EngineEvent::Kind::tokens) {
    if (event.number == 1) {
      ResponseMetadata facts;
      facts.status = 200;
      facts.success = true;
      gateway.forwarder.on_response_head(event.request, facts, true, now_);
    }
    const std::string text = "id: " + std::to_string(event.number) + "\ndata: a\n\n";
    gateway.forwarder.on_response_body(event.request, text, now_, actions);
    if (caller.first_token == TimePoint{}) caller.first_token = now_;
  } else {
    gateway.forwarder.on_response_complete(event.request, now_, actions);
    caller.finished = true;
  }
  carry_out(gateway, actions);
}

void OverloadWorld::work() {
  for (const auto& engine : engines_) {
    for (const EngineEvent& event : engine->model.advance(now_)) on_event(event);
  }
}

void OverloadWorld::pass_on_backlogs() {
  for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
    for (const PromptBacklog& backlog : gateways_[gateway]->pool.take_changed_backlogs()) {
      engines_[backlog.address.port - 1U]->dealer.set_pending_tokens(
          gateway, static_cast<std::uint32_t>(backlog.pending_tokens));
    }
  }
}

void OverloadWorld::report() {
  std::vector<PeerId> peers;
  for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) peers.push_back(gateway);
  for (const auto& engine : engines_) {
    EngineCapacity room;
    room.slots = true_profile().slots;
    room.occupied = engine->model.running() + engine->model.queued();
    room.usual_prompt_tokens = kUsualPrompt;
    for (const auto& [gateway, credit] : engine->dealer.allocate(room, peers)) {
      LoadReport load;
      load.alive = true;
      load.running = engine->model.running();
      load.queued = engine->model.queued();
      load.weight_version = 1;
      load.credit = credit;
      load.others_pending_tokens = engine->dealer.pending_tokens_of_others(gateway);
      gateways_[gateway]->pool.on_report(engine->address, load, now_);
    }
  }
}

void OverloadWorld::count(const Caller& caller) {
  const Kind& kind = kKinds[caller.kind];
  std::vector<CallerCounts*> groups = {&result_.all, &result_.by_kind[kind.name],
                                       &result_.by_gateway[caller.gateway]};
  if (caller.prompt >= kind.largest_tenth) groups.push_back(&result_.largest_tenth);
  const bool in_time =
      caller.finished && caller.first_token - caller.asked <= milliseconds(kind.goal_ms);
  for (CallerCounts* group : groups) {
    ++group->asked;
    ++(in_time ? group->in_time : caller.finished ? group->late : group->unserved);
  }
}

OverloadResult OverloadWorld::run() {
  TimePoint next_report = now_;
  while (now_ < begin_ + options_.length + kPatience) {
    work();
    pass_on_backlogs();
    if (now_ >= next_report) {
      report();
      next_report += kReportEvery;
    }
    for (const auto& gateway : gateways_) {
      ForwarderActions actions;
      gateway->forwarder.on_tick(now_, actions);
      carry_out(*gateway, actions);
    }
    if (now_ < begin_ + options_.length) arrive();
    come_back();
    now_ += kStep;
  }
  for (const Caller& caller : callers_) count(caller);
  return result_;
}

}  // namespace pumicemast::tests
