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
  Duration lifetime = milliseconds(360);
  /// The same while there is work and room: credits that were not used are dealt anew.
  Duration credit_lifetime = milliseconds(100);
  /// Between two reports to other zones, unless the engine's use changes.
  Duration far_interval = milliseconds(250);
};

/// Who is to get a report now.
struct ReportAudience {
  bool near = false;  ///< Gateways of the own zone.
  bool far = false;   ///< Those of other zones.
  bool anyone() const { return near || far; }
};

class ReportSchedule {
 public:
  explicit ReportSchedule(ReportScheduleOptions options = {}) : options_(options) {}

  /// Who is to be told `report`; it then counts as told to them.
  /// @param room_left  the engine could take a further request.
  /// @param forced     everyone is to be told, whatever was told before.
  ReportAudience next(const LoadReport& report, bool room_left, bool forced, TimePoint now);

 private:
  /// What an audience was last told.
  struct Told {
    LoadReport report;
    TimePoint at{};
  };
  bool near_due(const LoadReport& report, Duration lifetime, TimePoint now) const;
  bool far_due(const LoadReport& report, Duration lifetime, TimePoint now) const;

  ReportScheduleOptions options_;
  Told near_;
  Told far_;
};

}  // namespace pumicemast
