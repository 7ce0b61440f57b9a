#include "gateway/backends/backend_pool.h"

#include <algorithm>

namespace pumicemast {
namespace {

constexpr std::size_t kRememberedLeavers = 64;
constexpr std::size_t kMostRestingConnections = 24;

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
  if (Backend* backend = find(id->second)) backend->report.others_pending_tokens = unread_tokens;
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

BackendIncarnation BackendPool::life_of(const std::string& id) const {
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

bool BackendPool::fresh(const Backend& backend, TimePoint now) const {
  return backend.has_report && now - backend.reported_at < options_.report_lifetime;
}

bool BackendPool::usable(const Backend& backend, TimePoint now) const {
  if (!backend.gone) return true;
  return now < backend.used_until && fresh(backend, now) && backend.report.alive;
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
