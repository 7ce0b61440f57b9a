#include "host/credits/report_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class ReportScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportScheduleTest);
  CPPUNIT_TEST(a_change_of_load_is_told_nearby_at_once_and_far_away_later);
  CPPUNIT_TEST(that_an_engine_may_no_longer_be_used_is_told_to_all_at_once);
  CPPUNIT_TEST(without_changes_reports_are_repeated_before_they_are_too_old);
  CPPUNIT_TEST(unused_credits_are_dealt_anew_nearby);
  CPPUNIT_TEST(a_change_that_other_zones_missed_reaches_them_without_a_further_one);
  CPPUNIT_TEST(a_forced_report_goes_to_all);
  CPPUNIT_TEST_SUITE_END();

  ReportScheduleOptions options;
  ReportSchedule schedule{options};
  LoadReport report;
  TimePoint now = TimePoint(seconds(100));

  ReportAudience next(bool room_left = false, bool forced = false) {
    return schedule.next(report, room_left, forced, now);
  }

 public:
  void setUp() override {
    report.alive = true;
    report.weight_version = 1;
    report.running = 3;
    next();
  }

  void a_change_of_load_is_told_nearby_at_once_and_far_away_later() {
    now += milliseconds(50);
    report.running = 4;
    ReportAudience audience = next();
    CPPUNIT_ASSERT(audience.near && !audience.far);
    now += options.far_interval;
    report.running = 5;
    audience = next();
    CPPUNIT_ASSERT(audience.near && audience.far);
  }

  void that_an_engine_may_no_longer_be_used_is_told_to_all_at_once() {
    now += milliseconds(1);
    report.busy = true;
    CPPUNIT_ASSERT(next().far);
    now += milliseconds(1);
    report.busy = false;
    report.weight_version = 2;
    CPPUNIT_ASSERT(next().far);
    now += milliseconds(1);
    report.leaves_in = seconds(2);
    CPPUNIT_ASSERT(next().far);
    now += milliseconds(1);
    report.leaves_in = seconds(1);
    CPPUNIT_ASSERT(!next().anyone());
  }

  void without_changes_reports_are_repeated_before_they_are_too_old() {
    now += options.lifetime - milliseconds(1);
    CPPUNIT_ASSERT(!next().anyone());
    now += milliseconds(1);
    const ReportAudience audience = next();
    CPPUNIT_ASSERT(audience.near && audience.far);
  }

  void unused_credits_are_dealt_anew_nearby() {
    now += options.credit_lifetime;
    CPPUNIT_ASSERT(!next(false).anyone());
    const ReportAudience audience = next(true);
    CPPUNIT_ASSERT(audience.near && !audience.far);
  }

  void a_change_that_other_zones_missed_reaches_them_without_a_further_one() {
    now += milliseconds(50);
    report.running = 4;
    CPPUNIT_ASSERT(!next().far);
    now += options.far_interval;
    CPPUNIT_ASSERT(next().far);
  }

  void a_forced_report_goes_to_all() {
    const ReportAudience audience = next(false, true);
    CPPUNIT_ASSERT(audience.near && audience.far);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportScheduleTest);

}  // namespace pumicemast
