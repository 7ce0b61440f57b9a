/// Lets a process take over only newer assignments.
#pragma once

#include <cstdint>

namespace pumicemast {

/// Several entries send assignments, each at its own pace; one that lags behind, or that was
/// cut off from the platform, must never bring an older configuration back into force.
class AssignmentGuard {
 public:
  /// @return whether an assignment of `revision` may take effect, and if so remembers it.
  bool accept(std::uint64_t revision) {
    if (revision < highest_) {
      ++refused_;
      return false;
    }
    highest_ = revision;
    return true;
  }
  std::uint64_t highest() const { return highest_; }
  std::uint64_t refused() const { return refused_; }

 private:
  std::uint64_t highest_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace pumicemast
