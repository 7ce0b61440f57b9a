#include "gateway/backends/backend_pool.h"

#include <algorithm>
#include <utility>

namespace pumicemast {
namespace {

constexpr std::size_t kMaximumIdleConnections = 24;
/// Reports that state no start time may concern an earlier process at the address for a few hundred
/// milliseconds. A leaving that they repeat for this time is that of the listed process.
constexpr Duration kLeavingConfirmation = seconds(1);

/// Whether the engine's process ended between two reports of one agent.
bool has_process_ended(const LoadReport& before, const LoadReport& after) {
  if (!before.alive) return false;
  const bool both_say = before.started_at_ms != 0 && after.started_at_ms != 0;
  return !after.alive || (both_say && before.started_at_ms != after.started_at_ms);
}

}  // namespace

const char* to_string(NoticeSource source) {
  switch (source) {
    case NoticeSource::response:
      return "response";
    case NoticeSource::agent:
      return "agent";
    case NoticeSource::gateway:
      return "gateway";
  }
  return "unknown";
}

BackendPool::BackendPool(BackendPoolOptions options)
    : options_(std::move(options)),
      placement_(options_.regions_of_zones),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)) {}

BackendPool::Backend* BackendPool::find(const std::string& id) {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

bool BackendPool::on_record(const BackendRecord& record, TimePoint now) {
  departures_.on_list_revision(record.revision, now);
  Backend& backend = backends_[record.id];
  if (record.revision < backend.record.revision) return false;
  // The list's revision decides which entry is newer. The start time can't: a clock that was set
  // back makes a later start look earlier.
  if (record.started_at_ms != backend.record.started_at_ms) {
    reset_for_new_incarnation(backend);
    limits_.forget(record.id);
    permits_.forget(record.id);
  }
  // The engine's own report is newer than the list.
  const std::uint64_t version =
      backend.has_report ? backend.record.weight_version : record.weight_version;
  backend.record = record;
  backend.record.weight_version = version;
  backend.listed_as_draining = record.draining;
  backend.removed = false;
  if (record.draining) {
    departures_.on_listed({{record.id, record.started_at_ms}, record.revision, true});
  }
  update_draining(backend, now);
  ids_by_address_[record.address] = record.id;
  return true;
}

void BackendPool::update_draining(Backend& backend, TimePoint now) {
  backend.record.draining = backend.listed_as_draining || departures_.covers(backend.record, now);
}

void BackendPool::reset_for_new_incarnation(Backend& backend) {
  // This gateway's requests to the earlier incarnation still end one by one, as when a connection
  // is lost.
  const std::uint32_t in_flight = backend.in_flight;
  backend = Backend{};
  backend.in_flight = in_flight;
}

bool BackendPool::on_removed(const std::string& id, const StoreRevision& revision, TimePoint now) {
  Backend* backend = find(id);
  if (backend == nullptr || backend->removed) return false;
  // A late report: a newer entry with the same id is known.
  if (revision.known() && revision < backend->record.revision) return false;
  const bool may_have_expired =
      !list_reachable_ || now < list_reachable_since_ + options_.outage_expiry_window;
  const TimePoint reachable_since = list_reachable_ ? list_reachable_since_ : now;
  backend->removed = true;
  backend->usable_until = may_have_expired ? reachable_since + options_.outage_expiry_grace : now;
  if (!may_have_expired) {
    const BackendRecord& record = backend->record;
    departures_.on_listed({{id, record.started_at_ms}, std::max(revision, record.revision)});
  }
  return true;
}

void BackendPool::sweep(TimePoint now) {
  pushbacks_.sweep(now);
  for (auto& [id, backend] : backends_) {
    // A departure from before a restore of the store may hold no longer.
    if (backend.record.draining && !backend.listed_as_draining) update_draining(backend, now);
  }
  std::erase_if(backends_, [&](const auto& entry) {
    const Backend& backend = entry.second;
    if (!backend.removed || now < backend.usable_until || backend.in_flight > 0) return false;
    const auto by_address = ids_by_address_.find(backend.record.address);
    if (by_address != ids_by_address_.end() && by_address->second == entry.first) {
      ids_by_address_.erase(by_address);
    }
    limits_.forget(entry.first);
    permits_.forget(entry.first);
    return true;
  });
}

void BackendPool::on_departure(const BackendDeparture& departure, TimePoint now) {
  departures_.on_listed(departure);
  if (Backend* backend = find(departure.backend.id)) update_draining(*backend, now);
}

void BackendPool::on_list_reachable(bool reachable, TimePoint now) {
  if (reachable && !list_reachable_) list_reachable_since_ = now;
  list_reachable_ = reachable;
}

void BackendPool::on_list(const std::vector<BackendRecord>& records, const StoreRevision& revision,
                          TimePoint now) {
  departures_.on_list_revision(revision, now);
  std::set<std::string> named;
  for (const BackendRecord& record : records) named.insert(record.id);
  std::vector<std::string> missing;
  for (const auto& [id, backend] : backends_) {
    if (!named.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) on_removed(id, revision, now);
  for (const BackendRecord& record : records) on_record(record, now);
}

std::optional<std::string> BackendPool::on_report(const Address& address, const LoadReport& report,
                                                  TimePoint now) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return std::nullopt;
  Backend* backend = find(id->second);
  if (backend == nullptr) return std::nullopt;
  const bool ended = backend->has_report && has_process_ended(backend->report, report);
  if (report.leaving) on_reported_leaving(*backend, report, now);
  backend->report = report;
  backend->reported_at = now;
  backend->has_report = true;
  backend->record.weight_version = report.weight_version;
  if (!ended) limits_.on_reported(id->second, report.limit, LimitSource::agent);
  return ended ? std::optional<std::string>(id->second) : std::nullopt;
}

bool BackendPool::is_of_another_process(const LoadReport& report, const BackendRecord& record) {
  return report.started_at_ms != 0 && record.started_at_ms != 0 &&
         report.started_at_ms != record.started_at_ms;
}

void BackendPool::on_reported_leaving(Backend& backend, const LoadReport& report, TimePoint now) {
  const BackendRecord& record = backend.record;
  if (!has_fresh_report(backend, now) || !backend.report.leaving) {
    backend.reported_leaving_since = now;
    notice_changes_.push_back({record.id, NoticeSource::agent, true, std::nullopt});
  }
  if (is_of_another_process(report, record)) return;
  const bool states_same_start =
      report.started_at_ms != 0 && report.started_at_ms == record.started_at_ms;
  const bool repeated = now - backend.reported_leaving_since >= kLeavingConfirmation;
  if (states_same_start || repeated)
    record_announced_leaving({record.id, record.started_at_ms}, now);
}

void BackendPool::on_others_backlog(const Address& address, std::uint32_t pending_tokens) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return;
  if (Backend* backend = find(id->second)) backend->report.others_pending_tokens = pending_tokens;
}

