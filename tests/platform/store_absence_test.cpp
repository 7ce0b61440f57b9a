#include "platform/store_absence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast::platform {

/// Callers were refused for four seconds after each outage of the store in which a version had
/// been named: it was held to be as old as the outage.
class StoreAbsenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreAbsenceTest);
  CPPUNIT_TEST(news_after_an_absence_is_no_older_than_its_end);
  CPPUNIT_TEST(one_lost_call_is_no_absence);
  CPPUNIT_TEST(an_absence_of_long_ago_bounds_nothing);
  CPPUNIT_TEST(news_that_is_young_stays_so);
  CPPUNIT_TEST_SUITE_END();

 public:
  void news_after_an_absence_is_no_older_than_its_end() {
    absence_.on_failed(at(20));
    absence_.on_failed(at(22));
    absence_.on_failed(at(26));
    absence_.on_answered();
    CPPUNIT_ASSERT(absence_.bound(seconds(9), at(27)) == seconds(3));
  }

  void one_lost_call_is_no_absence() {
    absence_.on_failed(at(20));
    absence_.on_answered();
    absence_.on_failed(at(26));
    absence_.on_answered();
    CPPUNIT_ASSERT(absence_.bound(seconds(9), at(27)) == seconds(9));
  }

  void an_absence_of_long_ago_bounds_nothing() {
    absence_.on_failed(at(20));
    absence_.on_failed(at(22));
    absence_.on_answered();
    CPPUNIT_ASSERT(absence_.bound(seconds(9), at(60)) == seconds(9));
  }

  void news_that_is_young_stays_so() {
    absence_.on_failed(at(20));
    absence_.on_failed(at(22));
    CPPUNIT_ASSERT(absence_.bound(Duration::zero(), at(23)) == Duration::zero());
  }

 private:
  static TimePoint at(std::int64_t second) { return TimePoint(seconds(second)); }

  StoreAbsence absence_{seconds(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreAbsenceTest);

}  // namespace pumicemast::platform
