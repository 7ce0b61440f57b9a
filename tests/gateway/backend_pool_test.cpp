#include "gateway/backend_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_world.h"

namespace pumicemast {

class BackendPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendPoolTest);
  CPPUNIT_TEST(a_leaving_back_end_gets_nothing_new);
  CPPUNIT_TEST(an_entry_that_vanishes_means_leaving);
  CPPUNIT_TEST(an_entry_that_lapsed_in_an_outage_is_used_while_its_agent_vouches);
  CPPUNIT_TEST(an_entry_that_leaves_well_after_an_outage_is_not_taken_for_lapsed);
  CPPUNIT_TEST(an_entry_that_comes_back_is_used_again);
  CPPUNIT_TEST(news_of_others_is_ordered_by_revision);
  CPPUNIT_TEST(credits_bound_what_is_sent_until_the_next_report);
  CPPUNIT_TEST(a_finished_request_returns_its_credit);
  CPPUNIT_TEST(an_engine_whose_agent_alone_is_silent_is_left_alone);
  CPPUNIT_TEST(without_agents_engines_are_still_used);
  CPPUNIT_TEST(an_engine_behind_a_slow_path_gets_nothing_new);
  CPPUNIT_TEST(a_failing_back_end_rests_longer_each_time);
  CPPUNIT_TEST(a_continued_answer_prefers_its_version);
  CPPUNIT_TEST(an_older_record_does_not_undo_a_newer_one);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayWorld world;
  FleetConfiguration configuration = tests::GatewayWorld::configuration();
  BackendNeed need;

 public:
  void setUp() override { need.service = &configuration.services[1]; }

  void a_leaving_back_end_gets_nothing_new() {
    world.add_backend("p1", "plain", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    world.pool.on_leaving("p1", world.revision);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void an_entry_that_vanishes_means_leaving() {
    world.add_backend("p1", "plain", 1);
    world.pool.on_gone("p1", ++world.revision, world.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.pool.recently_left().size());
  }

  void an_entry_that_lapsed_in_an_outage_is_used_while_its_agent_vouches() {
    use_engines();
    world.pool.on_list_reachable(false, world.now);
    world.now += seconds(5);
    world.report(1, 4, 1);
    world.pool.on_list_reachable(true, world.now);
    world.pool.on_gone("e1", ++world.revision, world.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    CPPUNIT_ASSERT(world.pool.recently_left().empty());  // Others must not take it for leaving.
    world.now += milliseconds(2600);
    world.report(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void an_entry_that_leaves_well_after_an_outage_is_not_taken_for_lapsed() {
    use_engines();
    world.pool.on_list_reachable(false, world.now);
    world.pool.on_list_reachable(true, world.now);
    world.now += milliseconds(1100);
    world.report(1, 4, 1);
    world.pool.on_gone("e1", ++world.revision, world.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void an_entry_that_comes_back_is_used_again() {
    world.add_backend("p1", "plain", 1);
    world.pool.on_gone("p1", ++world.revision, world.now);
    world.add_backend("p1", "plain", 1);  // With a higher revision.
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

  void news_of_others_is_ordered_by_revision() {
    world.add_backend("p1", "plain", 1);
    world.pool.on_leaving("p1", world.revision - 1);  // Older than the entry here.
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    world.pool.on_leaving("p1", world.revision + 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void credits_bound_what_is_sent_until_the_next_report() {
    use_engines();
    world.report(1, 2, 1);
    for (int count = 0; count < 2; ++count) {
      world.now += milliseconds(1);
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
      world.pool.on_sent("e1", 10, world.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    need.urgent = true;  // What was sent before goes on all the same.
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void a_finished_request_returns_its_credit() {
    use_engines();
    world.report(1, 1, 1);
    world.now += milliseconds(1);
    world.pool.on_sent("e1", 10, world.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    world.pool.on_finished("e1");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void an_engine_whose_agent_alone_is_silent_is_left_alone() {
    use_engines();
    world.add_backend("e2", "engines", 2, 1);
    world.report(2, 0, 1, 4);
    world.now += seconds(1);
    world.report(2, 0, 1, 4);  // Full, but alive; nothing is heard of e1.
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void without_agents_engines_are_still_used() {
    use_engines();
    world.now += seconds(10);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.pool.on_sent("e1", 10, world.now);
    // What other gateways send there is guessed from what this one does.
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void an_engine_behind_a_slow_path_gets_nothing_new() {
    use_engines();
    const Address address{"127.0.0.1", 1};
    world.pool.on_path_delay(address, milliseconds(5), world.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.pool.on_path_delay(address, milliseconds(400), world.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    world.pool.on_path_delay(address, milliseconds(5), world.now);
    world.now += milliseconds(1300);  // A measurement that doesn't come is a delay, too.
    world.report(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void a_failing_back_end_rests_longer_each_time() {
    world.add_backend("p1", "plain", 1);
    world.pool.on_failure("p1", world.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    world.now += milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    world.pool.on_failure("p1", world.now);
    world.now += milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    world.now += milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

  void a_continued_answer_prefers_its_version() {
    use_engines();
    world.add_backend("e2", "engines", 2, 2);
    world.report(1, 4, 1, 3);
    world.report(2, 4, 2, 0);
    need.preferred_version = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void an_older_record_does_not_undo_a_newer_one() {
    world.add_backend("p1", "plain", 1);
    BackendRecord older;
    older.id = "p1";
    older.service = "plain";
    older.address = {"127.0.0.1", 1};
    older.draining = true;
    older.revision = 0;
    world.pool.on_record(older);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

 private:
  void use_engines() {
    need.service = &configuration.services[0];
    world.add_backend("e1", "engines", 1, 1);
    world.report(1, 4, 1);
  }
  std::string choose() {
    const auto choice = world.pool.choose(need, {}, world.now);
    return choice ? choice->id : "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPoolTest);

}  // namespace pumicemast