void BackendPool::on_path_delay(const Address& address, Duration delay, TimePoint now) {
  const auto id = ids_by_address_.find(address);
  if (id == ids_by_address_.end()) return;
  Backend* backend = find(id->second);
  if (backend == nullptr) return;
  backend->path_delay = delay;
  backend->path_measured_at = now;
}

bool BackendPool::path_delayed(const Backend& backend, TimePoint now) const {
  if (backend.path_measured_at == TimePoint{}) return false;
  return backend.path_delay > options_.max_path_delay ||
         now - backend.path_measured_at >
             options_.path_measurement_interval + options_.max_path_delay;
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
  const BackendIncarnation incarnation{id, backend->record.started_at_ms};
  if (departures_.announced(incarnation)) ++notice_counters_.sends_to_leaving;
  if (pushbacks_.paused(incarnation, now)) ++notice_counters_.sends_while_paused;
  pushbacks_.on_sent(incarnation, now);
  permits_.use(id, now);
  backend->pending_prompt_tokens += prompt_tokens;
  if (prompt_tokens > 0) changed_backlogs_.insert(id);
}

void BackendPool::on_first_token(const std::string& id, double prompt_tokens) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  backend->pending_prompt_tokens = std::max(0.0, backend->pending_prompt_tokens - prompt_tokens);
  if (prompt_tokens > 0) changed_backlogs_.insert(id);
}

