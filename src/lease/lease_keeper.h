/// Acquires, renews and gives up one lease that is kept in the platform's object API.
///
/// A decision core: no I/O. Safety rests on two rules. The holder counts its deadline from
/// the time at which it *sent* the write that succeeded, less a margin; followers count
/// expiry from the time at which they *saw* that write. A holder that was paused past its
/// deadline therefore stops acting; its orders still in flight are refused by their term, which
/// conditional updates and engines check as a fence.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/state_chart.h"
#include "common/time.h"
#include "configuration/object_store.h"

namespace pumicemast {

struct LeaseOptions {
  std::string id;
  std::string holder;  ///< Unique name of this process, with its incarnation.
  Duration ttl = seconds(5);
  Duration renew_interval = milliseconds(1500);
  /// Allowance for clock rates that differ and for the time between check and use.
  Duration safety_margin = milliseconds(500);
  /// Added to a follower's wait, different in each process, so that takeovers rarely race.
  Duration takeover_delay = Duration::zero();
};

/// Write `record` if the lease object still has version `expected`.
struct WriteLease {
  LeaseRecord record;
  ObjectVersion expected = 0;
};

class LeaseKeeper {
 public:
  LeaseKeeper(const StateChart& chart, LeaseOptions options);

  /// The lease object was read or a watch delivered it; null when it does not exist.
  void on_record(const LeaseRecord* record, ObjectVersion version, TimePoint now);
  /// The result of the last WriteLease; `version` is the new one when applied.
  void on_write_result(WriteOutcome outcome, ObjectVersion version, TimePoint now);
  /// Call several times per renew interval. At most one write is outstanding.
  std::optional<WriteLease> on_tick(TimePoint now);

  /// Whether this process may act as holder at `now`.
  bool holds(TimePoint now) const;
  /// Term of the lease while held; the fence of all decisions under it.
  std::uint64_t term() const { return record_.term; }
  const std::string& state() const { return state_; }
  /// Holder as last seen, "" when none was.
  const std::string& known_holder() const { return record_.holder; }

 private:
  void step(const char* event) { state_ = chart_.next(state_, event); }
  bool is_own(const LeaseRecord& record) const { return record.holder == options_.holder; }
  WriteLease prepare_write(std::uint64_t term, TimePoint now);

  const StateChart& chart_;
  LeaseOptions options_;
  std::string state_;
  LeaseRecord record_;         ///< As last seen or written.
  ObjectVersion version_ = 0;  ///< Version of record_.
  TimePoint version_seen_;     ///< When version_ was first seen.
  bool seen_any_ = false;
  std::optional<LeaseRecord> outstanding_;
  TimePoint outstanding_sent_;
  TimePoint held_from_;  ///< Send time of the last successful write.
  std::uint64_t attempts_ = 0;
};

}  // namespace pumicemast
