#include "host/credits/report_schedule.h"

#include <utility>

namespace pumicemast {
namespace {

/// Whether the engine became available or unavailable, or its departure was scheduled or cancelled.
bool availability_changed(const LoadReport& report, const LoadReport& previous) {
  return report.alive != previous.alive || report.busy != previous.busy ||
         report.leaving != previous.leaving || report.weight_version != previous.weight_version ||
         report.leaves_in.has_value() != previous.leaves_in.has_value();
}

bool load_changed(const LoadReport& report, const LoadReport& previous) {
  return report.running != previous.running || report.queued != previous.queued ||
         (report.slot_requests > 0) != (previous.slot_requests > 0) ||
         availability_changed(report, previous);
}

}  // namespace

bool ReportSchedule::same_zone_due(const LoadReport& report, Duration refresh_interval,
                                   TimePoint now) const {
  return load_changed(report, same_zone_.report) || now - same_zone_.at >= refresh_interval;
}

bool ReportSchedule::other_zones_due(const LoadReport& report, Duration refresh_interval,
                                     TimePoint now) const {
  if (availability_changed(report, other_zones_.report)) return true;
  const Duration since = now - other_zones_.at;
  if (since < options_.other_zones_interval) return false;
  return load_changed(report, other_zones_.report) || since >= refresh_interval;
}

ReportAudience ReportSchedule::next(const LoadReport& report, bool has_free_slots, bool forced,
                                    TimePoint now) {
  forced = std::exchange(has_new_subscriber_, false) || forced;
  const bool refreshes_credits = report.running > 0 && has_free_slots;
  const Duration refresh_interval =
      refreshes_credits ? options_.credit_refresh_interval : options_.refresh_interval;
  const ReportAudience audience{forced || same_zone_due(report, refresh_interval, now),
                                forced || other_zones_due(report, refresh_interval, now)};
  if (audience.same_zone) same_zone_ = {report, now};
  if (audience.other_zones) other_zones_ = {report, now};
  return audience;
}

}  // namespace pumicemast
