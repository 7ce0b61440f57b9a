#include "support/crash_simulation.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <string_view>
#include <variant>

namespace pumicemast::tests {
namespace {

constexpr Duration kStep = milliseconds(10);
constexpr std::uint64_t kStepsPerReport = 10;
constexpr std::uint64_t kStepsPerTick = 2;
constexpr std::uint64_t kStepsPerSweep = 50;
/// Minimum time from the submission of a request until the engine begins it and crashes, as
/// observed.
constexpr Duration kCrashDelay = milliseconds(50);
constexpr std::uint32_t kSlots = 16;
constexpr int kUnlimitedRetries = 1000000;
constexpr int kOrdinaryRetries = 3;
constexpr std::size_t kGossipRecipients = 8;
constexpr std::size_t kDigestRecipients = 3;
/// Bytes on the wire for a crash or a completion, and for each request of a crash.
constexpr std::size_t kBytesPerReport = 40;
constexpr std::size_t kBytesPerRequest = 16;
constexpr char kCommonPart[] = "instructions";

}  // namespace

struct CrashSimulation::Gateway {
  Gateway(std::size_t zone_index, std::uint64_t seed, TimePoint started)
      : zone(zone_index),
        targets(seconds(7)),
        pool(pool_options(zone_index, seed)),
        quarantine(QuarantineOptions{}, started),
        forwarder(pool, targets, quarantine, forwarder_options(seed)) {}

  static BackendPoolOptions pool_options(std::size_t zone, std::uint64_t seed) {
    BackendPoolOptions options;
    options.zone = "z" + std::to_string(zone);
    options.seed = seed;
    return options;
  }
  static ForwarderOptions forwarder_options(std::uint64_t seed) {
    ForwarderOptions options;
    options.seed = seed;
    return options;
  }

  std::size_t zone;
  WeightTargets targets;
  BackendPool pool;
  RequestQuarantine quarantine;
  RequestForwarder forwarder;
  VerdictPull pull;
  std::map<RequestNumber, SentRequest> sent;
  RequestNumber next = 1;
};

CrashSimulation::~CrashSimulation() = default;

CrashSimulation::CrashSimulation(const CrashSimulationOptions& options)
    : options_(options), random_(options.seed) {
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    for (std::size_t index = 0; index < options_.engines_per_zone; ++index) {
      Engine engine;
      engine.zone = zone;
      engine.address = {"127.0.0.1", static_cast<std::uint16_t>(engines_.size() + 1)};
      engine.id = "e" + std::to_string(engines_.size() + 1) + "-1";
      engines_.push_back(std::move(engine));
    }
  }
  for (std::size_t zone = 0; zone < options_.zones; ++zone) {
    for (std::size_t index = 0; index < options_.gateways_per_zone; ++index) {
      gateways_.push_back(start_gateway(zone, options_.seed + gateways_.size()));
    }
  }
  for (const Engine& engine : engines_) report(engine);
}

std::unique_ptr<CrashSimulation::Gateway> CrashSimulation::start_gateway(std::size_t zone,
                                                                         std::uint64_t seed) {
  auto gateway = std::make_unique<Gateway>(zone, seed, now_);
  RouteRule route;
  route.name = "chat";
  route.host = "api.example";
  route.path_prefix = "/chat/";
  route.kind = RequestKind::stream;
  route.resumable = true;
  route.timeout = seconds(6);
  route.latency_goal = milliseconds(400);
  route.gap_goal = milliseconds(400);
  route.services = {{"engines", 1}};
  route.attempts = options_.attempts;
  ServiceProfile engines;
  engines.name = "engines";
  engines.engine = EngineProfile{};
  engines.engine->slots = kSlots;
  FleetConfiguration configuration;
  configuration.version = 1;
  configuration.routes = {route};
  configuration.services = {engines};
  configuration.tenants = {{"acme", {"key-1"}, std::nullopt}};
  gateway->forwarder.set_routes(std::make_shared<RouteTable>(configuration));
  for (const Engine& engine : engines_) list_engine(*gateway, engine);
  return gateway;
}

