#include "host/credits/report_schedule.h"

namespace pumicemast {
namespace {

/// Whether the engine may be used from now on, or no longer, or is to leave.
bool use_differs(const LoadReport& left, const LoadReport& right) {
  return left.alive != right.alive || left.busy != right.busy ||
         left.weight_version != right.weight_version ||
         left.leaves_in.has_value() != right.leaves_in.has_value();
}

bool load_differs(const LoadReport& left, const LoadReport& right) {
  return left.running != right.running || left.queued != right.queued || use_differs(left, right);
}

}  // namespace

bool ReportSchedule::near_due(const LoadReport& report, Duration lifetime, TimePoint now) const {
  return load_differs(report, near_.report) || now - near_.at >= lifetime;
}

bool ReportSchedule::far_due(const LoadReport& report, Duration lifetime, TimePoint now) const {
  if (use_differs(report, far_.report)) return true;
  const Duration since = now - far_.at;
  if (since < options_.far_interval) return false;
  return load_differs(report, far_.report) || since >= lifetime;
}

ReportAudience ReportSchedule::next(const LoadReport& report, bool room_left, bool forced,
                                    TimePoint now) {
  const bool deals = report.running > 0 && room_left;
  const Duration lifetime = deals ? options_.credit_lifetime : options_.lifetime;
  const ReportAudience audience{forced || near_due(report, lifetime, now),
                                forced || far_due(report, lifetime, now)};
  if (audience.near) near_ = {report, now};
  if (audience.far) far_ = {report, now};
  return audience;
}

}  // namespace pumicemast
