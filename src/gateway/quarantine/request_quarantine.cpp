#include "gateway/quarantine/request_quarantine.h"

#include <algorithm>

#include "common/hash.h"

namespace pumicemast {
namespace {

/// Of one request. With three to convict, the longest hold is that of the first verdict 32 times.
constexpr std::size_t kEndsKept = 8;
/// Two ends of a crowd are told within such a span: of agents that ask by turns, over links that
/// differ, by gateways that each see the moment for themselves.
constexpr Duration kSameCrowd = milliseconds(400);
/// For how long a whole answer speaks for its request. Long enough for a request that many callers
/// send, some of them through each gateway; short, because new weights may make a killer of one
/// that has run well: until then its ends count for nothing.
constexpr Duration kSoundFor = seconds(15);
/// After its start a gateway knows this long too little of what ends well: until requests that were
/// under way when it began have mostly been answered.
constexpr Duration kLearningTime = seconds(2);
/// The same from the first whole answer that it sees: engines may be back later than gateways.
constexpr Duration kLearningFromAnswers = seconds(1);
/// Of one such span; 100 requests a second reach a busy gateway.
constexpr std::size_t kSoundKept = 4096;
/// Requests of which one message tells the evidence, about 80 bytes each.
constexpr std::size_t kVerdictsTold = 256;

}  // namespace

RequestQuarantine::RequestQuarantine(QuarantineOptions options, TimePoint started)
    : options_(options), started_(started), sound_(kSoundFor, kSoundKept) {
  if (started == TimePoint::min()) learnt_at_ = started;
}

std::size_t RequestQuarantine::Record::counted() const {
  const auto near = [](const BackendEnd& one, const BackendEnd& other) {
    return one.backend != other.backend && std::chrono::abs(one.at - other.at) <= kSameCrowd;
  };
  const auto counts = [&](const SeenEnd& seen) {
    if (seen.outlived) return false;
    if (!seen.end.in_crowd) return true;
    if (seen.end.by_newcomer) return false;
    return std::any_of(ends.begin(), ends.end(), [&](const SeenEnd& other) {
      return other.end.in_crowd && !other.end.by_newcomer && near(seen.end, other.end);
    });
  };
  return static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), counts));
}

TimePoint RequestQuarantine::Record::last() const {
  TimePoint latest = acquitted_at.value_or(TimePoint::min());
  for (const SeenEnd& seen : ends) latest = std::max(latest, seen.end.at);
  return latest;
}

bool RequestQuarantine::add_end(const RequestFingerprint& request, const BackendEnd& end) {
  if (!request.known()) return false;
  if (!records_.contains(request)) make_room();
  Record& record = records_[request];
  const bool was_convicted = convicted(record, end.at);
  const auto known = std::find_if(record.ends.begin(), record.ends.end(), [&](const SeenEnd& seen) {
    return seen.end.backend == end.backend;
  });
  if (known != record.ends.end()) {
    // One gateway hears of more back ends than another, or has run for longer.
    const bool crowd_shows = end.in_crowd && !known->end.in_crowd;
    const bool seen_by_older = !end.by_newcomer && known->end.by_newcomer;
    if (!crowd_shows && !seen_by_older) return false;
    known->end.in_crowd = known->end.in_crowd || end.in_crowd;
    known->end.by_newcomer = known->end.by_newcomer && end.by_newcomer;
  } else {
    if (record.acquitted_at && end.at <= *record.acquitted_at) return false;
    record.ends.push_back({end, false});
    if (record.ends.size() > kEndsKept) record.ends.erase(record.ends.begin());
  }
  if (!was_convicted && convicted(record, end.at)) new_convicted_.push_back(request);
  news_.add_end(request, end, record.ends.size());
  return true;
}

bool RequestQuarantine::acquit(const RequestFingerprint& request, TimePoint at) {
  if (!records_.contains(request)) make_room();
  Record& record = records_[request];
  record.acquitted_at = std::max(record.acquitted_at.value_or(at), at);
  bool changed = false;
  for (SeenEnd& seen : record.ends) {
    if (seen.outlived || seen.end.at > at) continue;
    seen.outlived = true;
    changed = true;
  }
  // Only what changes a verdict is told on: the moment moves a little with each telling.
  if (changed) news_.add_acquittal(request, at);
  return changed;
}

