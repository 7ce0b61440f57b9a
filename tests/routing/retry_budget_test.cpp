#include "routing/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(first_attempts_earn_retries_up_to_the_reserve);
  CPPUNIT_TEST(a_smaller_reserve_caps_the_balance);
  CPPUNIT_TEST(a_larger_reserve_adds_nothing_at_once);
  CPPUNIT_TEST_SUITE_END();

  static int spend_all(RetryBudget& budget) {
    int spent = 0;
    while (budget.try_spend()) ++spent;
    return spent;
  }

 public:
  void first_attempts_earn_retries_up_to_the_reserve() {
    RetryBudget budget(0.5, 3);
    CPPUNIT_ASSERT_EQUAL(3, spend_all(budget));
    for (int request = 0; request < 4; ++request) budget.on_first_attempt();
    CPPUNIT_ASSERT_EQUAL(2, spend_all(budget));
    for (int request = 0; request < 100; ++request) budget.on_first_attempt();
    CPPUNIT_ASSERT_EQUAL(3, spend_all(budget));
  }

  // The reserve shrinks when more gateways than assumed share it.
  void a_smaller_reserve_caps_the_balance() {
    RetryBudget budget(0.5, 20);
    budget.set_reserve(5);
    CPPUNIT_ASSERT_EQUAL(5, spend_all(budget));
  }

  void a_larger_reserve_adds_nothing_at_once() {
    RetryBudget budget(1, 2);
    CPPUNIT_ASSERT_EQUAL(2, spend_all(budget));
    budget.set_reserve(10);
    CPPUNIT_ASSERT_EQUAL(0, spend_all(budget));
    for (int request = 0; request < 7; ++request) budget.on_first_attempt();
    CPPUNIT_ASSERT_EQUAL(7, spend_all(budget));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace pumicemast
