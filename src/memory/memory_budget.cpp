#include "memory/memory_budget.h"

namespace pumicemast {
namespace {

/// A response is held back when its caller has more than this unread, and read again when half of
/// it has been read.
constexpr std::size_t kUnreadLimit = 256U * 1024U;
/// The same above the first threshold.
constexpr std::size_t kUnreadLimitWhenFull = 32U * 1024U;
/// First threshold, as a fraction of the budget. The rest is for requests in progress.
constexpr double kFullFraction = 0.75;
/// The level falls to normal below this fraction, so that it does not alternate at the threshold.
constexpr double kNormalFraction = 0.65;
/// Share of the budget for input without an admitted request. The rest stays for callers whose
/// requests are complete.
constexpr double kUnadmittedFraction = 0.375;
/// The body is kept for retries, and a copy of it waits until the back end has read it.
constexpr std::size_t kCopiesOfBody = 2;

std::size_t fraction_of(std::size_t bytes, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

}  // namespace

const char* to_string(MemoryLevel level) {
  switch (level) {
    case MemoryLevel::normal:
      return "NORMAL";
    case MemoryLevel::full:
      return "FULL";
    case MemoryLevel::exceeded:
      return "EXCEEDED";
  }
  return "UNKNOWN";
}

void MemoryBudget::add(const CallerMemory& memory) {
  held_.request_head += memory.held.request_head;
  held_.request_body += memory.held.request_body;
  held_.unread_response += memory.held.unread_response;
  held_.unsent_request += memory.held.unsent_request;
  promised_ += memory.promised;
  unadmitted_input_ += memory.unadmitted_input;
}

void MemoryBudget::subtract(const CallerMemory& memory) {
  held_.request_head -= memory.held.request_head;
  held_.request_body -= memory.held.request_body;
  held_.unread_response -= memory.held.unread_response;
  held_.unsent_request -= memory.held.unsent_request;
  promised_ -= memory.promised;
  unadmitted_input_ -= memory.unadmitted_input;
}

void MemoryBudget::update(CallerNumber number, const CallerMemory& memory, TimePoint now) {
  if (memory.held.total() == 0 && memory.promised == 0) {
    remove(number);
    return;
  }
  Caller& caller = callers_[number];
  subtract(caller.memory);
  caller.memory = memory;
  add(memory);
  update_mark(caller, now);
  update_unadmitted(number, caller, now);
  update_level();
  const std::size_t limit = unread_limit();
  if (memory.queued_response > limit) caller.held_back = true;
  if (memory.queued_response <= limit / 2) caller.held_back = false;
}

void MemoryBudget::update_mark(Caller& caller, TimePoint now) {
  const CallerMemory& memory = caller.memory;
  if (memory.queued_response == 0) {
    caller.mark = 0;
  } else if (caller.mark == 0 || memory.response_read >= caller.mark) {
    caller.mark = memory.response_read + memory.queued_response;
    caller.unread_since = now;
  }
}

void MemoryBudget::update_unadmitted(CallerNumber number, Caller& caller, TimePoint now) {
  const bool has_input = caller.memory.unadmitted_input > 0;
  if (has_input == caller.unadmitted_since.has_value()) return;
  if (has_input) {
    caller.unadmitted_since = now;
    unadmitted_.emplace(now, number);
  } else {
    unadmitted_.erase({*caller.unadmitted_since, number});
    caller.unadmitted_since.reset();
  }
}

void MemoryBudget::remove(CallerNumber number) {
  const auto found = callers_.find(number);
  if (found == callers_.end()) return;
  subtract(found->second.memory);
  if (found->second.unadmitted_since) unadmitted_.erase({*found->second.unadmitted_since, number});
  callers_.erase(found);
  update_level();
}

void MemoryBudget::update_level() {
  const std::size_t committed = held_.total() + promised_;
  const double threshold = level_ == MemoryLevel::normal ? kFullFraction : kNormalFraction;
  if (held_.total() > budget_) {
    level_ = MemoryLevel::exceeded;
  } else {
    level_ = committed > fraction_of(budget_, threshold) ? MemoryLevel::full : MemoryLevel::normal;
  }
}

std::size_t MemoryBudget::unread_limit() const {
  switch (level_) {
    case MemoryLevel::normal:
      return kUnreadLimit;
    case MemoryLevel::full:
      return kUnreadLimitWhenFull;
    case MemoryLevel::exceeded:
      return 0;
  }
  return 0;
}

bool MemoryBudget::admits_body(std::size_t bytes) const {
  if (bytes <= kSmallBodyBytes) return true;
  if (level_ != MemoryLevel::normal) return false;
  return held_.total() + promised_ + kCopiesOfBody * bytes <= budget_;
}

bool MemoryBudget::admits_request(std::size_t bytes) const {
  if (bytes <= kSmallRequestBytes) return true;
  return level_ != MemoryLevel::exceeded && admits_body(bytes);
}

std::optional<CallerNumber> MemoryBudget::next_to_drop_input() const {
  if (unadmitted_.empty()) return std::nullopt;
  const bool over_share = unadmitted_input_ > fraction_of(budget_, kUnadmittedFraction);
  if (!over_share && level_ != MemoryLevel::exceeded) return std::nullopt;
  return unadmitted_.begin()->second;
}

bool MemoryBudget::holds_back(CallerNumber number) const {
  const auto found = callers_.find(number);
  return found != callers_.end() && found->second.held_back;
}

bool MemoryBudget::reads_slowly(CallerNumber number, TimePoint now) const {
  const auto found = callers_.find(number);
  if (found == callers_.end() || found->second.mark == 0) return false;
  return now - found->second.unread_since > kReadsInTime;
}

std::optional<CallerNumber> MemoryBudget::next_to_cut_off(TimePoint now) const {
  if (level_ != MemoryLevel::exceeded) return std::nullopt;
  std::optional<CallerNumber> slowest;
  TimePoint oldest = now - kReadsInTime;
  for (const auto& [number, caller] : callers_) {
    if (caller.mark == 0 || caller.unread_since >= oldest) continue;
    oldest = caller.unread_since;
    slowest = number;
  }
  return slowest;
}

}  // namespace pumicemast
