#include "gateway/backends/backend_pool.h"

#include <algorithm>

#include "admission/first_token_model.h"

namespace pumicemast {
namespace {

/// A report tells of what reached the engine so long before it arrives here.
constexpr Duration kReportTransit = milliseconds(8);
constexpr std::size_t kRememberedLeavers = 64;
constexpr double kMillisecondsPerSecond = 1000;
/// One plain request in flight weighs like so much waiting.
constexpr double kPlainRequestMs = 12;
constexpr double kTieBreakMs = 2;
constexpr std::size_t kMostRestingConnections = 24;
/// Share of an engine's places that callers who come back leave free: what takes a place keeps it
/// for a second, in which a first attempt may come.
constexpr double kReservedShare = 0.25;

/// Whether the engine's process has ended between two reports of one agent.
bool has_ended(const LoadReport& before, const LoadReport& after) {
  if (!before.alive) return false;
  const bool both_say = before.started_at_ms != 0 && after.started_at_ms != 0;
  return !after.alive || (both_say && before.started_at_ms != after.started_at_ms);
}

}  // namespace

BackendPool::BackendPool(BackendPoolOptions options)
    : options_(std::move(options)),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)) {}

BackendPool::Backend* BackendPool::find(const std::string& id) {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

void BackendPool::note_left(const std::string& id, std::uint64_t revision) {
  const auto [known, is_new] = left_.emplace(id, revision);
  if (!is_new) {
    known->second = std::max(known->second, revision);
    return;
  }
  left_order_.push_back({id, revision});
  if (left_order_.size() <= kRememberedLeavers) return;
  left_.erase(left_order_.front().id);
  left_order_.pop_front();
}

bool BackendPool::has_left(const BackendRecord& record) const {
  const auto left = left_.find(record.id);
  return left != left_.end() && left->second >= record.revision;
}

void BackendPool::on_record(const BackendRecord& record) {
  Backend& backend = backends_[record.id];
  if (record.revision < backend.record.revision) return;
  // The list's revision tells which entry is newer: a clock that was set back makes a later start
  // look earlier.
  if (record.started_at_ms != backend.record.started_at_ms) {
    forget_earlier_life(backend);
    limits_.forget(record.id);
    permits_.forget(record.id);
  }
  // The engine's own report is newer than the list.
  const std::uint64_t version =
      backend.has_report ? backend.record.weight_version : record.weight_version;
  backend.record = record;
  backend.record.weight_version = version;
  backend.record.draining = record.draining || has_left(record);
  backend.gone = false;
  if (record.draining) note_left(record.id, record.revision);
  ids_by_address_[record.address] = record.id;
}

void BackendPool::forget_earlier_life(Backend& backend) {
  // Its own requests still in flight end one by one, as on a lost connection.
  const std::uint32_t in_flight = backend.in_flight;
  backend = Backend{};
  backend.in_flight = in_flight;
}

void BackendPool::on_gone(const std::string& id, std::uint64_t revision, TimePoint now) {
  Backend* backend = find(id);
  if (backend == nullptr || backend->gone) return;
  // Told late: a newer entry of the same name is known.
  if (revision != 0 && revision < backend->record.revision) return;
  const bool may_be_lapse = !list_reachable_ || now < list_back_at_ + options_.lapse_window;
  const TimePoint back_at = list_reachable_ ? list_back_at_ : now;
  backend->gone = true;
  backend->used_until = may_be_lapse ? back_at + options_.lapse_grace : now;
  if (!may_be_lapse) note_left(id, std::max(revision, backend->record.revision));
}

void BackendPool::sweep(TimePoint now) {
  std::erase_if(backends_, [&](const auto& entry) {
    const Backend& backend = entry.second;
    if (!backend.gone || now < backend.used_until || backend.in_flight > 0) return false;
    const auto by_address = ids_by_address_.find(backend.record.address);
    if (by_address != ids_by_address_.end() && by_address->second == entry.first) {
      ids_by_address_.erase(by_address);
    }
    limits_.forget(entry.first);
    permits_.forget(entry.first);
    return true;
  });
}

void BackendPool::on_leaving(const std::string& id, std::uint64_t revision) {
  Backend* backend = find(id);
  if (backend != nullptr && backend->record.revision > revision) return;
  note_left(id, revision);
  if (backend != nullptr) backend->record.draining = true;
}

void BackendPool::on_list_reachable(bool reachable, TimePoint now) {
  if (reachable && !list_reachable_) list_back_at_ = now;
  list_reachable_ = reachable;
}

void BackendPool::on_list(const std::vector<BackendRecord>& records, std::uint64_t revision,
                          TimePoint now) {
  std::set<std::string> named;
  for (const BackendRecord& record : records) named.insert(record.id);
  std::vector<std::string> missing;
  for (const auto& [id, backend] : backends_) {
    if (!named.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) on_gone(id, revision, now);
  for (const BackendRecord& record : records) on_record(record);
}

std::optional<std::string> BackendPool::on_report(const Address& address, const LoadReport& report,
                                                  TimePoint now) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return std::nullopt;
  Backend* backend = find(id->second);
  if (backend == nullptr) return std::nullopt;
  const bool ended = backend->has_report && has_ended(backend->report, report);
  backend->report = report;
  backend->reported_at = now;
  backend->has_report = true;
  backend->record.weight_version = report.weight_version;
  if (!ended) limits_.on_told(id->second, report.limit, LimitSource::agent);
  return ended ? std::optional<std::string>(id->second) : std::nullopt;
}

void BackendPool::on_others_backlog(const Address& address, std::uint32_t unread_tokens) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return;
  if (Backend* backend = find(id->second)) backend->report.others_unread_tokens = unread_tokens;
}

