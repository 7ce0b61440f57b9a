#include "gateway/retry_share.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/retry_fleet.h"

namespace pumicemast {

// Users saw a service that could hardly keep up receive more repeats than its first attempts
// allow, on a fleet of about 40 gateways. Order of events: back ends fail, many gateways begin
// anew or on one side of a cut, and all send again what fails. Cause: each process had a share of
// the fleet's reserve without having earned it, and divided the reserve by the gateways that it
// knew, however few.
class RetryShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryShareTest);
  CPPUNIT_TEST(a_restart_of_all_gateways_gives_no_new_reserve);
  CPPUNIT_TEST(gateways_that_know_of_no_other_take_little);
  CPPUNIT_TEST(both_sides_of_a_cut_share_one_reserve_after_a_restart);
  CPPUNIT_TEST_SUITE_END();

  static void assert_within(const tests::RetryFleet& fleet) {
    const tests::RepeatWindow worst = fleet.worst_window();
    CPPUNIT_ASSERT_MESSAGE(worst.to_string(), worst.within());
  }
  static std::vector<int> forty_gateways() { return {14, 13, 13}; }

 public:
  void a_restart_of_all_gateways_gives_no_new_reserve() {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      tests::RetryFleet fleet(seed, forty_gateways());
      fleet.run(seconds(30));
      fleet.fail(1);
      fleet.run(seconds(4));
      fleet.restart_all();
      fleet.run(seconds(30));
      assert_within(fleet);
    }
  }

  void gateways_that_know_of_no_other_take_little() {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      tests::RetryFleet fleet(seed, forty_gateways());
      fleet.lose_agents();
      fleet.restart_all();
      fleet.run(seconds(60));
      fleet.fail(1);
      fleet.run(seconds(30));
      assert_within(fleet);
    }
  }

  void both_sides_of_a_cut_share_one_reserve_after_a_restart() {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      tests::RetryFleet fleet(seed, forty_gateways());
      fleet.run(seconds(20));
      fleet.cut_off(2);
      fleet.restart_all();
      fleet.run(seconds(60));
      fleet.fail(1);
      fleet.run(seconds(30));
      assert_within(fleet);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryShareTest);

}  // namespace pumicemast
