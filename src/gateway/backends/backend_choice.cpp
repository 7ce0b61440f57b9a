// Selects the back end of a request: which ones are eligible, and what each would cost.
#include <algorithm>

#include "admission/first_token_model.h"
#include "gateway/backends/backend_pool.h"

namespace pumicemast {
namespace {

/// Time between an agent's reading of an engine's load and the arrival of the report here: a report
/// covers only requests that were sent at least this long before it arrived.
constexpr Duration kReportTransit = milliseconds(8);
constexpr double kMillisecondsPerSecond = 1000;
/// Predicted wait, in milliseconds, for each request in flight at a back end that is no engine.
constexpr double kPlainRequestMs = 12;
/// Upper bound, in milliseconds, of a random cost that spreads requests over equal back ends.
constexpr double kTieBreakMs = 2;
/// Engines at which a request usually waits for a slot, only one of which runs it
/// (SlotReservations).
constexpr double kSlotRequestCopies = 3;
/// Fraction of an engine's slots that requests with `unreserved_only` leave free. A request
/// occupies its slot for about a second, and a first attempt may arrive within that time.
constexpr double kReservedShare = 0.25;

/// Time between two requests that a full engine finishes, in milliseconds.
double slot_interval_ms(const EngineProfile& engine) {
  return engine.usual_answer_tokens * engine.step_ms / std::max<double>(1, engine.slots);
}

}  // namespace

bool BackendPool::is_in_service(const Backend& backend, const BackendRequirements& requirements,
                                TimePoint now) const {
  const BackendRecord& record = backend.record;
  if (record.draining || !serves(backend, requirements) || !usable(backend, now)) return false;
  if (!requirements.service->engine) return true;
  if (!subscribed(backend)) return false;
  return record.weight_version != 0 && record.weight_version >= requirements.lowest_version;
}

bool BackendPool::is_eligible(const Backend& backend, const BackendRequirements& requirements,
                              TimePoint now) const {
  if (!is_in_service(backend, requirements, now)) return false;
  if (now < backend.backoff_until || pushes_back(backend.record, now)) return false;
  if (!requirements.service->engine) return true;
  if (!has_fresh_report(backend, now)) {
    // A process that leaves does not return to service, so this outlasts the loss of its agent.
    return !backend.report.leaving || is_of_another_process(backend.report, backend.record);
  }
  // The report may still be about an earlier process at the address, so the rest binds only while
  // it is current.
  return backend.report.alive && !backend.report.busy && !backend.report.leaving;
}

std::optional<TimePoint> BackendPool::pause_ends_at(const BackendRequirements& requirements,
                                                    TimePoint now) const {
  std::optional<TimePoint> first;
  for (const auto& [id, backend] : backends_) {
    if (!is_in_service(backend, requirements, now)) continue;
    const TimePoint admits_from = pushbacks_.admits_from({id, backend.record.started_at_ms});
    if (admits_from <= now) return std::nullopt;
    first = std::min(admits_from, first.value_or(admits_from));
  }
  return first;
}

double BackendPool::engine_wait_ms(Backend& backend, const EngineProfile& engine,
                                   const BackendRequirements& requirements, TimePoint now) const {
  const bool report_is_fresh = has_fresh_report(backend, now);
  const TimePoint known_until = backend.reported_at - kReportTransit;
  while (!backend.sent.empty() && (backend.sent.front() <= known_until ||
                                   now - backend.sent.front() > options_.report_lifetime)) {
    backend.sent.pop_front();
  }
  EngineLoad load;
  if (report_is_fresh) {
    load.slowdown = std::max(1.0, backend.report.slowdown);
    load.running = backend.report.running;
    load.waiting = backend.report.queued + static_cast<double>(backend.sent.size());
    load.pending_tokens = backend.pending_prompt_tokens + backend.report.others_pending_tokens;
  } else {
    load.running = backend.in_flight * options_.gateway_count;
    load.pending_tokens = backend.pending_prompt_tokens * options_.gateway_count;
  }
  return predict_first_token_ms(engine, load, requirements.prompt_tokens);
}

double BackendPool::first_token_after_grant_ms(const Backend& backend, const EngineProfile& engine,
                                               double prompt_tokens) {
  EngineLoad load;
  load.slowdown = std::max(1.0, backend.report.slowdown);
  load.running = std::min<double>(backend.report.running, std::max(1U, engine.slots) - 1);
  load.pending_tokens = backend.pending_prompt_tokens + backend.report.others_pending_tokens;
  return predict_first_token_ms(engine, load, prompt_tokens);
}

double BackendPool::expected_ms(Backend& backend, const BackendRequirements& requirements,
                                TimePoint now) const {
  if (requirements.service->engine)
    return engine_wait_ms(backend, *requirements.service->engine, requirements, now);
  return backend.in_flight * kPlainRequestMs;
}

double BackendPool::occupied_slots(const Backend& backend, TimePoint now) const {
  if (!has_fresh_report(backend, now)) return backend.in_flight * options_.gateway_count;
  return backend.report.running + backend.report.queued + static_cast<double>(backend.sent.size());
}

bool BackendPool::has_credit(const Backend& backend, const BackendRequirements& requirements,
                             TimePoint now) const {
  if (!requirements.service->engine || requirements.urgent) return true;
  if (!has_fresh_report(backend, now)) return occupied_slots(backend, now) < backend.record.slots;
  return backend.sent.size() < backend.report.credit;
}

bool BackendPool::has_unreserved_slot(const Backend& backend,
                                      const BackendRequirements& requirements,
                                      TimePoint now) const {
  if (!requirements.unreserved_only || !requirements.service->engine || requirements.urgent)
    return true;
  return occupied_slots(backend, now) + 1 <=
         requirements.service->engine->slots * (1 - kReservedShare);
}

double BackendPool::overrun_ms(const Backend& backend, const BackendRequirements& requirements,
                               double wait_ms, TimePoint now) const {
  if (!requirements.service->engine || !has_fresh_report(backend, now) || !backend.report.leaves_in)
    return 0;
  const EngineProfile& engine = *requirements.service->engine;
  const double usual_tokens = std::max(1.0, engine.usual_answer_tokens);
  const double tokens =
      requirements.answer_tokens > 0 ? requirements.answer_tokens : engine.usual_answer_tokens;
  // Each response that ends makes room for one prompt, whose prefill delays the running requests.
  // That time is spread over the tokens of a response.
  const double others_prefill_ms = backend.report.running * engine.usual_prompt_tokens *
                                   kMillisecondsPerSecond / engine.prompt_tokens_per_s;
  const double token_ms = engine.step_ms + others_prefill_ms / usual_tokens;
  const double answer_ms = wait_ms + std::max(1.0, backend.report.slowdown) * tokens * token_ms;
  const TimePoint leaves_at = backend.reported_at + *backend.report.leaves_in;
  return std::max(0.0, answer_ms - to_seconds(leaves_at - now) * kMillisecondsPerSecond);
}

double BackendPool::min_overrun_ms(const BackendRequirements& requirements, TimePoint now) const {
  std::optional<double> least;
  for (const auto& [id, backend] : backends_) {
    if (!is_eligible(backend, requirements, now)) continue;
    const double overrun = overrun_ms(backend, requirements, 0, now);
    least = least ? std::min(*least, overrun) : overrun;
  }
  return least.value_or(0);
}

BackendPool::TelemetryCoverage BackendPool::telemetry_coverage(
    const BackendRequirements& requirements, TimePoint now) const {
  if (!requirements.service->engine) return {};
  std::size_t engines = 0;
  std::size_t reporting = 0;
  std::size_t measured = 0;
  for (const auto& [id, backend] : backends_) {
    if (backend.record.service != requirements.service->name || backend.removed) continue;
    if (!subscribed(backend)) continue;
    ++engines;
    if (has_fresh_report(backend, now)) ++reporting;
    if (backend.path_measured_at != TimePoint{}) ++measured;
  }
  return {reporting * 2 >= engines, engines > 0 && measured * 2 >= engines};
}

bool BackendPool::possibly_stalled(const Backend& backend, const TelemetryCoverage& coverage,
                                   TimePoint now) const {
  if (!coverage.reports) return false;
  // The machine may be suspended, and would run what is sent now whenever it resumes.
  if (!has_fresh_report(backend, now) || path_delayed(backend, now)) return true;
  // The list entry may have expired behind a narrow link and come back. A request that is sent
  // before the path has been measured again may start so late that no request may start on these
  // weights any more.
  return coverage.paths && backend.path_measured_at == TimePoint{};
}

bool BackendPool::may_send(const std::string& id, const Backend& backend,
                           const BackendRequirements& requirements, TimePoint now) const {
  // Urgent requests need a permit, too: a back end that limits its requests counts all of them.
  if (needs_permit(id, backend, now)) return permits_.held(id, now);
  if (!requirements.granted_backend.empty()) return true;
  return has_credit(backend, requirements, now);
}

double BackendPool::routing_penalty_ms(const Backend& backend,
                                       const BackendRequirements& requirements) {
  std::uniform_real_distribution<double> tie_break(0, kTieBreakMs);
  double cost = tie_break(random_);
  if (backend.record.zone != options_.zone) cost += options_.other_zone_ms;
  if (requirements.preferred_version != 0 &&
      backend.record.weight_version != requirements.preferred_version) {
    cost += kMillisecondsPerSecond;
  }
  return cost;
}

template <class Visitor>
void BackendPool::for_each_candidate(const BackendRequirements& requirements,
                                     const std::set<std::string>& excluded, TimePoint now,
                                     Visitor visit) {
  const TelemetryCoverage coverage = telemetry_coverage(requirements, now);
  const double max_overrun_ms = min_overrun_ms(requirements, now) + options_.overrun_tolerance_ms;
  for (auto& [id, backend] : backends_) {
    if (!is_eligible(backend, requirements, now) || excluded.contains(id)) continue;
    if (!requirements.granted_backend.empty() && requirements.granted_backend != id) continue;
    const double wait_ms = expected_ms(backend, requirements, now);
    if (!has_unreserved_slot(backend, requirements, now)) continue;
    // A single long response keeps an engine from its new weights and from all other requests.
    if (overrun_ms(backend, requirements, wait_ms, now) > max_overrun_ms) continue;
    if (possibly_stalled(backend, coverage, now)) continue;
    visit(id, backend, wait_ms);
  }
}

std::optional<BackendChoice> BackendPool::choose(const BackendRequirements& requirements,
                                                 const std::set<std::string>& excluded,
                                                 TimePoint now) {
  std::optional<BackendChoice> best;
  double best_cost = 0;
  for_each_candidate(requirements, excluded, now,
                     [&](const std::string& id, const Backend& backend, double wait_ms) {
                       if (!may_send(id, backend, requirements, now)) return;
                       const double cost = wait_ms + routing_penalty_ms(backend, requirements);
                       if (best && cost >= best_cost) return;
                       best_cost = cost;
                       const double expected_ms =
                           requirements.granted_backend.empty()
                               ? wait_ms
                               : first_token_after_grant_ms(backend, *requirements.service->engine,
                                                            requirements.prompt_tokens);
                       best = BackendChoice{id, backend.record.address,
                                            backend.record.weight_version, expected_ms};
                     });
  return best;
}

std::vector<BackendChoice> BackendPool::slot_candidates(const BackendRequirements& requirements,
                                                        const std::set<std::string>& excluded,
                                                        std::size_t count, bool own_zone_first,
                                                        TimePoint now) {
  BackendRequirements queued = requirements;
  queued.unreserved_only = false;
  const double slot_ms = slot_interval_ms(*requirements.service->engine);
  using Rank = std::pair<bool, double>;  // Whether in another zone that comes last; the cost.
  std::vector<std::pair<Rank, BackendChoice>> candidates;
  for_each_candidate(
      queued, excluded, now, [&](const std::string& id, const Backend& backend, double wait_ms) {
        if (!backend.report.queues_slot_requests || !has_fresh_report(backend, now)) return;
        if (needs_permit(id, backend, now)) return;
        const double queue_ms = backend.report.slot_requests * slot_ms / kSlotRequestCopies;
        const double cost = wait_ms + queue_ms + routing_penalty_ms(backend, requirements);
        const double granted_ms = first_token_after_grant_ms(backend, *requirements.service->engine,
                                                             requirements.prompt_tokens);
        const bool last = own_zone_first && backend.record.zone != options_.zone;
        candidates.emplace_back(
            Rank{last, cost},
            BackendChoice{id, backend.record.address, backend.record.weight_version, granted_ms});
      });
  const auto cheaper = [](const auto& left, const auto& right) { return left.first < right.first; };
  std::sort(candidates.begin(), candidates.end(), cheaper);
  if (candidates.size() > count) candidates.resize(count);
  std::vector<BackendChoice> result;
  result.reserve(candidates.size());
  for (auto& [rank, choice] : candidates) result.push_back(std::move(choice));
  return result;
}

bool BackendPool::may_have_room(const ServiceProfile& service, TimePoint now) {
  if (!service.engine) return true;
  BackendRequirements any;
  any.service = &service;
  return std::any_of(backends_.begin(), backends_.end(), [&](auto& entry) {
    auto& [id, backend] = entry;
    if (backend.record.service != service.name || backend.record.draining) return false;
    if (!subscribed(backend) || !usable(backend, now)) return false;
    if (needs_permit(id, backend, now)) return true;
    engine_wait_ms(backend, *service.engine, any, now);  // Discards sends that the report includes.
    return has_credit(backend, any, now);
  });
}

bool BackendPool::keeps_slot_queue(const Address& engine, TimePoint now) const {
  const auto found = backends_.find(id_at(engine));
  return found != backends_.end() && has_fresh_report(found->second, now) &&
         found->second.report.queues_slot_requests;
}

std::string BackendPool::id_at(const Address& address) const {
  const auto found = ids_by_address_.find(address);
  return found == ids_by_address_.end() ? "" : found->second;
}

void BackendPool::request_permit(const BackendRequirements& requirements,
                                 const std::set<std::string>& excluded, std::size_t waiting,
                                 TimePoint now) {
  if (permits_.outstanding(now) >= waiting) return;
  std::optional<std::string> best;
  double best_cost = 0;
  for_each_candidate(requirements, excluded, now,
                     [&](const std::string& id, const Backend& backend, double wait_ms) {
                       if (!needs_permit(id, backend, now) || !permits_.can_request(id, now))
                         return;
                       const double cost = wait_ms + routing_penalty_ms(backend, requirements);
                       if (best && cost >= best_cost) return;
                       best_cost = cost;
                       best = id;
                     });
  if (best) permits_.request(*best, now);
}

}  // namespace pumicemast