void BackendPool::on_path_delay(const Address& address, Duration delay, TimePoint now) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return;
  Backend* backend = find(id->second);
  if (backend == nullptr) return;
  backend->path_delay = delay;
  backend->path_measured_at = now;
}

bool BackendPool::held_up(const Backend& backend, TimePoint now) const {
  if (backend.path_measured_at == TimePoint{}) return false;
  return backend.path_delay > options_.longest_path_delay ||
         now - backend.path_measured_at >
             options_.path_measurement_interval + options_.longest_path_delay;
}

void BackendPool::on_agent_lost(const Address& address) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return;
  if (Backend* backend = find(id->second)) backend->has_report = false;
}

void BackendPool::on_sent(const std::string& id, double prompt_tokens, TimePoint now) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  ++backend->in_flight;
  backend->sent.push_back(now);
  if (limits_.limited(id)) permits_.use(id, now);
  backend->unread_prompt_tokens += prompt_tokens;
  if (prompt_tokens > 0) changed_backlogs_.insert(id);
}

void BackendPool::on_first_token(const std::string& id, double prompt_tokens) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  backend->unread_prompt_tokens = std::max(0.0, backend->unread_prompt_tokens - prompt_tokens);
  if (prompt_tokens > 0) changed_backlogs_.insert(id);
}

std::vector<PromptBacklog> BackendPool::take_changed_backlogs() {
  std::vector<PromptBacklog> changed;
  for (const std::string& id : changed_backlogs_) {
    const Backend* backend = find(id);
    if (backend != nullptr) {
      changed.push_back({backend->record.address, backend->unread_prompt_tokens});
    }
  }
  changed_backlogs_.clear();
  return changed;
}

void BackendPool::on_finished(const std::string& id) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  if (backend->in_flight > 0) --backend->in_flight;
  // The place that falls free may be taken at once, by the gateway that knows of it, unless others
  // wait there for it. Otherwise a queue that has once formed (gateways that know no reports yet
  // send by guess) would stay as long as there is more to do than can be served.
  if (backend->report.queued == 0) ++backend->report.credit;
}

