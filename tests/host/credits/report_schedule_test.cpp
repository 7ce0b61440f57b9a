#include "host/credits/report_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class ReportScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportScheduleTest);
  CPPUNIT_TEST(a_load_change_is_reported_at_once_to_the_same_zone_and_later_to_others);
  CPPUNIT_TEST(an_availability_change_is_reported_at_once_to_all_zones);
  CPPUNIT_TEST(unchanged_reports_are_repeated_before_they_expire);
  CPPUNIT_TEST(unused_credits_are_reallocated_in_the_same_zone);
  CPPUNIT_TEST(a_deferred_change_reaches_other_zones_without_another_change);
  CPPUNIT_TEST(a_forced_report_goes_to_all);
  CPPUNIT_TEST(many_new_subscribers_cause_one_report_to_all);
  CPPUNIT_TEST_SUITE_END();

  ReportScheduleOptions options;
  ReportSchedule schedule{options};
  LoadReport report;
  TimePoint now = TimePoint(seconds(100));

  ReportAudience next(bool has_free_slots = false, bool forced = false) {
    return schedule.next(report, has_free_slots, forced, now);
  }

 public:
  void setUp() override {
    report.alive = true;
    report.weight_version = 1;
    report.running = 3;
    next();
  }

  // After a common start each of 141 subscriptions caused a report to all subscribers: 20,000
  // reports of one agent within seconds.
  void many_new_subscribers_cause_one_report_to_all() {
    now += milliseconds(50);
    for (int count = 0; count < 141; ++count) schedule.on_subscribed();
    const ReportAudience audience = next();
    CPPUNIT_ASSERT(audience.same_zone && audience.other_zones);
    CPPUNIT_ASSERT(!next().any());
  }

  void a_load_change_is_reported_at_once_to_the_same_zone_and_later_to_others() {
    now += milliseconds(50);
    report.running = 4;
    ReportAudience audience = next();
    CPPUNIT_ASSERT(audience.same_zone && !audience.other_zones);
    now += options.other_zones_interval;
    report.running = 5;
    audience = next();
    CPPUNIT_ASSERT(audience.same_zone && audience.other_zones);
  }

  void an_availability_change_is_reported_at_once_to_all_zones() {
    now += milliseconds(1);
    report.busy = true;
    CPPUNIT_ASSERT(next().other_zones);
    now += milliseconds(1);
    report.busy = false;
    report.weight_version = 2;
    CPPUNIT_ASSERT(next().other_zones);
    now += milliseconds(1);
    report.leaves_in = seconds(2);
    CPPUNIT_ASSERT(next().other_zones);
    now += milliseconds(1);
    report.leaves_in = seconds(1);
    CPPUNIT_ASSERT(!next().any());
  }

  void unchanged_reports_are_repeated_before_they_expire() {
    now += options.refresh_interval - milliseconds(1);
    CPPUNIT_ASSERT(!next().any());
    now += milliseconds(1);
    const ReportAudience audience = next();
    CPPUNIT_ASSERT(audience.same_zone && audience.other_zones);
  }

  void unused_credits_are_reallocated_in_the_same_zone() {
    now += options.credit_refresh_interval;
    CPPUNIT_ASSERT(!next(false).any());
    const ReportAudience audience = next(true);
    CPPUNIT_ASSERT(audience.same_zone && !audience.other_zones);
  }

  void a_deferred_change_reaches_other_zones_without_another_change() {
    now += milliseconds(50);
    report.running = 4;
    CPPUNIT_ASSERT(!next().other_zones);
    now += options.other_zones_interval;
    CPPUNIT_ASSERT(next().other_zones);
  }

  void a_forced_report_goes_to_all() {
    const ReportAudience audience = next(false, true);
    CPPUNIT_ASSERT(audience.same_zone && audience.other_zones);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportScheduleTest);

}  // namespace pumicemast
