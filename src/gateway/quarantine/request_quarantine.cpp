#include "gateway/quarantine/request_quarantine.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace pumicemast {
namespace {

/// Bounds the crashes recorded for one suspect. With a threshold of three crashes, the longest hold
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
/// Bounds the completions kept for one retention span; a busy gateway gets 100 requests per second.
constexpr std::size_t kMaximumCompletionsPerSpan = 4096;
/// Requests whose evidence fits into one message, at about 80 bytes each.
constexpr std::size_t kMaximumVerdictsPerMessage = 256;

}  // namespace

RequestQuarantine::RequestQuarantine(QuarantineOptions options, TimePoint started)
    : options_(options),
      request_knowledge_(started, kCompletionRetention),
      part_knowledge_(started, kCompletionRetention),
      recently_completed_requests_(kCompletionRetention, kMaximumCompletionsPerSpan),
      recently_completed_parts_(kCompletionRetention, kMaximumCompletionsPerSpan) {}

std::size_t RequestQuarantine::Record::counted_crashes() const {
  return kind == SuspectKind::request ? counted_request_crashes() : counted_part_crashes();
}

std::size_t RequestQuarantine::Record::counted_part_crashes() const {
  // Most parts are under one crash at most, and make_room() asks for all of them.
  if (crashes.empty()) return 0;
  if (crashes.size() == 1) {
    const RecordedCrash& only = crashes.front();
    return only.discounted || only.event.observer_warming_up || only.event.in_burst ? 0 : 1;
  }
  std::vector<CrashEvent> events;
  for (const RecordedCrash& seen : crashes) {
    if (!seen.discounted && !seen.event.observer_warming_up) events.push_back(seen.event);
  }
  const auto same_burst = [](const CrashEvent& one, const CrashEvent& other) {
    return one.in_burst && other.in_burst &&
           std::chrono::abs(one.at - other.at) <= kBurstReportSpan;
  };
  // In an order that does not depend on when the crashes became known here.
  std::sort(events.begin(), events.end(), [](const CrashEvent& left, const CrashEvent& right) {
    return left.backend < right.backend;
  });
  std::vector<CrashEvent> counted;
  for (const CrashEvent& event : events) {
    const bool alone_in_burst =
        event.in_burst && std::none_of(events.begin(), events.end(), [&](const CrashEvent& other) {
          return other.carrier != event.carrier && same_burst(event, other);
        });
    const bool repeats = std::any_of(counted.begin(), counted.end(), [&](const CrashEvent& other) {
      return event.carrier == other.carrier || same_burst(event, other);
    });
    if (!alone_in_burst && !repeats) counted.push_back(event);
  }
  return counted.size();
}

