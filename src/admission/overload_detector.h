/// Whether a service turns away requests that it could have answered in time.
///
/// A decision core: no I/O.
#pragma once

#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class OverloadWatch {
 public:
  /// A request of `service` that could have been answered in time found no room.
  void on_turned_away(const std::string& service, TimePoint now) { turned_away_[service] = now; }
  bool overloaded(const std::string& service, TimePoint now) const {
    const auto found = turned_away_.find(service);
    return found != turned_away_.end() && now - found->second < kRecent;
  }

 private:
  /// Long enough for a gateway that refuses a third of its requests to be seen as overloaded most
  /// of the time; short enough that callers who come back after a standstill find room again.
  static constexpr Duration kRecent = milliseconds(350);

  std::map<std::string, TimePoint> turned_away_;
};

}  // namespace pumicemast
