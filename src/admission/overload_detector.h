/// Whether a service turns away requests that it could have answered in time.
///
/// A decision core: no I/O.
#pragma once

#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class OverloadDetector {
 public:
  /// A request of `service` that could have been answered in time found no room.
  void on_avoidable_refusal(const std::string& service, TimePoint now) {
    last_refusal_[service] = now;
  }
  bool overloaded(const std::string& service, TimePoint now) const {
    const auto found = last_refusal_.find(service);
    return found != last_refusal_.end() && now - found->second < kOverloadMemory;
  }

 private:
  /// Long enough for a gateway that refuses a third of its requests to be seen as overloaded most
  /// of the time; short enough that callers who come back after a standstill find room again.
  static constexpr Duration kOverloadMemory = milliseconds(350);

  std::map<std::string, TimePoint> last_refusal_;
};

}  // namespace pumicemast
