#include "gateway/quarantine/crash_update.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace pumicemast {
namespace {

/// Entries sent per second. At about 40 bytes each, to 8 gateways, this is at most 20 KB/s of the
/// 30 KB/s that a node may use for control traffic.
constexpr double kEntriesPerSecond = 64;
/// Entries that may be sent at once. An engine with 16 slots crashes under 16 requests, so this is
/// enough for a dozen engines that crash at the same time.
constexpr double kEntryBurst = 200;
/// Bounds each queue. Beyond it, the least urgent crash or the oldest completion is dropped: other
/// gateways then miss single crashes and quarantine a request later.
constexpr std::size_t kMaximumQueuedEntries = 4096;

}  // namespace

CrashUpdateQueue::CrashUpdateQueue() : bucket_(kEntriesPerSecond, kEntryBurst) {}

void CrashUpdateQueue::add_crash(const CrashSuspect& suspect, const CrashEvent& event,
                                 std::size_t known_crashes) {
  const QueuedCrash entry{suspect, event, known_crashes};
  const auto more_urgent = [](const QueuedCrash& left, const QueuedCrash& right) {
    return std::pair(left.known_crashes, left.event.at) <
           std::pair(right.known_crashes, right.event.at);
  };
  crashes_.insert(std::upper_bound(crashes_.begin(), crashes_.end(), entry, more_urgent), entry);
  if (crashes_.size() > kMaximumQueuedEntries) crashes_.erase(crashes_.begin());
}

void CrashUpdateQueue::add_completion(const CrashSuspect& suspect, TimePoint at) {
  completions_.push_back({suspect, at});
  if (completions_.size() > kMaximumQueuedEntries) completions_.erase(completions_.begin());
}

CrashUpdate CrashUpdateQueue::take(TimePoint now) {
  CrashUpdate update;
  std::map<std::tuple<std::uint64_t, TimePoint, SuspectKind>, ReportedCrash> by_event;
  while (!crashes_.empty() && bucket_.try_take(1, now)) {
    const QueuedCrash& entry = crashes_.back();
    const auto [reported, inserted] =
        by_event.try_emplace({entry.event.backend, entry.event.at, entry.suspect.kind});
    ReportedCrash& crash = reported->second;
    crash.kind = entry.suspect.kind;
    crash.backend = entry.event.backend;
    // A crash may be queued twice, the second time with what was learned about it later.
    crash.in_burst = crash.in_burst || entry.event.in_burst;
    crash.observer_warming_up =
        entry.event.observer_warming_up && (inserted || crash.observer_warming_up);
    crash.age = std::max(Duration::zero(), now - entry.event.at);
    crash.requests.push_back(entry.suspect.fingerprint);
    if (crash.kind == SuspectKind::prompt_part) crash.carriers.push_back(entry.event.carrier);
    crashes_.pop_back();
  }
  for (auto& [event, crash] : by_event) update.crashes.push_back(std::move(crash));
  while (!completions_.empty() && bucket_.try_take(1, now)) {
    const QueuedCompletion& entry = completions_.back();
    update.completions.push_back({entry.suspect, std::max(Duration::zero(), now - entry.at)});
    completions_.pop_back();
  }
  return update;
}

}  // namespace pumicemast
