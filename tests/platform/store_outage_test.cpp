#include "platform/store_outage.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast::platform {

/// Guards against refusing callers for four seconds after each outage of the store in which a
/// version was named: the version counted as old as the outage.
class StoreOutageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreOutageTest);
  CPPUNIT_TEST(events_after_an_outage_are_no_older_than_its_end);
  CPPUNIT_TEST(one_failed_call_is_no_outage);
  CPPUNIT_TEST(a_long_past_outage_bounds_nothing);
  CPPUNIT_TEST(recent_events_keep_their_age);
  CPPUNIT_TEST_SUITE_END();

 public:
  void events_after_an_outage_are_no_older_than_its_end() {
    outage_.on_failed(at(20));
    outage_.on_failed(at(22));
    outage_.on_failed(at(26));
    outage_.on_answered();
    CPPUNIT_ASSERT(outage_.bound_age(seconds(9), at(27)) == seconds(3));
  }

  void one_failed_call_is_no_outage() {
    outage_.on_failed(at(20));
    outage_.on_answered();
    outage_.on_failed(at(26));
    outage_.on_answered();
    CPPUNIT_ASSERT(outage_.bound_age(seconds(9), at(27)) == seconds(9));
  }

  void a_long_past_outage_bounds_nothing() {
    outage_.on_failed(at(20));
    outage_.on_failed(at(22));
    outage_.on_answered();
    CPPUNIT_ASSERT(outage_.bound_age(seconds(9), at(60)) == seconds(9));
  }

  void recent_events_keep_their_age() {
    outage_.on_failed(at(20));
    outage_.on_failed(at(22));
    CPPUNIT_ASSERT(outage_.bound_age(Duration::zero(), at(23)) == Duration::zero());
  }

 private:
  static TimePoint at(std::int64_t second) { return TimePoint(seconds(second)); }

  StoreOutage outage_{seconds(2)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreOutageTest);

}  // namespace pumicemast::platform
