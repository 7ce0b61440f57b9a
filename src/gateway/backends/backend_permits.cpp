#include "gateway/backends/backend_permits.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Time from the request for a permit until it expires. A permit used later would fall into a
/// window of the limit for which it was not issued.
constexpr Duration kPermitLifetime = milliseconds(150);
/// How long an unused permit is reported to the issuer, from its request on.
constexpr Duration kReturnRetention = seconds(3);

}  // namespace

bool BackendPermits::awaiting_answer(const Entry& entry, TimePoint now) {
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

bool BackendPermits::can_request(const std::string& backend, TimePoint now) const {
  const auto found = entries_.find(backend);
  if (found == entries_.end()) return true;
  const Entry& entry = found->second;
  return !awaiting_answer(entry, now) && now >= entry.denied_until && count_held(entry, now) == 0;
}

std::size_t BackendPermits::outstanding(TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [backend, entry] : entries_) {
    count += count_held(entry, now) + (awaiting_answer(entry, now) ? 1 : 0);
  }
  return count;
}

void BackendPermits::request(const std::string& backend, TimePoint now) {
  Entry& entry = entries_[backend];
  abandon_request(entry);
  entry.asked_at = now;
  entry.request_due = true;
  ++counters_.asked;
}

void BackendPermits::on_answer(const PermitAnswer& answer, TimePoint now) {
  const auto found = entries_.find(answer.backend);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  std::erase_if(entry.unused_permits, [&](const UnusedPermit& permit) {
    return permit.reported_in && *permit.reported_in <= answer.asked_at;
  });
  const bool was_abandoned = entry.asked_at != answer.asked_at;
  if (!was_abandoned) entry.asked_at.reset();
  if (!answer.granted) {
    ++counters_.denied;
    entry.denied_until = now + answer.retry_after;
    return;
  }
  ++counters_.granted;
  if (was_abandoned) return;  // The permit was returned when its request was abandoned.
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
    for (const TimePoint until : entry.held_until) queue_return(entry, until);
    entry.held_until.clear();
  }
}

void BackendPermits::on_limit_changed(const std::string& backend) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) found->second.denied_until = TimePoint{};
}

void BackendPermits::abandon_request(Entry& entry) {
  if (!entry.asked_at) return;
  entry.unused_permits.push_back({*entry.asked_at, {}});
  entry.asked_at.reset();
}

void BackendPermits::queue_return(Entry& entry, TimePoint held_until) {
  ++entry.unreported_returns;
  entry.unused_permits.push_back({held_until - kPermitLifetime, {}});
}

PermitMessage BackendPermits::make_message(const std::string& backend, Entry& entry,
                                           bool requests_permit, TimePoint now) {
  std::erase_if(entry.unused_permits, [now](const UnusedPermit& permit) {
    return now - permit.asked_at > kReturnRetention;
  });
  PermitMessage message{
      backend, entry.asked_at.value_or(now), requests_permit, entry.unreported_returns, {}};
  for (UnusedPermit& permit : entry.unused_permits) {
    if (requests_permit) permit.reported_in = message.asked_at;
    message.given_back.push_back(permit.asked_at);
  }
  entry.unreported_returns = 0;
  return message;
}

std::vector<PermitMessage> BackendPermits::take_messages(TimePoint now) {
  std::vector<PermitMessage> messages;
  for (auto& [backend, entry] : entries_) {
    for (const TimePoint until : entry.held_until) {
      if (now >= until) queue_return(entry, until);
    }
    std::erase_if(entry.held_until, [now](TimePoint until) { return now >= until; });
    const bool requests_permit = entry.request_due && awaiting_answer(entry, now);
    entry.request_due = false;
    if (!requests_permit && entry.unreported_returns == 0) continue;
    messages.push_back(make_message(backend, entry, requests_permit, now));
    counters_.returned += messages.back().returned;
  }
  return messages;
}

bool BackendPermits::active() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    const Entry& entry = item.second;
    return entry.request_due || entry.unreported_returns > 0 || !entry.held_until.empty();
  });
}

}  // namespace pumicemast
