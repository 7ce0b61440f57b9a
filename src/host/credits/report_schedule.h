/// Decides when the gateways of the agent's zone and of other zones get an engine's load report.
///
/// A decision core: no I/O. Traffic between zones is expensive, so that other zones get changes of
/// the load less often; changes of the engine's availability are reported to all gateways at once.
#pragma once

#include "common/time.h"
#include "fleet/backend_record.h"

namespace pumicemast {

struct ReportScheduleOptions {
  /// Interval after which a report is repeated without changes.
  Duration refresh_interval = milliseconds(360);
  /// The same while the engine has running requests and free slots: unused credits are reallocated.
  Duration credit_refresh_interval = milliseconds(100);
  /// Minimum time between two reports to other zones, unless the engine's availability changes.
  Duration other_zones_interval = milliseconds(250);
};

/// Gateways that get a report now.
struct ReportAudience {
  bool same_zone = false;    ///< Gateways of the agent's zone.
  bool other_zones = false;  ///< Gateways of other zones.
  bool any() const { return same_zone || other_zones; }
};

class ReportSchedule {
 public:
  explicit ReportSchedule(ReportScheduleOptions options = {}) : options_(options) {}

  /// A gateway has subscribed. The next report goes to all gateways; it is not sent at once,
  /// because after a common start hundreds of gateways subscribe within a second, and a report to
  /// all for each of them would saturate the links.
  void on_subscribed() { has_new_subscriber_ = true; }
  /// Decides which gateways get `report` and records it as sent to them.
  /// @param has_free_slots  the engine can accept another request.
  /// @param forced          all gateways get the report, whatever was sent before.
  ReportAudience next(const LoadReport& report, bool has_free_slots, bool forced, TimePoint now);

 private:
  struct LastReport {
    LoadReport report;
    TimePoint at{};
  };
  bool same_zone_due(const LoadReport& report, Duration refresh_interval, TimePoint now) const;
  bool other_zones_due(const LoadReport& report, Duration refresh_interval, TimePoint now) const;

  ReportScheduleOptions options_;
  bool has_new_subscriber_ = false;  ///< Since the last report.
  LastReport same_zone_;
  LastReport other_zones_;
};

}  // namespace pumicemast
