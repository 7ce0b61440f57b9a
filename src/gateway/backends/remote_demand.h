/// Decides whether the engines of other zones report their load to this gateway.
///
/// A decision core: no I/O. Reports of other zones' engines make up most of what crosses regions in
/// a calm fleet, and are of no use while the engines of the own zone have room. They are requested
/// when the own zone's room runs out.
#pragma once

#include <algorithm>
#include <cmath>

#include "common/time.h"

namespace pumicemast {

class RemoteDemand {
 public:
  /// Whether requests exist that may not run in the own region: they always need other zones.
  void set_required(bool required) { required_ = required; }
  /// @param credits  requests that may be sent to engines of the own zone before their next
  /// reports,
  ///                 for the engine service that has the fewest.
  /// @param requests_per_s  first attempts that arrive here.
  void on_own_zone_credits(std::uint32_t credits, double requests_per_s, TimePoint now) {
    const double arriving = std::ceil(requests_per_s * to_seconds(kWakeTime));
    if (credits < std::max(1.0, arriving)) needed_until_ = now + kHold;
  }
  /// No back end could take a request.
  void on_unmet_request(TimePoint now) { needed_until_ = now + kHold; }
  bool needed(TimePoint now) const { return required_ || now < needed_until_; }

 private:
  /// From the request for reports until they arrive with credits.
  static constexpr Duration kWakeTime = milliseconds(150);
  /// How long reports are requested after the own zone's room has run out.
  static constexpr Duration kHold = seconds(2);

  bool required_ = false;
  TimePoint needed_until_{};
};

}  // namespace pumicemast
