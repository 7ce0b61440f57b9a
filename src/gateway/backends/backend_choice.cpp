// Which back end a request goes to: those that may take it, and what each would cost.
#include <algorithm>

#include "admission/first_token_model.h"
#include "gateway/backends/backend_pool.h"

namespace pumicemast {
namespace {

/// A report tells of what reached the engine so long before it arrives here.
constexpr Duration kReportTransit = milliseconds(8);
constexpr double kMillisecondsPerSecond = 1000;
/// One plain request in flight weighs like so much waiting.
constexpr double kPlainRequestMs = 12;
constexpr double kTieBreakMs = 2;
/// Share of an engine's places that callers who come back leave free: what takes a place keeps it
/// for a second, in which a first attempt may come.
constexpr double kReservedShare = 0.25;

}  // namespace

bool BackendPool::may_take(const Backend& backend, const BackendNeed& need, TimePoint now) const {
  const BackendRecord& record = backend.record;
  if (record.service != need.service->name || record.draining) return false;
  if (now < backend.avoid_until || !usable(backend, now)) return false;
  if (!need.service->engine) return true;
  if (!watched(backend)) return false;
  if (record.weight_version == 0 || record.weight_version < need.lowest_version) return false;
  return !fresh(backend, now) || (backend.report.alive && !backend.report.busy);
}

double BackendPool::engine_wait_ms(Backend& backend, const EngineProfile& engine,
                                   const BackendNeed& need, TimePoint now) const {
  const bool is_fresh = fresh(backend, now);
  const TimePoint known_until = backend.reported_at - kReportTransit;
  while (!backend.sent.empty() && (backend.sent.front() <= known_until ||
                                   now - backend.sent.front() > options_.report_lifetime)) {
    backend.sent.pop_front();
  }
  EngineLoad load;
  if (is_fresh) {
    load.slowdown = std::max(1.0, backend.report.slowdown);
    load.running = backend.report.running;
    load.waiting = backend.report.queued + static_cast<double>(backend.sent.size());
    load.pending_tokens = backend.unread_prompt_tokens + backend.report.others_pending_tokens;
  } else {
    load.running = backend.in_flight * options_.gateway_count;
    load.pending_tokens = backend.unread_prompt_tokens * options_.gateway_count;
  }
  return predict_first_token_ms(engine, load, need.prompt_tokens);
}

double BackendPool::expected_ms(Backend& backend, const BackendNeed& need, TimePoint now) const {
  if (need.service->engine) return engine_wait_ms(backend, *need.service->engine, need, now);
  return backend.in_flight * kPlainRequestMs;
}

double BackendPool::taken_places(const Backend& backend, TimePoint now) const {
  if (!fresh(backend, now)) return backend.in_flight * options_.gateway_count;
  return backend.report.running + backend.report.queued + static_cast<double>(backend.sent.size());
}

bool BackendPool::has_credit(const Backend& backend, const BackendNeed& need, TimePoint now) const {
  if (!need.service->engine || need.urgent) return true;
  if (!fresh(backend, now)) return taken_places(backend, now) < backend.record.slots;
  return backend.sent.size() < backend.report.credit;
}

bool BackendPool::has_spare_room(const Backend& backend, const BackendNeed& need,
                                 TimePoint now) const {
  if (!need.spare_only || !need.service->engine || need.urgent) return true;
  return taken_places(backend, now) + 1 <= need.service->engine->slots * (1 - kReservedShare);
}

double BackendPool::overrun_ms(const Backend& backend, const BackendNeed& need, double wait_ms,
                               TimePoint now) const {
  if (!need.service->engine || !fresh(backend, now) || !backend.report.leaves_in) return 0;
  const EngineProfile& engine = *need.service->engine;
  const double usual_tokens = std::max(1.0, engine.usual_answer_tokens);
  const double tokens = need.answer_tokens > 0 ? need.answer_tokens : engine.usual_answer_tokens;
  // For each answer that ends, one prompt is read: that time is spread over the tokens.
  const double others_reading_ms = backend.report.running * engine.usual_prompt_tokens *
                                   kMillisecondsPerSecond / engine.prompt_tokens_per_s;
  const double token_ms = engine.step_ms + others_reading_ms / usual_tokens;
  const double answer_ms = wait_ms + std::max(1.0, backend.report.slowdown) * tokens * token_ms;
  const TimePoint leaves_at = backend.reported_at + *backend.report.leaves_in;
  return std::max(0.0, answer_ms - to_seconds(leaves_at - now) * kMillisecondsPerSecond);
}

double BackendPool::least_overrun_ms(const BackendNeed& need, TimePoint now) const {
  std::optional<double> least;
  for (const auto& [id, backend] : backends_) {
    if (!may_take(backend, need, now)) continue;
    const double overrun = overrun_ms(backend, need, 0, now);
    least = least ? std::min(*least, overrun) : overrun;
  }
  return least.value_or(0);
}

BackendPool::CommonKnowledge BackendPool::common_knowledge(const BackendNeed& need,
                                                           TimePoint now) const {
  if (!need.service->engine) return {};
  std::size_t engines = 0;
  std::size_t reporting = 0;
  std::size_t measured = 0;
  for (const auto& [id, backend] : backends_) {
    if (backend.record.service != need.service->name || backend.gone) continue;
    if (!watched(backend)) continue;
    ++engines;
    if (fresh(backend, now)) ++reporting;
    if (backend.path_measured_at != TimePoint{}) ++measured;
  }
  return {reporting * 2 >= engines, engines > 0 && measured * 2 >= engines};
}

bool BackendPool::suspect(const Backend& backend, const CommonKnowledge& common,
                          TimePoint now) const {
  if (!common.reports) return false;
  // The machine may stand still, and would run what it is sent now whenever it wakes.
  if (!fresh(backend, now) || held_up(backend, now)) return true;
  // An entry that lapsed behind a narrow link and came back: what is sent there before the path is
  // measured anew may begin so late that no request may start on these weights any more.
  return common.paths && backend.path_measured_at == TimePoint{};
}

bool BackendPool::may_send(const std::string& id, const Backend& backend, const BackendNeed& need,
                           TimePoint now) const {
  // Also what is urgent: a back end in need counts every request.
  if (limits_.limited(id)) return permits_.held(id, now);
  return has_credit(backend, need, now);
}

double BackendPool::detour_ms(const Backend& backend, const BackendNeed& need) {
  std::uniform_real_distribution<double> tie_break(0, kTieBreakMs);
  double cost = tie_break(random_);
  if (backend.record.zone != options_.zone) cost += options_.other_zone_ms;
  if (need.preferred_version != 0 && backend.record.weight_version != need.preferred_version) {
    cost += kMillisecondsPerSecond;
  }
  return cost;
}

template <class Visitor>
void BackendPool::for_each_candidate(const BackendNeed& need, const std::set<std::string>& excluded,
                                     TimePoint now, Visitor visit) {
  const CommonKnowledge common = common_knowledge(need, now);
  const double longest_overrun_ms = least_overrun_ms(need, now) + options_.overrun_tolerance_ms;
  for (auto& [id, backend] : backends_) {
    if (!may_take(backend, need, now) || excluded.contains(id)) continue;
    const double wait_ms = expected_ms(backend, need, now);
    if (!has_spare_room(backend, need, now)) continue;
    // One long answer keeps an engine from its new weights, and from all other requests.
    if (overrun_ms(backend, need, wait_ms, now) > longest_overrun_ms) continue;
    if (suspect(backend, common, now)) continue;
    visit(id, backend, wait_ms);
  }
}

std::optional<BackendChoice> BackendPool::choose(const BackendNeed& need,
                                                 const std::set<std::string>& excluded,
                                                 TimePoint now) {
  std::optional<BackendChoice> best;
  double best_cost = 0;
  for_each_candidate(
      need, excluded, now, [&](const std::string& id, const Backend& backend, double wait_ms) {
        if (!may_send(id, backend, need, now)) return;
        const double cost = wait_ms + detour_ms(backend, need);
        if (best && cost >= best_cost) return;
        best_cost = cost;
        best = BackendChoice{id, backend.record.address, backend.record.weight_version, wait_ms};
      });
  return best;
}

void BackendPool::request_permit(const BackendNeed& need, const std::set<std::string>& excluded,
                                 std::size_t waiting, TimePoint now) {
  if (permits_.open(now) >= waiting) return;
  std::optional<std::string> best;
  double best_cost = 0;
  for_each_candidate(need, excluded, now,
                     [&](const std::string& id, const Backend& backend, double wait_ms) {
                       if (!limits_.limited(id) || !permits_.askable(id, now)) return;
                       const double cost = wait_ms + detour_ms(backend, need);
                       if (best && cost >= best_cost) return;
                       best_cost = cost;
                       best = id;
                     });
  if (best) permits_.ask(*best, now);
}

}  // namespace pumicemast
