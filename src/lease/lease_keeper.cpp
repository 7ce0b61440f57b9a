#include "lease/lease_keeper.h"

#include <cassert>

namespace pumicemast {

LeaseKeeper::LeaseKeeper(const StateChart& chart, LeaseOptions options)
    : chart_(chart), options_(std::move(options)), state_(chart.initial()) {
  assert(options_.safety_margin < options_.ttl);
  record_.id = options_.id;
}

bool LeaseKeeper::holds(TimePoint now) const {
  const bool holding = state_ == "HOLDING" || state_ == "RENEWING";
  return holding && now < held_from_ + options_.ttl - options_.safety_margin;
}

void LeaseKeeper::on_record(const LeaseRecord* record, ObjectVersion version, TimePoint now) {
  if (seen_any_ && version < version_) return;
  if (!seen_any_ || version != version_) version_seen_ = now;
  seen_any_ = true;
  version_ = version;
  if (record == nullptr) {
    record_ = LeaseRecord{};
    record_.id = options_.id;
    return;
  }
  const bool was_outstanding = outstanding_ && record->attempt == outstanding_->attempt;
  record_ = *record;
  if (was_outstanding) {
    // This process's own write took effect although its response is late or lost.
    held_from_ = outstanding_sent_;
    outstanding_.reset();
    if (state_ == "FOLLOWING") step("expired");
    step("write_applied");
    return;
  }
  const bool holding = state_ == "HOLDING" || state_ == "RENEWING";
  if (holding && !is_own(*record)) {
    outstanding_.reset();
    if (state_ == "HOLDING") step("renew_due");
    step("write_conflict");
  }
}

void LeaseKeeper::on_write_result(WriteOutcome outcome, ObjectVersion version, TimePoint now) {
  if (!outstanding_) return;  // Already settled by a watch event.
  switch (outcome) {
    case WriteOutcome::applied:
      record_ = *outstanding_;
      version_ = version;
      version_seen_ = now;
      held_from_ = outstanding_sent_;
      outstanding_.reset();
      step("write_applied");
      return;
    case WriteOutcome::conflict:
      outstanding_.reset();
      step("write_conflict");
      return;
    case WriteOutcome::not_applied:
      outstanding_.reset();
      step("write_unknown");
      return;
    case WriteOutcome::unknown:
      // Kept as outstanding: the watch may still show that it was applied.
      step("write_unknown");
      return;
  }
}

WriteLease LeaseKeeper::prepare_write(std::uint64_t term, TimePoint now) {
  LeaseRecord record;
  record.id = options_.id;
  record.holder = options_.holder;
  record.attempt = options_.holder + "#" + std::to_string(++attempts_);
  record.term = term;
  record.ttl_ms = static_cast<std::uint32_t>(to_milliseconds(options_.ttl));
  outstanding_ = record;
  outstanding_sent_ = now;
  return {record, version_};
}

std::optional<WriteLease> LeaseKeeper::on_tick(TimePoint now) {
  const bool holding = state_ == "HOLDING" || state_ == "RENEWING";
  if (holding && !holds(now)) {
    outstanding_.reset();
    step("deadline_passed");
    version_seen_ = now;  // Competes again only after a full wait, like any follower.
    return std::nullopt;
  }
  if (state_ == "HOLDING" && now >= outstanding_sent_ + options_.renew_interval) {
    step("renew_due");
    return prepare_write(record_.term, now);
  }
  if (state_ != "FOLLOWING" || !seen_any_) return std::nullopt;
  const bool vacant = record_.holder.empty();
  const Duration wait = vacant ? options_.takeover_delay : options_.ttl + options_.takeover_delay;
  if (now < version_seen_ + wait) return std::nullopt;
  if (outstanding_ && now < outstanding_sent_ + options_.ttl) return std::nullopt;
  step("expired");
  return prepare_write(record_.term + 1, now);
}

}  // namespace pumicemast
