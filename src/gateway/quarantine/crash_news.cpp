#include "gateway/quarantine/crash_news.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pumicemast {
namespace {

/// Entries a second, of about 40 bytes each to 8 gateways: 20 KB/s at most, of the 30 KB/s that a
/// node may use for control.
constexpr double kToldPerSecond = 64;
/// An engine of 16 slots ends under 16 requests: a dozen engines may end at once.
constexpr double kToldAtOnce = 200;
/// What waits; beyond it the least urgent is dropped. Other gateways miss single ends then, and
/// convict later.
constexpr std::size_t kWaiting = 4096;

}  // namespace

CrashNewsQueue::CrashNewsQueue() : bound_(kToldPerSecond, kToldAtOnce) {}

void CrashNewsQueue::add_end(const RequestFingerprint& request, const BackendEnd& end,
                             std::size_t ends_known) {
  const NewEnd entry{request, end, ends_known};
  const auto more_urgent = [](const NewEnd& left, const NewEnd& right) {
    return std::pair(left.ends_known, left.end.at) < std::pair(right.ends_known, right.end.at);
  };
  ends_.insert(std::upper_bound(ends_.begin(), ends_.end(), entry, more_urgent), entry);
  if (ends_.size() > kWaiting) ends_.erase(ends_.begin());
}

void CrashNewsQueue::add_acquittal(const RequestFingerprint& request, TimePoint at) {
  acquittals_.push_back({request, at});
  if (acquittals_.size() > kWaiting) acquittals_.erase(acquittals_.begin());
}

CrashNews CrashNewsQueue::take(TimePoint now) {
  CrashNews news;
  std::map<std::pair<std::uint64_t, TimePoint>, ToldCrash> by_end;
  while (!ends_.empty() && bound_.try_take(1, now)) {
    const NewEnd& entry = ends_.back();
    const auto [told, is_new] = by_end.try_emplace({entry.end.backend, entry.end.at});
    ToldCrash& crash = told->second;
    crash.backend = entry.end.backend;
    // An end may wait here twice, once with what was learnt of it later.
    crash.in_crowd = crash.in_crowd || entry.end.in_crowd;
    crash.by_newcomer = entry.end.by_newcomer && (is_new || crash.by_newcomer);
    crash.age = std::max(Duration::zero(), now - entry.end.at);
    crash.requests.push_back(entry.request);
    ends_.pop_back();
  }
  for (auto& [end, crash] : by_end) news.crashes.push_back(std::move(crash));
  while (!acquittals_.empty() && bound_.try_take(1, now)) {
    const NewAcquittal& entry = acquittals_.back();
    news.acquittals.push_back({entry.request, std::max(Duration::zero(), now - entry.at)});
    acquittals_.pop_back();
  }
  return news;
}

}  // namespace pumicemast
