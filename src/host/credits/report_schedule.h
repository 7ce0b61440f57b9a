/// Decides when the gateways of the own zone, and of others, are told an engine's load.
///
/// A decision core: no I/O. Bytes between zones are dear, so that other zones hear of mere changes
/// of load less often; that an engine may be used, or no longer, is told to all at once.
#pragma once

#include "common/time.h"
#include "fleet/backend_record.h"

namespace pumicemast {

struct ReportScheduleOptions {
  /// Reports go out when something changed, and this often all the same.
  Duration refresh_interval = milliseconds(360);
  /// The same while there is work and room: credits that were not used are dealt anew.
  Duration credit_refresh_interval = milliseconds(100);
  /// Between two reports to other zones, unless the engine's use changes.
  Duration other_zones_interval = milliseconds(250);
};

/// Who is to get a report now.
struct ReportAudience {
  bool same_zone = false;    ///< Gateways of the own zone.
  bool other_zones = false;  ///< Those of other zones.
  bool any() const { return same_zone || other_zones; }
};

class ReportSchedule {
 public:
  explicit ReportSchedule(ReportScheduleOptions options = {}) : options_(options) {}

  /// Who is to be told `report`; it then counts as told to them.
  /// @param has_free_slots  the engine could take a further request.
  /// @param forced     everyone is to be told, whatever was told before.
  ReportAudience next(const LoadReport& report, bool has_free_slots, bool forced, TimePoint now);

 private:
  /// What an audience was last told.
  struct LastReport {
    LoadReport report;
    TimePoint at{};
  };
  bool same_zone_due(const LoadReport& report, Duration refresh_interval, TimePoint now) const;
  bool other_zones_due(const LoadReport& report, Duration refresh_interval, TimePoint now) const;

  ReportScheduleOptions options_;
  LastReport same_zone_;
  LastReport other_zones_;
};

}  // namespace pumicemast
