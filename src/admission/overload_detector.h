/// Detects that a service refuses requests that it could have answered in time.
///
/// A decision core: no I/O.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class OverloadDetector {
 public:
  /// A request of `service` was refused for lack of capacity although its answer could still have
  /// come in time.
  /// @param level  its priority level, 0 being the most urgent; the same for all requests of a
  ///               service that does not order them by priority.
  void on_avoidable_refusal(const std::string& service, int level, TimePoint now) {
    last_refusal_[service][level] = now;
  }
  /// Whether requests of the level or a more urgent one were refused recently. That less urgent
  /// ones are refused does not show a lack of capacity for this level.
  bool is_overloaded(const std::string& service, int level, TimePoint now) const {
    const auto found = last_refusal_.find(service);
    if (found == last_refusal_.end()) return false;
    return std::any_of(
        found->second.begin(), found->second.upper_bound(level),
        [now](const auto& refusal) { return now - refusal.second < kOverloadMemory; });
  }

 private:
  /// How long a refusal marks its service as overloaded. Long enough that a gateway which refuses a
  /// third of its requests counts as overloaded most of the time; short enough that callers who
  /// retry after a standstill are admitted again.
  static constexpr Duration kOverloadMemory = milliseconds(350);

  std::map<std::string, std::map<int, TimePoint>> last_refusal_;  ///< By service and level.
};

}  // namespace pumicemast