void CrashSimulation::list_engine(Gateway& gateway, const Engine& engine) {
  BackendRecord record;
  record.id = engine.id;
  record.service = "engines";
  record.address = engine.address;
  record.zone = "z" + std::to_string(engine.zone);
  record.slots = kSlots;
  record.revision = ++revision_;
  record.weight_version = 1;
  gateway.pool.on_record(record, now_);
}

double CrashSimulation::draw(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(random_);
}

void CrashSimulation::send_crashing_request(const std::string& body, int callers) {
  crashing_bodies_.insert(body);
  for (int number = 0; number < callers; ++number)
    retries_.push_back({now_, {body, kUnlimitedRetries}});
}

void CrashSimulation::lose_power(std::size_t zone, Duration length) {
  for (Engine& engine : engines_) {
    if (engine.zone != zone) continue;
    engine.powered = false;
    engine.power_restored_at = now_ + length;
    crash_engine(engine);
    for (const auto& gateway : gateways_) gateway->pool.on_agent_lost(engine.address);
  }
}

void CrashSimulation::crash_engines(std::size_t zone) {
  for (Engine& engine : engines_) {
    if (engine.zone == zone && engine.up) crash_engine(engine);
  }
}

void CrashSimulation::restart_gateway(std::size_t gateway) {
  gateways_[gateway] = start_gateway(gateways_[gateway]->zone, steps_ + 1);
  for (Engine& engine : engines_) {
    std::erase_if(engine.runs, [&](const Run& run) { return run.gateway == gateway; });
  }
}

RequestNumber CrashSimulation::send_request(std::size_t gateway, const std::string& body) {
  start_request(gateway, {body, 0});
  return gateways_[gateway]->next - 1;
}

int CrashSimulation::engines_crashed_by(const std::string& body) const {
  const auto found = crashes_.find(body);
  return found == crashes_.end() ? 0 : static_cast<int>(found->second.size());
}

void CrashSimulation::run(Duration span) {
  for (const TimePoint end = now_ + span; now_ < end; now_ += kStep) step();
}

void CrashSimulation::step() {
  ++steps_;
  for (Engine& engine : engines_) advance(engine);
  send_ordinary_requests();
  send_requests_with_crashing_parts();
  send_due_retries();
  exchange_crash_updates();
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    if (steps_ % kStepsPerTick == 0) {
      ForwarderActions actions;
      gateways_[index]->forwarder.on_tick(now_, actions);
      gateways_[index]->forwarder.take_crashes(now_);
      execute_actions(index, actions);
    }
    if (steps_ % kStepsPerSweep == 0) {
      gateways_[index]->quarantine.sweep(now_);
      gateways_[index]->forwarder.sweep(now_);
      gateways_[index]->pool.sweep(now_);
    }
  }
}

void CrashSimulation::exchange_crash_updates() {
  const std::vector<Message> due = std::move(messages_);
  messages_.clear();
  for (const Message& message : due) {
    gateways_[message.to]->quarantine.on_update(message.update, now_);
  }
  for (std::size_t from = 0; from < gateways_.size(); ++from) {
    const CrashUpdate update = gateways_[from]->quarantine.take_update(now_);
    if (update.empty()) continue;
    for (const std::size_t to : gossip_recipients(from)) send(from, to, update);
  }
  if (steps_ % kStepsPerSweep == 0) compare_verdicts();
}

std::vector<std::size_t> CrashSimulation::gossip_recipients(std::size_t from) {
  std::vector<std::size_t> all(gateways_.size());
  std::iota(all.begin(), all.end(), 0);
  std::erase(all, from);
  std::vector<std::size_t> recipients;
  std::sample(all.begin(), all.end(), std::back_inserter(recipients), kGossipRecipients, random_);
  return recipients;
}

