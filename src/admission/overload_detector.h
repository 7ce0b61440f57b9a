/// Detects that a service refuses requests that it could have answered in time.
///
/// A decision core: no I/O.
#pragma once

#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class OverloadDetector {
 public:
  /// A request of `service` was refused for lack of capacity although its answer could still have
  /// come in time.
  void on_avoidable_refusal(const std::string& service, TimePoint now) {
    last_refusal_[service] = now;
  }
  bool is_overloaded(const std::string& service, TimePoint now) const {
    const auto found = last_refusal_.find(service);
    return found != last_refusal_.end() && now - found->second < kOverloadMemory;
  }

 private:
  /// How long a refusal marks its service as overloaded. Long enough that a gateway which refuses a
  /// third of its requests counts as overloaded most of the time; short enough that callers who
  /// retry after a standstill are admitted again.
  static constexpr Duration kOverloadMemory = milliseconds(350);

  std::map<std::string, TimePoint> last_refusal_;
};

}  // namespace pumicemast
