#include "admission/overload_detector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class OverloadDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadDetectorTest);
  CPPUNIT_TEST(refusals_of_a_level_count_for_it_and_for_less_urgent_ones);
  CPPUNIT_TEST(refusals_are_forgotten);
  CPPUNIT_TEST_SUITE_END();

  OverloadDetector detector;
  TimePoint now = TimePoint(seconds(100));

 public:
  void refusals_of_a_level_count_for_it_and_for_less_urgent_ones() {
    detector.on_avoidable_refusal("engines", 1, now);
    CPPUNIT_ASSERT(!detector.is_overloaded("engines", 0, now));
    CPPUNIT_ASSERT(detector.is_overloaded("engines", 1, now));
    CPPUNIT_ASSERT(detector.is_overloaded("engines", 2, now));
    CPPUNIT_ASSERT(!detector.is_overloaded("others", 2, now));
  }

  void refusals_are_forgotten() {
    detector.on_avoidable_refusal("engines", 1, now);
    CPPUNIT_ASSERT(!detector.is_overloaded("engines", 1, now + milliseconds(350)));
    detector.on_avoidable_refusal("engines", 2, now + milliseconds(350));
    CPPUNIT_ASSERT(!detector.is_overloaded("engines", 1, now + milliseconds(350)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadDetectorTest);

}  // namespace pumicemast