std::vector<PromptBacklog> BackendPool::take_changed_backlogs() {
  std::vector<PromptBacklog> changed;
  for (const std::string& id : changed_backlogs_) {
    const Backend* backend = find(id);
    if (backend != nullptr) {
      changed.push_back({backend->record.address, backend->pending_prompt_tokens});
    }
  }
  changed_backlogs_.clear();
  return changed;
}

void BackendPool::on_finished(const std::string& id) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  if (backend->in_flight > 0) --backend->in_flight;
  // This gateway may reuse the freed slot at once, unless requests are queued at the engine. If it
  // did so in spite of a queue, a queue that has formed (gateways without reports send on
  // estimates) would last as long as demand exceeds capacity. While requests wait at the agent, it
  // decides which of them gets the slot.
  if (backend->report.queued == 0 && backend->report.slot_requests == 0) ++backend->report.credit;
}

void BackendPool::on_failure(const std::string& id, TimePoint now) {
  Backend* backend = find(id);
  if (backend == nullptr) return;
  const Duration backoff = options_.initial_backoff * (1 << std::min(backend->failures, 5U));
  ++backend->failures;
  backend->backoff_until = now + std::min(backoff, options_.max_backoff);
}

void BackendPool::on_success(const std::string& id) {
  Backend* backend = find(id);
  if (backend != nullptr) backend->failures = 0;
}

void BackendPool::on_refusal(const std::string& id, TimePoint now) {
  constexpr Duration kRefusalBackoff = milliseconds(60);
  Backend* backend = find(id);
  if (backend != nullptr) {
    backend->backoff_until = std::max(backend->backoff_until, now + kRefusalBackoff);
  }
}

void BackendPool::on_notice(const BackendIncarnation& backend, const BackendNotice& notice,
                            TimePoint sent_at, TimePoint now) {
  notice_counters_.invalid_fields += notice.invalid_fields;
  if (notice.leaving) on_announced_leaving(backend, NoticeSource::response, now);
  if (!notice.pushback) {
    pushbacks_.on_accepted(backend, sent_at);
    return;
  }
  ++notice_counters_.pushbacks;
  if (pushbacks_.on_pushback(backend, *notice.pushback, now)) {
    notice_changes_.push_back({backend.id, NoticeSource::response, false, notice.pushback});
  }
}

void BackendPool::on_announced_departure(const BackendIncarnation& backend, TimePoint now) {
  // Digests repeat the announcement, in case the list names the back end later.
  if (!find(backend.id) || incarnation_of(backend.id) != backend) return;
  on_announced_leaving(backend, NoticeSource::gateway, now);
}

void BackendPool::on_announced_leaving(const BackendIncarnation& backend, NoticeSource source,
                                       TimePoint now) {
  if (!record_announced_leaving(backend, now)) return;
  notice_changes_.push_back({backend.id, source, true, std::nullopt});
}

bool BackendPool::record_announced_leaving(const BackendIncarnation& backend, TimePoint now) {
  if (!departures_.on_announced(backend, now)) return false;
  Backend* known = find(backend.id);
  if (known != nullptr) update_draining(*known, now);
  return true;
}

std::vector<NoticeChange> BackendPool::take_notice_changes() {
  return std::exchange(notice_changes_, {});
}

bool BackendPool::pushes_back(const BackendRecord& record, TimePoint now) const {
  return !pushbacks_.empty() && !pushbacks_.admits({record.id, record.started_at_ms}, now);
}

bool BackendPool::leaving(const std::string& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() || found->second.record.draining || found->second.removed;
}

BackendIncarnation BackendPool::incarnation_of(const std::string& id) const {
  const auto found = backends_.find(id);
  return {id, found == backends_.end() ? 0 : found->second.record.started_at_ms};
}

bool BackendPool::serves(const Backend& backend, const BackendRequirements& requirements) const {
  return backend.record.service == requirements.service->name &&
         placement_.allows(backend.record.zone, requirements.allowed_regions);
}