void RequestQuarantine::on_crash(const BackendCrash& crash) {
  const BackendEnd end{
      stable_hash(crash.backend.id, static_cast<std::uint64_t>(crash.backend.started_at_ms)),
      crash.at, crash.in_crowd, !learnt_at_ || crash.at < *learnt_at_};
  for (const RequestFingerprint& request : crash.requests) {
    if (!sound_.contains(request, crash.at)) add_end(request, end);
  }
}

void RequestQuarantine::on_ended_well(const RequestFingerprint& request, TimePoint now) {
  if (!learnt_at_) learnt_at_ = std::max(started_ + kLearningTime, now + kLearningFromAnswers);
  sound_.add(request, now);
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  acquit(request, now);
}

bool RequestQuarantine::on_told(const CrashNews& news, TimePoint now) {
  bool changed = false;
  for (const ToldAcquittal& told : news.acquittals) {
    changed = acquit(told.request, now - told.age) || changed;
  }
  for (const ToldCrash& crash : news.crashes) {
    const BackendEnd end{crash.backend, now - crash.age, crash.in_crowd, crash.by_newcomer};
    for (const RequestFingerprint& request : crash.requests) {
      changed = add_end(request, end) || changed;
    }
  }
  return changed;
}

std::size_t RequestQuarantine::ends_under(const RequestFingerprint& request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.counted();
}

bool RequestQuarantine::convicted(const Record& record, TimePoint now) const {
  return record.counted() >= options_.ends_to_convict && now < record.last() + hold_of(record);
}

Duration RequestQuarantine::hold_of(const Record& record) const {
  const std::size_t counted = std::max(record.counted(), options_.ends_to_convict);
  return options_.hold * (1U << (counted - options_.ends_to_convict));
}

bool RequestQuarantine::quarantined(const RequestFingerprint& request, TimePoint now) const {
  const auto found = records_.find(request);
  return found != records_.end() && convicted(found->second, now) && !pardoned_.contains(request);
}

std::vector<QuarantinedRequest> RequestQuarantine::list(TimePoint now) const {
  std::vector<QuarantinedRequest> result;
  for (const auto& [request, record] : records_) {
    if (!quarantined(request, now)) continue;
    result.push_back({request, record.counted(), record.last() + hold_of(record) - now});
  }
  return result;
}

std::vector<RequestFingerprint> RequestQuarantine::take_convicted() {
  std::vector<RequestFingerprint> result = std::move(new_convicted_);
  new_convicted_.clear();
  return result;
}

CrashNews RequestQuarantine::verdicts(TimePoint now) const {
  std::vector<const std::pair<const RequestFingerprint, Record>*> judged;
  for (const auto& entry : records_) {
    if (entry.second.acquitted_at || convicted(entry.second, now)) judged.push_back(&entry);
  }
  std::sort(judged.begin(), judged.end(), [](const auto* left, const auto* right) {
    return left->second.last() > right->second.last();
  });
  if (judged.size() > kVerdictsTold) judged.resize(kVerdictsTold);
  CrashNews news;
  for (const auto* entry : judged) {
    const auto& [request, record] = *entry;
    for (const SeenEnd& seen : record.ends) {
      if (seen.outlived) continue;
      const Duration age = now - seen.end.at;
      news.crashes.push_back(
          {seen.end.backend, age, {request}, seen.end.in_crowd, seen.end.by_newcomer});
    }
    if (record.acquitted_at) news.acquittals.push_back({request, now - *record.acquitted_at});
  }
  return news;
}

std::uint64_t RequestQuarantine::verdict_digest(TimePoint now) const {
  std::uint64_t digest = 0;
  for (const auto& [request, record] : records_) {
    if (convicted(record, now)) digest ^= stable_hash(request.high, request.low);
  }
  return digest;
}

void RequestQuarantine::make_room() {
  if (records_.size() < options_.capacity) return;
  const auto matters_less = [](const auto& left, const auto& right) {
    const Record& first = left.second;
    const Record& second = right.second;
    if (first.counted() != second.counted()) return first.counted() < second.counted();
    return first.last() < second.last();
  };
  records_.erase(std::min_element(records_.begin(), records_.end(), matters_less));
}

void RequestQuarantine::sweep(TimePoint now) {
  // A verdict that has run out stays as a suspicion for as long again.
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const bool was_convicted = record.counted() >= options_.ends_to_convict;
    return now >= record.last() + hold_of(record) * (was_convicted ? 2 : 1);
  });
}

}  // namespace pumicemast
