#include "gateway/backends/backend_permits.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// From the asking on. One that is used later would count into a window for which it was not
/// issued.
constexpr Duration kPermitLifetime = milliseconds(150);

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
  entry.asked_at = now;
  entry.call_due = true;
  ++counters_.asked;
}

void BackendPermits::on_answer(const PermitAnswer& answer, TimePoint now) {
  const auto found = entries_.find(answer.backend);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.asked_at == answer.asked_at) entry.asked_at.reset();
  if (!answer.granted) {
    ++counters_.denied;
    entry.wait_until = now + answer.retry_after;
    return;
  }
  ++counters_.granted;
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
    entry.to_return += static_cast<std::uint32_t>(entry.held_until.size());
    entry.held_until.clear();
  }
}

void BackendPermits::on_limit_changed(const std::string& backend) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) found->second.wait_until = TimePoint{};
}

std::vector<PermitCall> BackendPermits::take_calls(TimePoint now) {
  std::vector<PermitCall> calls;
  for (auto& [backend, entry] : entries_) {
    entry.to_return += static_cast<std::uint32_t>(
        std::erase_if(entry.held_until, [now](TimePoint until) { return now >= until; }));
    const bool asks = entry.call_due && awaits(entry, now);
    entry.call_due = false;
    if (!asks && entry.to_return == 0) continue;
    calls.push_back({backend, entry.asked_at.value_or(now), asks, entry.to_return});
    counters_.returned += entry.to_return;
    entry.to_return = 0;
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