void CrashSimulation::send(std::size_t from, std::size_t to, const CrashUpdate& update) {
  if (isolated_.contains(from) || isolated_.contains(to)) return;
  for (const ReportedCrash& crash : update.crashes) {
    gossip_bytes_ += kBytesPerReport + kBytesPerRequest * crash.requests.size();
  }
  gossip_bytes_ += kBytesPerReport * update.completions.size();
  messages_.push_back({to, update});
}

void CrashSimulation::compare_verdicts() {
  // Each gateway compares with the next three, like the recipients of regular digests.
  for (std::size_t from = 0; from < gateways_.size(); ++from) {
    for (std::size_t offset = 1; offset <= kDigestRecipients; ++offset) {
      const std::size_t to = (from + offset) % gateways_.size();
      if (to == from || isolated_.contains(from) || isolated_.contains(to)) continue;
      const std::uint64_t theirs = gateways_[from]->quarantine.verdict_digest(now_);
      const std::uint64_t own = gateways_[to]->quarantine.verdict_digest(now_);
      if (!gateways_[to]->pull.should_request(from, theirs, own, now_)) continue;
      send(from, to, gateways_[from]->quarantine.verdicts(now_));
    }
  }
}

void CrashSimulation::send_ordinary_requests() {
  if (draw(0, 1) >= options_.ordinary_requests_per_s * to_seconds(kStep)) return;
  const auto gateway = static_cast<std::size_t>(draw(0, static_cast<double>(gateways_.size())));
  start_request(gateway,
                {"ordinary " + std::to_string(next_ordinary_++), kOrdinaryRetries, draw_parts()});
}

std::vector<std::string> CrashSimulation::draw_parts() {
  if (options_.documents == 0) return {};
  // The square makes the first documents the most frequent ones.
  const double draw_squared = std::pow(draw(0, 1), 2);
  const auto document =
      static_cast<std::size_t>(draw_squared * static_cast<double>(options_.documents));
  return {kCommonPart, "document " + std::to_string(document)};
}

void CrashSimulation::send_requests_with_crashing_part(const std::string& part, double per_s) {
  crashing_parts_.insert(part);
  crashing_part_rates_[part] = per_s;
}

void CrashSimulation::send_requests_with_crashing_parts() {
  for (const auto& [part, per_s] : crashing_part_rates_) {
    if (draw(0, 1) >= per_s * to_seconds(kStep)) continue;
    const auto gateway = static_cast<std::size_t>(draw(0, static_cast<double>(gateways_.size())));
    start_request(
        gateway, {"with " + part + " " + std::to_string(next_ordinary_++), 1, {kCommonPart, part}});
  }
}

bool CrashSimulation::crashes(const SentRequest& sent) const {
  return crashing_bodies_.contains(sent.body) ||
         std::any_of(sent.parts.begin(), sent.parts.end(),
                     [&](const std::string& part) { return crashing_parts_.contains(part); });
}

void CrashSimulation::send_due_retries() {
  std::vector<ScheduledRetry> due;
  std::erase_if(retries_, [&](const ScheduledRetry& entry) {
    if (entry.at > now_) return false;
    due.push_back(entry);
    return true;
  });
  for (const ScheduledRetry& entry : due) {
    const auto gateway = static_cast<std::size_t>(draw(0, static_cast<double>(gateways_.size())));
    start_request(gateway, entry.sent);
  }
}

void CrashSimulation::start_request(std::size_t index, const SentRequest& sent) {
  const std::string& body = sent.body;
  Gateway& gateway = *gateways_[index];
  const RequestNumber number = gateway.next++;
  gateway.sent[number] = sent;
  ++(crashes(sent) ? crashing_ : ordinary_).sent;
  RequestMetadata metadata;
  metadata.id = body + "/" + std::to_string(number);
  metadata.host = "api.example";
  metadata.target = "/chat/1";
  metadata.content = fingerprint_content("POST", metadata.host, metadata.target, body);
  metadata.api_key = "key-1";
  metadata.time_left = seconds(6);
  metadata.model = "m";
  metadata.prompt_tokens = 500;
  metadata.shared_prompt_parts = sent.parts;
  ForwarderActions actions;
  gateway.forwarder.on_request(number, metadata, now_, actions);
  execute_actions(index, actions);
}

