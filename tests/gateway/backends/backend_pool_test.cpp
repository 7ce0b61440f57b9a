#include "gateway/backends/backend_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include "admission/first_token_model.h"
#include "support/gateway_world.h"

namespace pumicemast {

class BackendPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendPoolTest);
  CPPUNIT_TEST(a_leaving_back_end_gets_nothing_new);
  CPPUNIT_TEST(an_entry_that_vanishes_means_leaving);
  CPPUNIT_TEST(an_entry_that_lapsed_in_an_outage_is_used_while_its_agent_vouches);
  CPPUNIT_TEST(an_entry_that_leaves_well_after_an_outage_is_not_taken_for_lapsed);
  CPPUNIT_TEST(a_lapse_is_counted_from_the_return_of_the_list);
  CPPUNIT_TEST(an_entry_that_comes_back_is_used_again);
  CPPUNIT_TEST(news_of_others_is_ordered_by_revision);
  CPPUNIT_TEST(credits_bound_what_is_sent_until_the_next_report);
  CPPUNIT_TEST(a_finished_request_returns_its_credit);
  CPPUNIT_TEST(a_finished_request_returns_no_credit_where_others_wait);
  CPPUNIT_TEST(who_takes_spare_room_only_leaves_some_places_free);
  CPPUNIT_TEST(an_engine_whose_agent_alone_is_silent_is_left_alone);
  CPPUNIT_TEST(without_agents_engines_are_still_used);
  CPPUNIT_TEST(an_engine_behind_a_slow_path_gets_nothing_new);
  CPPUNIT_TEST(an_engine_whose_path_alone_was_never_measured_gets_nothing_new);
  CPPUNIT_TEST(a_failing_back_end_rests_longer_each_time);
  CPPUNIT_TEST(a_continued_answer_prefers_its_version);
  CPPUNIT_TEST(an_older_record_does_not_undo_a_newer_one);
  CPPUNIT_TEST(a_long_answer_goes_where_it_ends_before_the_engine_leaves);
  CPPUNIT_TEST(a_short_answer_may_go_to_an_engine_that_leaves_soon);
  CPPUNIT_TEST(when_all_engines_leave_the_one_kept_least_takes_a_long_answer);
  CPPUNIT_TEST(prompts_of_other_gateways_lengthen_the_expected_wait);
  CPPUNIT_TEST(changed_backlogs_are_told_once);
  CPPUNIT_TEST(an_engine_started_again_under_its_id_keeps_nothing);
  CPPUNIT_TEST(a_late_entry_of_an_earlier_start_undoes_nothing);
  CPPUNIT_TEST(an_engine_that_is_not_watched_gets_nothing);
  CPPUNIT_TEST(what_is_not_watched_says_nothing_of_the_others);
  CPPUNIT_TEST(connections_that_rest_leave_room_for_all_gateways);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayWorld world;
  FleetConfiguration configuration = tests::GatewayWorld::configuration();
  BackendNeed need;

 public:
  // A back end accepts so many connections from all callers together, and resets the rest: those
  // that rested at 149 gateways kept out whoever wanted to send.
  void connections_that_rest_leave_room_for_all_gateways() {
    ServiceProfile service;
    for (const std::uint32_t maximum : {48U, 96U, 628U}) {
      service.maximum_connections = maximum;
      for (const std::size_t gateways : {1U, 7U, 40U, 149U}) {
        BackendPool pool{BackendPoolOptions{}};
        pool.set_gateway_count(gateways);
        CPPUNIT_ASSERT(pool.resting_connections(service) * gateways <= maximum);
      }
    }
    BackendPool pool{BackendPoolOptions{}};
    pool.set_gateway_count(7);
    service.maximum_connections = 48;
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pool.resting_connections(service));
  }

  void setUp() override { need.service = &configuration.services[1]; }

  /// It holds no weights, and is neither as loaded nor as unreliable as it was.
  void an_engine_started_again_under_its_id_keeps_nothing() {
    use_engines();
    world.pool.on_sent("e1", 500, world.now);
    world.pool.on_failure("e1", world.now);
    world.pool.on_gone("e1", ++world.revision, world.now);
    BackendRecord reborn = world.pool.records().front();
    reborn.started_at_ms = 5;
    reborn.revision = ++world.revision;
    reborn.weight_version = 0;
    world.pool.on_record(reborn);
    CPPUNIT_ASSERT(!world.pool.leaving("e1"));
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());  // It holds nothing yet.
    world.report(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.pool.on_finished("e1");  // Of its earlier life.
  }

  void a_late_entry_of_an_earlier_start_undoes_nothing() {
    use_engines();
    const BackendRecord earlier = world.pool.records().front();
    BackendRecord reborn = earlier;
    reborn.started_at_ms = 5;
    reborn.revision = ++world.revision;
    world.pool.on_record(reborn);
    world.report(1, 4, 1);
    BackendRecord late = earlier;
    late.draining = true;
    world.pool.on_record(late);
    world.pool.on_gone("e1", earlier.revision, world.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  /// Nobody tells this gateway how loaded it is, or which weights it serves.
  void an_engine_that_is_not_watched_gets_nothing() {
    use_engines();
    world.report(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.pool.set_watched({});
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    CPPUNIT_ASSERT(!world.pool.holds(need.service->name, 0, world.now));
  }

  /// Of three engines one reports, which is half of the two that are watched: the other is suspect.
  void what_is_not_watched_says_nothing_of_the_others() {
    use_engines();
    world.add_backend("e2", "engines", 2, 1);
    world.add_backend("e3", "engines", 3, 1);
    std::set<Address> watched;
    for (const BackendRecord& record : world.pool.records()) {
      if (record.id == "e1" || record.id == "e2") watched.insert(record.address);
    }
    world.pool.set_watched(watched);
    world.report(1, 4, 1);
    for (int tries = 0; tries < 20; ++tries) CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

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
    world.now += milliseconds(1900);
    world.report(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.now += milliseconds(400);
    world.report(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void a_lapse_is_counted_from_the_return_of_the_list() {
    use_engines();
    world.now += seconds(5);
    world.pool.on_list_reachable(false, world.now);
    world.now += seconds(5);
    world.pool.on_list_reachable(true, world.now);
    world.now += milliseconds(900);
    world.report(1, 4, 1);
    world.pool.on_gone("e1", ++world.revision, world.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.now += milliseconds(1400);  // 2.3 s after the return.
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

  void a_finished_request_returns_no_credit_where_others_wait() {
    use_engines();
    LoadReport load;
    load.alive = true;
    load.credit = 1;
    load.weight_version = 1;
    load.running = 3;
    load.queued = 1;
    world.pool.on_report({"127.0.0.1", 1}, load, world.now);
    world.now += milliseconds(1);
    world.pool.on_sent("e1", 10, world.now);
    world.pool.on_finished("e1");
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void who_takes_spare_room_only_leaves_some_places_free() {
    use_engines();  // Of four places.
    need.spare_only = true;
    world.report(1, 2, 1, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    world.report(1, 1, 1, 3);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    need.spare_only = false;
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

  /// As after its entry lapsed and came back: its reports are fresh, its link may be narrow.
  void an_engine_whose_path_alone_was_never_measured_gets_nothing_new() {
    use_engines();
    world.pool.on_path_delay({"127.0.0.1", 1}, milliseconds(2), world.now);
    world.add_backend("e2", "engines", 2, 1);
    world.report(2, 4, 1);
    world.report(1, 0, 1, 4);  // Full.
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    world.pool.on_path_delay({"127.0.0.1", 2}, milliseconds(2), world.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose());
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

  void a_long_answer_goes_where_it_ends_before_the_engine_leaves() {
    use_two_engines(milliseconds(700), std::nullopt);
    need.answer_tokens = 250;  // 2.5 s at 10 ms a token.
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose());
  }

  void a_short_answer_may_go_to_an_engine_that_leaves_soon() {
    use_two_engines(milliseconds(700), std::nullopt);
    need.answer_tokens = 20;
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void when_all_engines_leave_the_one_kept_least_takes_a_long_answer() {
    use_two_engines(milliseconds(200), milliseconds(1800));
    need.answer_tokens = 250;
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose());
    // A full engine is no way out: the request waits instead of keeping the other from its turn.
    world.report(2, 0, 1, 4);
    CPPUNIT_ASSERT_EQUAL(std::string(""), choose());
  }

  void prompts_of_other_gateways_lengthen_the_expected_wait() {
    use_engines();
    need.prompt_tokens = 1000;
    const double idle_ms = expected_ms();
    world.pool.on_others_backlog({"127.0.0.1", 1}, 5000);
    EngineLoad load;
    load.pending_tokens = 5000;
    const double predicted_ms =
        predict_first_token_ms(*configuration.services[0].engine, load, need.prompt_tokens);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(predicted_ms, expected_ms(), 1e-6);
    CPPUNIT_ASSERT(predicted_ms > 2 * idle_ms);
    world.pool.on_others_backlog({"127.0.0.1", 1}, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(idle_ms, expected_ms(), 1e-6);
  }

  void changed_backlogs_are_told_once() {
    use_engines();
    world.pool.on_sent("e1", 700, world.now);
    const auto sent = world.pool.take_changed_backlogs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700.0, sent.front().unread_tokens, 1e-9);
    CPPUNIT_ASSERT(world.pool.take_changed_backlogs().empty());
    world.pool.on_first_token("e1", 700);
    const auto begun = world.pool.take_changed_backlogs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, begun.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, begun.front().unread_tokens, 1e-9);
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
  /// Two engines; e2 is busier, so that e1 is taken unless its leaving speaks against it.
  void use_two_engines(std::optional<Duration> first_leaves,
                       std::optional<Duration> second_leaves) {
    use_engines();
    world.add_backend("e2", "engines", 2, 1);
    const auto report = [&](std::uint16_t port, std::uint32_t running,
                            std::optional<Duration> leaves_in) {
      LoadReport load;
      load.alive = true;
      load.credit = 4;
      load.weight_version = 1;
      load.running = running;
      load.leaves_in = leaves_in;
      load.others_pending_tokens = running * 1000;
      world.pool.on_report({"127.0.0.1", port}, load, world.now);
    };
    report(1, 0, first_leaves);
    report(2, 3, second_leaves);
  }
  double expected_ms() {
    const auto choice = world.pool.choose(need, {}, world.now);
    CPPUNIT_ASSERT(choice.has_value());
    return choice->expected_ms;
  }
  std::string choose() {
    const auto choice = world.pool.choose(need, {}, world.now);
    return choice ? choice->id : "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPoolTest);

}  // namespace pumicemast
