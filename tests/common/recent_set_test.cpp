#include "common/recent_set.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class RecentSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecentSetTest);
  CPPUNIT_TEST(keeps_keys_for_one_to_two_spans);
  CPPUNIT_TEST(keeps_keys_that_are_added_again);
  CPPUNIT_TEST(keeps_no_more_keys_than_its_capacity);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keeps_keys_for_one_to_two_spans() {
    RecentSet<int> set(seconds(10), 100);
    set.add(1, now_);
    CPPUNIT_ASSERT(set.contains(1, now_ + seconds(10)));
    CPPUNIT_ASSERT(!set.contains(1, now_ + seconds(20)));
    CPPUNIT_ASSERT(!set.contains(2, now_ + seconds(20)));
    set.add(3, now_ + seconds(25));
    CPPUNIT_ASSERT(!set.contains(3, now_ + seconds(100)));
  }

  void keeps_keys_that_are_added_again() {
    RecentSet<int> set(seconds(10), 100);
    for (int second = 0; second < 100; ++second) {
      set.add(1, now_ + seconds(second));
      CPPUNIT_ASSERT(set.contains(1, now_ + seconds(second + 9)));
    }
  }

  void keeps_no_more_keys_than_its_capacity() {
    RecentSet<int> set(seconds(10), 5);
    for (int key = 0; key < 100; ++key) set.add(key, now_);
    CPPUNIT_ASSERT(set.contains(4, now_));
    CPPUNIT_ASSERT(!set.contains(5, now_));
  }

 private:
  TimePoint now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecentSetTest);

}  // namespace pumicemast