// ---- engines ----

void CrashSimulation::advance(Engine& engine) {
  if (!engine.powered && now_ >= engine.power_restored_at) {
    engine.powered = true;
    engine.restarts_at = now_ + kRestartTime;
  }
  if (engine.powered && !engine.up && now_ >= engine.restarts_at) restart_engine(engine);
  if (engine.powered && steps_ % kStepsPerReport == 0) report(engine);
  const std::vector<Run> before = engine.runs;
  for (const Run& seen : before) {
    const auto run = std::find_if(engine.runs.begin(), engine.runs.end(), [&](const Run& each) {
      return each.gateway == seen.gateway && each.request == seen.request;
    });
    if (run == engine.runs.end()) continue;
    if (!run->begun && now_ >= run->begins_at) begin(engine, *run);
    if (!engine.up) return;
    if (now_ < run->ends_at) continue;
    const Run done = *run;
    engine.runs.erase(run);
    finish(done);
  }
}

void CrashSimulation::begin(Engine& engine, Run& run) {
  run.begun = true;
  if (crashes({run.body, 0, run.parts})) {
    crashes_[run.body].push_back(now_);
    for (const std::string& part : run.parts) {
      if (crashing_parts_.contains(part)) part_crashes_[part].push_back(now_);
    }
    crash_engine(engine);
    return;
  }
  Gateway& gateway = *gateways_[run.gateway];
  ResponseMetadata metadata;
  metadata.status = 200;
  metadata.success = true;
  const Run begun = run;
  gateway.forwarder.on_response_head(begun.request, metadata, true, now_);
  ForwarderActions actions;
  gateway.forwarder.on_response_body(begun.request, "id: 1\ndata: first\n\n", now_, actions);
  execute_actions(begun.gateway, actions);
}

void CrashSimulation::finish(const Run& run) {
  ForwarderActions actions;
  gateways_[run.gateway]->forwarder.on_response_complete(run.request, ResponseEnd::stated, now_,
                                                         actions);
  execute_actions(run.gateway, actions);
}

void CrashSimulation::crash_engine(Engine& engine) {
  engine.up = false;
  engine.restarts_at = now_ + kRestartTime;
  const std::vector<Run> interrupted = std::move(engine.runs);
  engine.runs.clear();
  for (const Run& run : interrupted) {
    ForwarderActions actions;
    gateways_[run.gateway]->forwarder.on_attempt_failed(
        run.request, AttemptFailure::connection_lost, now_, actions);
    execute_actions(run.gateway, actions);
  }
}

void CrashSimulation::restart_engine(Engine& engine) {
  const std::string old = engine.id;
  ++engine.incarnation;
  engine.id = "e" + std::to_string(engine.address.port) + "-" + std::to_string(engine.incarnation);
  engine.up = true;
  for (const auto& gateway : gateways_) {
    gateway->pool.on_removed(old, ++revision_, now_);
    list_engine(*gateway, engine);
  }
  report(engine);
}

void CrashSimulation::report(const Engine& engine) {
  LoadReport load;
  load.alive = engine.up;
  load.running = static_cast<std::uint32_t>(engine.runs.size());
  load.weight_version = engine.up ? 1 : 0;
  load.credit = engine.up && load.running < kSlots ? 4 : 0;
  load.started_at_ms = engine.up ? 1000 + engine.incarnation : 0;
  for (const auto& gateway : gateways_) {
    const auto ended = gateway->pool.on_report(engine.address, load, now_);
    if (ended) gateway->forwarder.on_backend_ended(*ended, now_);
  }
}

std::size_t CrashSimulation::quarantined_at(const std::string& body) const {
  const auto content = fingerprint_content("POST", "api.example", "/chat/1", body);
  const RequestFingerprint request = fingerprint_for(content, "acme");
  return static_cast<std::size_t>(std::count_if(
      gateways_.begin(), gateways_.end(),
      [&](const auto& gateway) { return gateway->quarantine.quarantined(request, now_); }));
}

