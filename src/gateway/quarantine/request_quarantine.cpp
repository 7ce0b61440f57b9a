#include "gateway/quarantine/request_quarantine.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

/// Bounds the crashes recorded for one request. With a threshold of three crashes, the longest hold
/// is 32 times the first one.
constexpr std::size_t kMaximumCrashesPerRequest = 8;
/// Two crashes of one burst are reported within this span. Agents poll their engines at different
/// times, links differ in delay, and each gateway takes the time of a crash by itself.
constexpr Duration kBurstReportSpan = milliseconds(400);
/// How long after a complete response crashes are not attributed to its request. It is long enough
/// for a request that many callers send, some through each gateway. It is short because a request
/// that completed on old weights may crash back ends with new ones, and until then its crashes
/// don't count.
constexpr Duration kCompletionRetention = seconds(15);
/// Minimum time after its start before a gateway has seen enough complete responses: by then most
/// requests that were in flight at the start have been answered.
constexpr Duration kWarmUpAfterStart = seconds(2);
/// Minimum time after the first complete response that a gateway sees, because engines may come
/// back later than gateways.
constexpr Duration kWarmUpAfterFirstResponse = seconds(1);
/// Bounds the completions kept for one retention span; a busy gateway gets 100 requests per second.
constexpr std::size_t kMaximumCompletionsPerSpan = 4096;
/// Requests whose evidence fits into one message, at about 80 bytes each.
constexpr std::size_t kMaximumVerdictsPerMessage = 256;

}  // namespace

RequestQuarantine::RequestQuarantine(QuarantineOptions options, TimePoint started)
    : options_(options),
      started_(started),
      recently_completed_(kCompletionRetention, kMaximumCompletionsPerSpan) {
  if (started == TimePoint::min()) warmed_up_at_ = started;
}

std::size_t RequestQuarantine::Record::counted_crashes() const {
  const auto same_burst = [](const CrashEvent& one, const CrashEvent& other) {
    return one.backend != other.backend && std::chrono::abs(one.at - other.at) <= kBurstReportSpan;
  };
  const auto counts = [&](const RecordedCrash& seen) {
    if (seen.discounted) return false;
    if (!seen.event.in_burst) return true;
    if (seen.event.observer_warming_up) return false;
    return std::any_of(crashes.begin(), crashes.end(), [&](const RecordedCrash& other) {
      return other.event.in_burst && !other.event.observer_warming_up &&
             same_burst(seen.event, other.event);
    });
  };
  return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), counts));
}

TimePoint RequestQuarantine::Record::last_event_at() const {
  TimePoint latest = completed_at.value_or(TimePoint::min());
  for (const RecordedCrash& seen : crashes) latest = std::max(latest, seen.event.at);
  return latest;
}

bool RequestQuarantine::add_crash(const RequestFingerprint& request, const CrashEvent& event) {
  if (!request.known()) return false;
  if (!records_.contains(request)) make_room();
  Record& record = records_[request];
  const bool was_over_threshold = over_threshold(record, event.at);
  const auto known =
      std::find_if(record.crashes.begin(), record.crashes.end(),
                   [&](const RecordedCrash& seen) { return seen.event.backend == event.backend; });
  if (known != record.crashes.end()) {
    // Another gateway may have seen more back ends exit, or may have run for longer.
    const bool joins_burst = event.in_burst && !known->event.in_burst;
    const bool observer_warmed_up = !event.observer_warming_up && known->event.observer_warming_up;
    if (!joins_burst && !observer_warmed_up) return false;
    known->event.in_burst = known->event.in_burst || event.in_burst;
    known->event.observer_warming_up =
        known->event.observer_warming_up && event.observer_warming_up;
  } else {
    if (record.completed_at && event.at <= *record.completed_at) return false;
    record.crashes.push_back({event, false});
    if (record.crashes.size() > kMaximumCrashesPerRequest)
      record.crashes.erase(record.crashes.begin());
  }
  if (!was_over_threshold && over_threshold(record, event.at))
    newly_quarantined_.push_back(request);
  updates_.add_crash(request, event, record.crashes.size());
  return true;
}

bool RequestQuarantine::discount_crashes(const RequestFingerprint& request, TimePoint at) {
  if (!records_.contains(request)) make_room();
  Record& record = records_[request];
  record.completed_at = std::max(record.completed_at.value_or(at), at);
  bool changed = false;
  for (RecordedCrash& seen : record.crashes) {
    if (seen.discounted || seen.event.at > at) continue;
    seen.discounted = true;
    changed = true;
  }
  // Only a change is passed on. The time of a completion shifts a little each time it is passed on,
  // so that passing on every new time would never end.
  if (changed) updates_.add_completion(request, at);
  return changed;
}