void BackendPool::on_failure(const std::string& id, TimePoint now) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  const Duration pause = options_.first_pause * (1 << std::min(backend->failures, 5U));
  ++backend->failures;
  backend->avoid_until = now + std::min(pause, options_.longest_pause);
}

void BackendPool::on_success(const std::string& id) {
  Backend* backend = find(id);
  if (backend != nullptr) backend->failures = 0;
}

void BackendPool::on_refusal(const std::string& id, TimePoint now) {
  constexpr Duration kRefusalPause = milliseconds(60);
  Backend* backend = find(id);
  if (backend != nullptr) {
    backend->avoid_until = std::max(backend->avoid_until, now + kRefusalPause);
  }
}

bool BackendPool::leaving(const std::string& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() || found->second.record.draining || found->second.gone;
}

BackendLife BackendPool::life_of(const std::string& id) const {
  const auto found = backends_.find(id);
  return {id, found == backends_.end() ? 0 : found->second.record.started_at_ms};
}

bool BackendPool::holds(const std::string& service, std::uint64_t lowest_version,
                        TimePoint now) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    const Backend& backend = entry.second;
    const BackendRecord& record = backend.record;
    return record.service == service && !record.draining && watched(backend) &&
           usable(backend, now) && record.weight_version != 0 &&
           record.weight_version >= lowest_version;
  });
}

bool BackendPool::known_alive(const std::string& id, TimePoint now) const {
  const auto found = backends_.find(id);
  return found != backends_.end() && fresh(found->second, now) && found->second.report.alive;
}

std::size_t BackendPool::reporting(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      backends_.begin(), backends_.end(),
      [&](const auto& entry) { return !entry.second.gone && fresh(entry.second, now); }));
}

std::vector<BackendRecord> BackendPool::records() const {
  std::vector<BackendRecord> result;
  for (const auto& [id, backend] : backends_) result.push_back(backend.record);
  return result;
}

std::vector<BackendRecord> BackendPool::listed() const {
  std::vector<BackendRecord> result;
  for (const auto& [id, backend] : backends_) {
    if (!backend.gone) result.push_back(backend.record);
  }
  return result;
}

bool BackendPool::watched(const Backend& backend) const {
  return !watched_ || watched_->contains(backend.record.address);
}

bool BackendPool::may_take(const Backend& backend, const BackendNeed& need, TimePoint now) const {
  const BackendRecord& record = backend.record;
  if (record.service != need.service->name || record.draining) return false;
  if (now < backend.avoid_until || !usable(backend, now)) return false;
  if (!need.service->engine) return true;
  if (!watched(backend)) return false;
  if (record.weight_version == 0 || record.weight_version < need.lowest_version) return false;
  return !fresh(backend, now) || (backend.report.alive && !backend.report.busy);
}

bool BackendPool::fresh(const Backend& backend, TimePoint now) const {
  return backend.has_report && now - backend.reported_at < options_.report_lifetime;
}

bool BackendPool::usable(const Backend& backend, TimePoint now) const {
  if (!backend.gone) return true;
  return now < backend.used_until && fresh(backend, now) && backend.report.alive;
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
    load.pace = std::max(1.0, backend.report.pace);
    load.running = backend.report.running;
    load.waiting = backend.report.queued + static_cast<double>(backend.sent.size());
    load.pending_tokens = backend.unread_prompt_tokens + backend.report.others_unread_tokens;
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
  const double answer_ms = wait_ms + std::max(1.0, backend.report.pace) * tokens * token_ms;
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

bool BackendPool::limits_requests(const std::string& service) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    const Backend& backend = entry.second;
    return backend.record.service == service && !backend.record.draining && !backend.gone &&
           limits_.limited(entry.first);
  });
}

std::size_t BackendPool::resting_connections(const ServiceProfile& service) const {
  const double share = service.maximum_connections / std::max(1.0, options_.gateway_count);
  return std::min(static_cast<std::size_t>(share), kMostRestingConnections);
}

const BackendRecord* BackendPool::record_of(const std::string& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second.record;
}

}  // namespace pumicemast
