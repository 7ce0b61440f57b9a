#include "agent/request_window.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class RequestWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestWindowTest);
  CPPUNIT_TEST(a_single_transfer_gets_the_whole_window);
  CPPUNIT_TEST(transfers_of_equal_priority_divide_the_window);
  CPPUNIT_TEST(a_transfer_of_lower_priority_keeps_one_request);
  CPPUNIT_TEST(an_inactive_transfer_does_not_reduce_the_window);
  CPPUNIT_TEST(each_transfer_gets_at_least_one_request);
  CPPUNIT_TEST_SUITE_END();

  using Shares = std::vector<std::uint32_t>;

 public:
  void a_single_transfer_gets_the_whole_window() {
    CPPUNIT_ASSERT(allocate_request_window({{0, true}}, 8) == Shares({8}));
    CPPUNIT_ASSERT(allocate_request_window({}, 8).empty());
  }
  void transfers_of_equal_priority_divide_the_window() {
    CPPUNIT_ASSERT(allocate_request_window({{2, true}, {2, true}}, 8) == Shares({4, 4}));
  }
  void a_transfer_of_lower_priority_keeps_one_request() {
    CPPUNIT_ASSERT(allocate_request_window({{1, true}, {2, true}}, 8) == Shares({1, 8}));
  }
  void an_inactive_transfer_does_not_reduce_the_window() {
    // A complete version only serves peers, so its own window has no effect.
    CPPUNIT_ASSERT(allocate_request_window({{1, true}, {2, false}}, 8) == Shares({8, 8}));
  }
  void each_transfer_gets_at_least_one_request() {
    CPPUNIT_ASSERT(allocate_request_window({{0, true}, {0, true}, {0, true}}, 2) ==
                   Shares({1, 1, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestWindowTest);

}  // namespace pumicemast