void RequestQuarantine::on_crash(const BackendCrash& crash) {
  const CrashEvent event{
      stable_hash(crash.backend.id, static_cast<std::uint64_t>(crash.backend.started_at_ms)),
      crash.at, crash.in_burst, !warmed_up_at_ || crash.at < *warmed_up_at_};
  for (const RequestFingerprint& request : crash.requests) {
    if (!recently_completed_.contains(request, crash.at)) add_crash(request, event);
  }
}

void RequestQuarantine::on_completed(const RequestFingerprint& request, TimePoint now) {
  if (!warmed_up_at_)
    warmed_up_at_ = std::max(started_ + kWarmUpAfterStart, now + kWarmUpAfterFirstResponse);
  recently_completed_.add(request, now);
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  discount_crashes(request, now);
}

bool RequestQuarantine::on_update(const CrashUpdate& update, TimePoint now) {
  bool changed = false;
  for (const ReportedCompletion& reported : update.completions) {
    changed = discount_crashes(reported.request, now - reported.age) || changed;
  }
  for (const ReportedCrash& crash : update.crashes) {
    const CrashEvent event{crash.backend, now - crash.age, crash.in_burst,
                           crash.observer_warming_up};
    for (const RequestFingerprint& request : crash.requests) {
      changed = add_crash(request, event) || changed;
    }
  }
  return changed;
}

std::size_t RequestQuarantine::crash_count(const RequestFingerprint& request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.counted_crashes();
}

bool RequestQuarantine::over_threshold(const Record& record, TimePoint now) const {
  return record.counted_crashes() >= options_.crash_threshold &&
         now < record.last_event_at() + hold_duration(record);
}

Duration RequestQuarantine::hold_duration(const Record& record) const {
  const std::size_t counted = std::max(record.counted_crashes(), options_.crash_threshold);
  return options_.hold * (1U << (counted - options_.crash_threshold));
}

bool RequestQuarantine::quarantined(const RequestFingerprint& request, TimePoint now) const {
  const auto found = records_.find(request);
  return found != records_.end() && over_threshold(found->second, now) &&
         !pardoned_.contains(request);
}

std::vector<QuarantinedRequest> RequestQuarantine::list(TimePoint now) const {
  std::vector<QuarantinedRequest> result;
  for (const auto& [request, record] : records_) {
    if (!quarantined(request, now)) continue;
    result.push_back(
        {request, record.counted_crashes(), record.last_event_at() + hold_duration(record) - now});
  }
  return result;
}

std::vector<RequestFingerprint> RequestQuarantine::take_newly_quarantined() {
  std::vector<RequestFingerprint> result = std::move(newly_quarantined_);
  newly_quarantined_.clear();
  return result;
}

CrashUpdate RequestQuarantine::verdicts(TimePoint now) const {
  std::vector<const std::pair<const RequestFingerprint, Record>*> evidenced;
  for (const auto& entry : records_) {
    if (entry.second.completed_at || over_threshold(entry.second, now)) evidenced.push_back(&entry);
  }
  std::sort(evidenced.begin(), evidenced.end(), [](const auto* left, const auto* right) {
    return left->second.last_event_at() > right->second.last_event_at();
  });
  if (evidenced.size() > kMaximumVerdictsPerMessage) evidenced.resize(kMaximumVerdictsPerMessage);
  CrashUpdate update;
  for (const auto* entry : evidenced) {
    const auto& [request, record] = *entry;
    for (const RecordedCrash& seen : record.crashes) {
      if (seen.discounted) continue;
      const Duration age = now - seen.event.at;
      update.crashes.push_back({seen.event.backend,
                                age,
                                {request},
                                seen.event.in_burst,
                                seen.event.observer_warming_up});
    }
    if (record.completed_at) update.completions.push_back({request, now - *record.completed_at});
  }
  return update;
}

std::uint64_t RequestQuarantine::verdict_digest(TimePoint now) const {
  std::uint64_t digest = 0;
  for (const auto& [request, record] : records_) {
    if (over_threshold(record, now)) digest ^= stable_hash(request.high, request.low);
  }
  return digest;
}

void RequestQuarantine::make_room() {
  if (records_.size() < options_.capacity) return;
  const auto evicted_first = [](const auto& left, const auto& right) {
    const Record& first = left.second;
    const Record& second = right.second;
    if (first.counted_crashes() != second.counted_crashes())
      return first.counted_crashes() < second.counted_crashes();
    return first.last_event_at() < second.last_event_at();
  };
  records_.erase(std::min_element(records_.begin(), records_.end(), evicted_first));
}

void RequestQuarantine::sweep(TimePoint now) {
  // The crashes of a quarantine that has expired are kept for as long again, so that one more crash
  // starts it anew.
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const bool was_over_threshold = record.counted_crashes() >= options_.crash_threshold;
    return now >= record.last_event_at() + hold_duration(record) * (was_over_threshold ? 2 : 1);
  });
}

}  // namespace pumicemast
