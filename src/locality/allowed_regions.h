/// The regions in which a request may run.
///
/// A pure value: no I/O.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pumicemast {

class AllowedRegions {
 public:
  /// Any region.
  AllowedRegions() = default;

  /// Applies a further restriction. Restrictions of the route and of the tenant both hold.
  /// @param regions  names of regions; empty for no restriction.
  void restrict_to(const std::vector<std::string>& regions);

  bool unrestricted() const { return !regions_; }
  bool contains(const std::string& region) const { return !regions_ || regions_->contains(region); }
  /// Requests with equal keys share the same capacity. Empty when unrestricted.
  std::string key() const;

 private:
  std::optional<std::set<std::string>> regions_;
};

}  // namespace pumicemast