std::size_t CrashSimulation::part_quarantined_at(const std::string& part) const {
  const CrashSuspect suspect(fingerprint_prompt_part("engines", "m", part),
                             SuspectKind::prompt_part);
  return static_cast<std::size_t>(std::count_if(
      gateways_.begin(), gateways_.end(),
      [&](const auto& gateway) { return gateway->quarantine.quarantined(suspect, now_); }));
}

const RequestQuarantine& CrashSimulation::quarantine(std::size_t gateway) const {
  return gateways_[gateway]->quarantine;
}

// ---- actions of gateways ----

void CrashSimulation::execute_actions(std::size_t index, ForwarderActions& actions) {
  const ForwarderActions now = std::move(actions);
  actions.clear();
  for (const ForwarderAction& action : now) {
    if (const auto* send = std::get_if<SendToBackend>(&action)) {
      submit(index, *send);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      cancel_run(index, cancel->request);
    } else if (const auto* end = std::get_if<EndResponse>(&action)) {
      record_outcome(index, end->request, &CrashResults::served);
    } else if (const auto* cut = std::get_if<AbortResponse>(&action)) {
      record_outcome(index, cut->request, &CrashResults::failed);
    } else if (const auto* refusal = std::get_if<SendRefusal>(&action)) {
      const bool quarantined = std::string_view(to_string(refusal->reason)) == "quarantined";
      const bool attempt_failed = refusal->reason == RefusalReason::backend_failed;
      record_outcome(index, refusal->request,
                     quarantined      ? &CrashResults::quarantined
                     : attempt_failed ? &CrashResults::failed
                                      : &CrashResults::refused);
    }
  }
}

void CrashSimulation::submit(std::size_t index, const SendToBackend& send) {
  Gateway& gateway = *gateways_[index];
  Engine& engine = engines_[send.address.port - 1U];
  if (!engine.up || engine.id != send.backend) {
    ForwarderActions actions;
    gateway.forwarder.on_attempt_failed(send.request, AttemptFailure::not_sent, now_, actions);
    execute_actions(index, actions);
    return;
  }
  gateway.forwarder.on_connected(send.request);
  Run run;
  run.gateway = index;
  run.request = send.request;
  run.body = gateway.sent.at(send.request).body;
  run.parts = gateway.sent.at(send.request).parts;
  for (const std::string& part : run.parts) part_sends_[part].push_back(now_);
  run.begins_at = now_ + kCrashDelay + milliseconds(static_cast<std::int64_t>(draw(0, 200)));
  run.ends_at = run.begins_at + milliseconds(static_cast<std::int64_t>(draw(500, 1500)));
  engine.runs.push_back(run);
}

void CrashSimulation::cancel_run(std::size_t index, RequestNumber request) {
  for (Engine& engine : engines_) {
    std::erase_if(engine.runs,
                  [&](const Run& run) { return run.gateway == index && run.request == request; });
  }
}

void CrashSimulation::record_outcome(std::size_t index, RequestNumber request,
                                     int CrashResults::*outcome) {
  Gateway& gateway = *gateways_[index];
  const auto found = gateway.sent.find(request);
  if (found == gateway.sent.end()) return;
  const SentRequest sent = found->second;
  gateway.sent.erase(found);
  // Needs the reference: GCC 12 increments a copy if the pointer to member is applied to the
  // conditional expression itself.
  CrashResults& results = crashes(sent) ? crashing_ : ordinary_;
  ++(results.*outcome);
  if (sent.retries_left == 0 || outcome == &CrashResults::served) return;
  const SentRequest again{sent.body, sent.retries_left - 1, sent.parts};
  retries_.push_back({now_ + milliseconds(static_cast<std::int64_t>(draw(200, 800))), again});
}

}  // namespace pumicemast::tests
