/// Lets a process apply only assignments that are not older than the newest one seen.
#pragma once

#include <cstdint>

namespace pumicemast {

/// Several entries send assignments independently; an entry that lags behind, or that lost contact
/// with the platform, must never bring an older configuration back into force.
class AssignmentGuard {
 public:
  /// @return whether an assignment of `revision` may take effect; remembers it if so.
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
