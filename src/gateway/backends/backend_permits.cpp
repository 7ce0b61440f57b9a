#include "gateway/backends/backend_permits.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// From the asking on. One that is used later would count into a window for which it was not
/// issued.
constexpr Duration kPermitLifetime = milliseconds(150);
/// What was given back longer ago is told no more.
constexpr Duration kGivenBackMemory = seconds(3);

}  // namespace

bool BackendPermits::awaits(const Entry& entry, TimePoint now) {
  return entry.asked_at && now < *entry.asked_at + kPermitLifetime;
}

std::size_t BackendPermits::count_held(const Entry& entry, TimePoint now) {
  return static_cast<std::size_t>(std::count_if(entry.held_until.begin(), entry.held_until.end(),
                                                [now](TimePoint until) { return now < until; }));
}

bool BackendPermits::held(const std::string& backend, TimePoint now) const {
  const auto found = entries_.find(backend);
  return found != entries_.end() && count_held(found->second, now) > 0;
}

bool BackendPermits::askable(const std::string& backend, TimePoint now) const {
  const auto found = entries_.find(backend);
  if (found == entries_.end()) return true;
  const Entry& entry = found->second;
  return !awaits(entry, now) && now >= entry.wait_until && count_held(entry, now) == 0;
}

std::size_t BackendPermits::open(TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [backend, entry] : entries_) {
    count += count_held(entry, now) + (awaits(entry, now) ? 1 : 0);
  }
  return count;
}

void BackendPermits::ask(const std::string& backend, TimePoint now) {
  Entry& entry = entries_[backend];
  give_up(entry);
  entry.asked_at = now;
  entry.call_due = true;
  ++counters_.asked;
}

void BackendPermits::on_answer(const PermitAnswer& answer, TimePoint now) {
  const auto found = entries_.find(answer.backend);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  std::erase_if(entry.given_back, [&](const GivenBack& given) {
    return given.told_by && *given.told_by <= answer.asked_at;
  });
  const bool was_given_up = entry.asked_at != answer.asked_at;
  if (!was_given_up) entry.asked_at.reset();
  if (!answer.granted) {
    ++counters_.denied;
    entry.wait_until = now + answer.retry_after;
    return;
  }
  ++counters_.granted;
  if (was_given_up) return;  // It was given back with its asking.
  entry.held_until.push_back(answer.asked_at + kPermitLifetime);
}

void BackendPermits::use(const std::string& backend, TimePoint now) {
  const auto found = entries_.find(backend);
  if (found == entries_.end()) return;
  std::deque<TimePoint>& held = found->second.held_until;
  const auto valid =
      std::find_if(held.begin(), held.end(), [now](TimePoint until) { return now < until; });
  if (valid == held.end()) return;
  held.erase(valid);
  ++counters_.used;
}

void BackendPermits::release_unused() {
  for (auto& [backend, entry] : entries_) {
    for (const TimePoint until : entry.held_until) give_back(entry, until);
    entry.held_until.clear();
  }
}

void BackendPermits::on_limit_changed(const std::string& backend) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) found->second.wait_until = TimePoint{};
}

void BackendPermits::give_up(Entry& entry) {
  if (!entry.asked_at) return;
  entry.given_back.push_back({*entry.asked_at, {}});
  entry.asked_at.reset();
}

void BackendPermits::give_back(Entry& entry, TimePoint held_until) {
  ++entry.to_return;
  entry.given_back.push_back({held_until - kPermitLifetime, {}});
}

PermitCall BackendPermits::make_call(const std::string& backend, Entry& entry, bool asks,
                                     TimePoint now) {
  std::erase_if(entry.given_back,
                [now](const GivenBack& given) { return now - given.asked_at > kGivenBackMemory; });
  PermitCall call{backend, entry.asked_at.value_or(now), asks, entry.to_return, {}};
  for (GivenBack& given : entry.given_back) {
    if (asks) given.told_by = call.asked_at;
    call.given_back.push_back(given.asked_at);
  }
  entry.to_return = 0;
  return call;
}

std::vector<PermitCall> BackendPermits::take_calls(TimePoint now) {
  std::vector<PermitCall> calls;
  for (auto& [backend, entry] : entries_) {
    for (const TimePoint until : entry.held_until) {
      if (now >= until) give_back(entry, until);
    }
    std::erase_if(entry.held_until, [now](TimePoint until) { return now >= until; });
    const bool asks = entry.call_due && awaits(entry, now);
    entry.call_due = false;
    if (!asks && entry.to_return == 0) continue;
    calls.push_back(make_call(backend, entry, asks, now));
    counters_.returned += calls.back().returned;
  }
  return calls;
}

bool BackendPermits::active() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    const Entry& entry = item.second;
    return entry.call_due || entry.to_return > 0 || !entry.held_until.empty();
  });
}

}  // namespace pumicemast
