/// Keeps a minimum part of a contended resource for groups that a strict order would starve.
///
/// A decision core: no I/O. A group that asks for a part x of all that is asked for is guaranteed
/// a fraction of x of all grants; what it does not use goes to the others.
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
  };

  explicit GuaranteedShares(Options options);

  /// Records that the group asked for one unit.
  void on_requested(Group group, TimePoint now);
  /// Records that the group got one unit.
  void on_granted(Group group, TimePoint now);
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
  struct Usage {
    double requested = 0;
    double granted = 0;
    TimePoint at{};
  };
  Usage decayed(const Usage& usage, TimePoint now) const;
  Usage usage_of(Group group, TimePoint now) const;
  Usage total(TimePoint now) const;

  Options options_;
  std::map<Group, Usage> groups_;
  /// Of all groups. All usages fall alike, so that the sum needs no pass over the groups.
  Usage total_;
};

}  // namespace pumicemast
