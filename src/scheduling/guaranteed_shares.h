/// Keeps a minimum part of a contended resource for groups that a strict order would starve.
///
/// A decision core: no I/O. A group that asks for a part of all that is asked for is guaranteed a
/// fraction of that part of all grants, up to a limit; what it does not use goes to the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"

namespace pumicemast {

class GuaranteedShares {
 public:
  using Group = std::uint64_t;

  struct Options {
    /// Part of its proportional share that each group is guaranteed.
    double guaranteed_fraction = 0.5;
    /// Weights of past requests and grants fall by half in this time.
    Duration half_life = seconds(2);
    /// Bounds the memory; further groups share one account.
    std::size_t maximum_groups = 1024;
    /// A group that asks for more than this part of all is guaranteed no more than for this part,
    /// so that asking for more takes nothing from the others.
    double large_part = 1.0 / 3;
    /// At least this fraction of its part is guaranteed to a large group: somewhat more than the
    /// quarter that each group must be served relative to all.
    double large_fraction = 0.28;
  };

  explicit GuaranteedShares(Options options);

  /// Records that the group asked for one unit.
  void on_requested(Group group, TimePoint now);
  /// Records that the group got one unit.
  void on_granted(Group group, TimePoint now);
  /// Records that the group has not used a unit that it got recently.
  void on_returned(Group group, TimePoint now);
  /// The group of `waiting` that is furthest below its guaranteed share; empty if all have theirs.
  std::optional<Group> most_deprived(const std::vector<Group>& waiting, TimePoint now) const;
  /// Part of all grants that the group is guaranteed at the current requests, from 0 to 1.
  double guaranteed_part(Group group, TimePoint now) const;
  /// Recent grants to the group; comparable among groups at the same time.
  double recent_grants(Group group, TimePoint now) const;
  /// Whether the group recently got more than the mean of the groups that asked for something.
  bool above_mean(Group group, TimePoint now) const;
  /// Drops groups without recent requests. Call periodically: bounds the memory.
  void sweep(TimePoint now);
  std::size_t size() const { return groups_.size(); }

 private:
  /// Weights at `weighed_at_`. An event at a later time is added with the weight that has fallen to
  /// one by that time, so that events need not decay all groups.
  struct Usage {
    double requested = 0;
    double granted = 0;
  };
  /// The account of the group: its own, or the shared one if there are too many groups.
  Group account_of(Group group) const;
  /// Part of all grants that is guaranteed to a group with this part of all requests.
  double guaranteed(double part) const;
  /// The weight of one unit at `now`.
  double unit(TimePoint now) const;
  /// Scales the weights back before they become too large.
  void scale_back(TimePoint now);
  Usage usage_of(Group group, TimePoint now) const;
  Usage total(TimePoint now) const;

  Options options_;
  std::map<Group, Usage> groups_;
  Usage total_;  ///< Sum over `groups_`.
  TimePoint weighed_at_{};
};

}  // namespace pumicemast