std::size_t RequestQuarantine::Record::counted_request_crashes() const {
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

RequestQuarantine::Record& RequestQuarantine::record_of(const CrashSuspect& suspect) {
  if (!records_.contains(suspect)) make_room();
  Record& record = records_[suspect];
  record.kind = suspect.kind;
  return record;
}

RequestQuarantine::CompletedSuspects& RequestQuarantine::recently_completed(SuspectKind kind) {
  return kind == SuspectKind::request ? recently_completed_requests_ : recently_completed_parts_;
}

bool RequestQuarantine::add_crash(const CrashSuspect& suspect, const CrashEvent& event) {
  if (!suspect.fingerprint.known()) return false;
  Record& record = record_of(suspect);
  const bool was_over_threshold = over_threshold(record, event.at);
  const auto known =
      std::find_if(record.crashes.begin(), record.crashes.end(),
                   [&](const RecordedCrash& seen) { return seen.event.backend == event.backend; });
  if (known != record.crashes.end()) {
    // Another gateway may have seen more back ends exit, or may have run for longer.
    const bool joins_burst = event.in_burst && !known->event.in_burst;
    const bool observer_warmed_up = !event.observer_warming_up && known->event.observer_warming_up;
    const bool lower_carrier = event.carrier < known->event.carrier;
    if (!joins_burst && !observer_warmed_up && !lower_carrier) return false;
    known->event.carrier = std::min(known->event.carrier, event.carrier);
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
    newly_quarantined_.push_back(suspect);
  updates_.add_crash(suspect, event, record.crashes.size());
  return true;
}

bool RequestQuarantine::discount_crashes(const CrashSuspect& suspect, TimePoint at) {
  Record& record = record_of(suspect);
  record.completed_at = std::max(record.completed_at.value_or(at), at);
  bool changed = false;
  for (RecordedCrash& seen : record.crashes) {
    if (seen.discounted || seen.event.at > at) continue;
    seen.discounted = true;
    changed = true;
  }
  // Only a change is passed on. The time of a completion shifts a little each time it is passed on,
  // so that passing on every new time would never end.
  if (changed) updates_.add_completion(suspect, at);
  return changed;
}

void RequestQuarantine::on_crash(const BackendCrash& crash) {
  CrashEvent event;
  event.backend =
      stable_hash(crash.backend.id, static_cast<std::uint64_t>(crash.backend.started_at_ms));
  event.at = crash.at;
  event.in_burst = crash.in_burst;
  event.observer_warming_up = !request_knowledge_.warmed_up(crash.at);
  for (const RequestFingerprint& request : crash.requests) record_crash(request, event);
  event.observer_warming_up = !part_knowledge_.current(crash.at);
  for (const SuspectedPart& part : crash.prompt_parts) {
    event.carrier = part.carrier;
    record_crash({part.fingerprint, SuspectKind::prompt_part}, event);
  }
}

void RequestQuarantine::record_crash(const CrashSuspect& suspect, CrashEvent event) {
  if (!recently_completed(suspect.kind).contains(suspect, event.at)) add_crash(suspect, event);
}

void RequestQuarantine::on_completed(const CrashSuspects& suspects, TimePoint now) {
  for (const CrashSuspect& suspect : suspects) on_completed(suspect, now);
}

void RequestQuarantine::on_completed(const CrashSuspect& suspect, TimePoint now) {
  const bool request = suspect.kind == SuspectKind::request;
  (request ? request_knowledge_ : part_knowledge_).on_completed(now);
  recently_completed(suspect.kind).add(suspect, now);
  if (records_.contains(suspect)) discount_crashes(suspect, now);
}

bool RequestQuarantine::on_update(const CrashUpdate& update, TimePoint now) {
  bool changed = false;
  for (const ReportedCompletion& reported : update.completions) {
    changed = discount_crashes(reported.suspect, now - reported.age) || changed;
  }
  for (const ReportedCrash& crash : update.crashes) {
    CrashEvent event{crash.backend, now - crash.age, crash.in_burst, crash.observer_warming_up};
    for (std::size_t index = 0; index < crash.requests.size(); ++index) {
      const CrashSuspect suspect{crash.requests[index], crash.kind};
      event.carrier = index < crash.carriers.size() ? crash.carriers[index] : 0;
      changed = add_crash(suspect, event) || changed;
      // The observer may not have had a request with the part for long, while others did.
      if (crash.kind == SuspectKind::prompt_part &&
          recently_completed_parts_.contains(suspect, now))
        changed = discount_crashes(suspect, event.at) || changed;
    }
  }
  return changed;
}

std::size_t RequestQuarantine::crash_count(const CrashSuspect& suspect) const {
  const auto found = records_.find(suspect);
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

bool RequestQuarantine::quarantined(const CrashSuspect& suspect, TimePoint now) const {
  const auto found = records_.find(suspect);
  return found != records_.end() && over_threshold(found->second, now) &&
         !pardoned_.contains(suspect.fingerprint);
}

const CrashSuspect* RequestQuarantine::first_quarantined(const CrashSuspects& suspects,
                                                         TimePoint now) const {
  const auto found =
      std::find_if(suspects.begin(), suspects.end(),
                   [&](const CrashSuspect& suspect) { return quarantined(suspect, now); });
  return found == suspects.end() ? nullptr : &*found;
}

std::vector<QuarantinedSuspect> RequestQuarantine::list(TimePoint now) const {
  std::vector<QuarantinedSuspect> result;
  for (const auto& [suspect, record] : records_) {
    if (!quarantined(suspect, now)) continue;
    result.push_back(
        {suspect, record.counted_crashes(), record.last_event_at() + hold_duration(record) - now});
  }
  return result;
}

CrashSuspects RequestQuarantine::take_newly_quarantined() {
  CrashSuspects result = std::move(newly_quarantined_);
  newly_quarantined_.clear();
  return result;
}

CrashUpdate RequestQuarantine::verdicts(TimePoint now) const {
  std::vector<const std::pair<const CrashSuspect, Record>*> evidenced;
  for (const auto& entry : records_) {
    if (entry.second.completed_at || over_threshold(entry.second, now)) evidenced.push_back(&entry);
  }
  // Suspects that many requests share complete all the time, and must not displace verdicts.
  std::sort(evidenced.begin(), evidenced.end(), [&](const auto* left, const auto* right) {
    const auto rank = [&](const Record& record) {
      return std::pair(over_threshold(record, now), record.last_event_at());
    };
    return rank(left->second) > rank(right->second);
  });
  if (evidenced.size() > kMaximumVerdictsPerMessage) evidenced.resize(kMaximumVerdictsPerMessage);
  CrashUpdate update;
  for (const auto* entry : evidenced) {
    const auto& [suspect, record] = *entry;
    for (const RecordedCrash& seen : record.crashes) {
      if (seen.discounted) continue;
      const Duration age = now - seen.event.at;
      update.crashes.push_back({seen.event.backend,
                                age,
                                {suspect.fingerprint},
                                seen.event.in_burst,
                                seen.event.observer_warming_up,
                                suspect.kind,
                                {seen.event.carrier}});
    }
    if (record.completed_at) update.completions.push_back({suspect, now - *record.completed_at});
  }
  return update;
}

std::uint64_t RequestQuarantine::verdict_digest(TimePoint now) const {
  std::uint64_t digest = 0;
  for (const auto& [suspect, record] : records_) {
    if (over_threshold(record, now))
      digest ^= stable_hash(suspect.fingerprint.high, suspect.fingerprint.low);
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
