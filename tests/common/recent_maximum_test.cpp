#include "common/recent_maximum.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class RecentMaximumTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecentMaximumTest);
  CPPUNIT_TEST(the_largest_value_holds_for_the_window);
  CPPUNIT_TEST(old_values_are_forgotten);
  CPPUNIT_TEST(nothing_noted_is_zero);
  CPPUNIT_TEST_SUITE_END();

  RecentMaximum maximum{seconds(10)};
  TimePoint now = TimePoint(seconds(100));

 public:
  void the_largest_value_holds_for_the_window() {
    maximum.note(40, now);
    for (int second = 0; second < 10; ++second) {
      now += seconds(1);
      maximum.note(12, now);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, maximum.value(now));
    }
  }

  void old_values_are_forgotten() {
    maximum.note(40, now);
    for (int second = 0; second < 21; ++second) {
      now += seconds(1);
      maximum.note(12, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, maximum.value(now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, maximum.value(now + seconds(60)));
  }

  void nothing_noted_is_zero() { CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, maximum.value(now)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecentMaximumTest);

}  // namespace pumicemast