bool BackendPool::has_weights(const BackendRequirements& requirements, TimePoint now) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return is_in_service(entry.second, requirements, now);
  });
}

ZoneVerdict BackendPool::placement_of(const BackendRequirements& requirements) const {
  if (requirements.allowed_regions.unrestricted() && !placement_.evacuations().any())
    return ZoneVerdict::allowed;
  std::optional<ZoneVerdict> result;
  for (const auto& [id, backend] : backends_) {
    const BackendRecord& record = backend.record;
    if (record.service != requirements.service->name || record.draining || backend.removed)
      continue;
    const ZoneVerdict verdict = placement_.judge(record.zone, requirements.allowed_regions);
    if (verdict == ZoneVerdict::allowed) return verdict;
    // An evacuation ends, so it is the more useful reason to state.
    if (!result || verdict == ZoneVerdict::evacuated) result = verdict;
  }
  return result.value_or(ZoneVerdict::allowed);
}

bool BackendPool::known_alive(const std::string& id, TimePoint now) const {
  const auto found = backends_.find(id);
  return found != backends_.end() && has_fresh_report(found->second, now) &&
         found->second.report.alive;
}

bool BackendPool::reported_alive_since(const std::string& id, TimePoint since) const {
  const auto found = backends_.find(id);
  return found != backends_.end() && found->second.has_report && found->second.report.alive &&
         found->second.reported_at >= since;
}

std::size_t BackendPool::reporting(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(backends_.begin(), backends_.end(), [&](const auto& entry) {
        return !entry.second.removed && has_fresh_report(entry.second, now);
      }));
}

std::vector<BackendRecord> BackendPool::records() const {
  std::vector<BackendRecord> result;
  for (const auto& [id, backend] : backends_) result.push_back(backend.record);
  return result;
}

std::vector<BackendRecord> BackendPool::listed_records() const {
  std::vector<BackendRecord> result;
  for (const auto& [id, backend] : backends_) {
    if (!backend.removed) result.push_back(backend.record);
  }
  return result;
}

bool BackendPool::subscribed(const Backend& backend) const {
  return !subscribed_engines_ || subscribed_engines_->contains(backend.record.address);
}

bool BackendPool::has_fresh_report(const Backend& backend, TimePoint now) const {
  return backend.has_report && now - backend.reported_at < options_.report_lifetime;
}

bool BackendPool::usable(const Backend& backend, TimePoint now) const {
  if (!backend.removed) return true;
  return now < backend.usable_until && has_fresh_report(backend, now) && backend.report.alive;
}

bool BackendPool::has_limited_backend(const BackendRequirements& requirements) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    const Backend& backend = entry.second;
    return serves(backend, requirements) && !backend.record.draining && !backend.removed &&
           limits_.limited(entry.first);
  });
}

bool BackendPool::has_cold_backend(const BackendRequirements& requirements, TimePoint now) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    const Backend& backend = entry.second;
    return serves(backend, requirements) && !backend.record.draining && !backend.removed &&
           cold_limit(backend.record, now);
  });
}

void BackendPool::set_cold_starts(std::map<std::string, ColdStartProfile> by_service) {
  cold_starts_ = std::move(by_service);
}

std::optional<ColdLimit> BackendPool::cold_limit(const BackendRecord& record, TimePoint now) const {
  if (now >= record.cold_until) return std::nullopt;
  const auto profile = cold_starts_.find(record.service);
  if (profile == cold_starts_.end()) return std::nullopt;
  return ColdLimit{profile->second.requests_per_second, record.cold_until};
}

bool BackendPool::needs_permit(const std::string& id, const Backend& backend, TimePoint now) const {
  return limits_.limited(id) || cold_limit(backend.record, now);
}

std::size_t BackendPool::max_idle_connections(const ServiceProfile& service) const {
  const double share = service.maximum_connections / std::max(1.0, options_.gateway_count);
  return std::min(static_cast<std::size_t>(share), kMaximumIdleConnections);
}

const BackendRecord* BackendPool::record_of(const std::string& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second.record;
}

}  // namespace pumicemast
