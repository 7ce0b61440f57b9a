#include "gateway/backends/backend_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include "admission/first_token_model.h"
#include "support/gateway_harness.h"

namespace pumicemast {

class BackendPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendPoolTest);
  CPPUNIT_TEST(a_leaving_back_end_gets_nothing_new);
  CPPUNIT_TEST(a_removed_entry_counts_as_a_departure);
  CPPUNIT_TEST(an_entry_that_expired_in_an_outage_is_used_while_its_agent_reports);
  CPPUNIT_TEST(a_removal_well_after_an_outage_is_not_an_expiry);
  CPPUNIT_TEST(the_expiry_grace_starts_when_the_list_is_reachable_again);
  CPPUNIT_TEST(an_entry_that_comes_back_is_used_again);
  CPPUNIT_TEST(departures_reported_by_gateways_are_ordered_by_revision);
  CPPUNIT_TEST(credits_bound_what_is_sent_until_the_next_report);
  CPPUNIT_TEST(a_finished_request_returns_its_credit);
  CPPUNIT_TEST(a_finished_request_returns_no_credit_where_others_wait);
  CPPUNIT_TEST(unreserved_only_requests_leave_reserved_slots_free);
  CPPUNIT_TEST(an_engine_whose_agent_alone_is_silent_is_skipped);
  CPPUNIT_TEST(without_agents_engines_are_still_used);
  CPPUNIT_TEST(an_engine_behind_a_slow_path_gets_nothing_new);
  CPPUNIT_TEST(an_engine_whose_path_alone_was_never_measured_gets_nothing_new);
  CPPUNIT_TEST(the_backoff_doubles_with_each_failure);
  CPPUNIT_TEST(a_continued_answer_prefers_its_version);
  CPPUNIT_TEST(an_older_record_does_not_undo_a_newer_one);
  CPPUNIT_TEST(a_long_answer_goes_where_it_ends_before_the_engine_leaves);
  CPPUNIT_TEST(a_short_answer_may_go_to_an_engine_that_leaves_soon);
  CPPUNIT_TEST(when_all_engines_leave_a_long_answer_goes_to_the_least_overrun);
  CPPUNIT_TEST(prompts_of_other_gateways_lengthen_the_expected_wait);
  CPPUNIT_TEST(changed_backlogs_are_reported_once);
  CPPUNIT_TEST(an_engine_restarted_under_its_id_inherits_no_state);
  CPPUNIT_TEST(a_late_entry_of_an_earlier_incarnation_is_ignored);
  CPPUNIT_TEST(an_unsubscribed_engine_gets_nothing);
  CPPUNIT_TEST(unsubscribed_engines_do_not_count_as_silent);
  CPPUNIT_TEST(idle_connections_leave_room_for_all_gateways);
  CPPUNIT_TEST(a_cold_back_end_is_used_with_permits_only);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;
  FleetConfiguration configuration = tests::GatewayHarness::configuration();
  BackendRequirements requirements;

 public:
  void a_cold_back_end_is_used_with_permits_only() {
    harness.add_backend("p1", "plain", 1);
    BackendRecord record = harness.pool.records().front();
    record.cold_until = harness.now + seconds(3);
    record.revision = ++harness.revision;
    harness.pool.on_record(record, harness.now);
    requirements.service = &configuration.services[1];
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());  // Its service has no cold rate.
    harness.pool.set_cold_starts({{"plain", {seconds(3), 5}}});
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    CPPUNIT_ASSERT(harness.pool.has_cold_backend(requirements, harness.now));
    harness.pool.request_permit(requirements, {}, 1, harness.now);
    const auto messages = harness.pool.permits().take_messages(harness.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages.size());
    harness.pool.permits().on_answer({"p1", messages[0].asked_at, true, {}, {}}, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    harness.pool.on_sent("p1", 0, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    harness.now += seconds(3);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

  // A back end accepts a limited number of connections from all callers together and resets the
  // rest. The idle connections of 149 gateways used up that number, so that new requests were
  // reset.
  void idle_connections_leave_room_for_all_gateways() {
    ServiceProfile service;
    for (const std::uint32_t maximum : {48U, 96U, 628U}) {
      service.maximum_connections = maximum;
      for (const std::size_t gateways : {1U, 7U, 40U, 149U}) {
        BackendPool pool{BackendPoolOptions{}};
        pool.set_gateway_count(gateways);
        CPPUNIT_ASSERT(pool.max_idle_connections(service) * gateways <= maximum);
      }
    }
    BackendPool pool{BackendPoolOptions{}};
    pool.set_gateway_count(7);
    service.maximum_connections = 48;
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pool.max_idle_connections(service));
  }

  void setUp() override { requirements.service = &configuration.services[1]; }

  /// Neither its weights, nor its load, nor its failures are carried over.
  void an_engine_restarted_under_its_id_inherits_no_state() {
    use_engines();
    harness.pool.on_sent("e1", 500, harness.now);
    harness.pool.on_failure("e1", harness.now);
    harness.pool.on_removed("e1", ++harness.revision, harness.now);
    BackendRecord restarted = harness.pool.records().front();
    restarted.started_at_ms = 5;
    restarted.revision = ++harness.revision;
    restarted.weight_version = 0;
    harness.pool.on_record(restarted, harness.now);
    CPPUNIT_ASSERT(!harness.pool.leaving("e1"));
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());  // It has no weights yet.
    harness.report_load(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.pool.on_finished("e1");  // A request to the earlier incarnation.
  }

  void a_late_entry_of_an_earlier_incarnation_is_ignored() {
    use_engines();
    const BackendRecord earlier = harness.pool.records().front();
    BackendRecord restarted = earlier;
    restarted.started_at_ms = 5;
    restarted.revision = ++harness.revision;
    harness.pool.on_record(restarted, harness.now);
    harness.report_load(1, 4, 1);
    BackendRecord late = earlier;
    late.draining = true;
    harness.pool.on_record(late, harness.now);
    harness.pool.on_removed("e1", earlier.revision, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  /// The gateway receives neither its load nor the version of its weights.
  void an_unsubscribed_engine_gets_nothing() {
    use_engines();
    harness.report_load(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.pool.set_subscribed_engines({});
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    CPPUNIT_ASSERT(!harness.pool.has_weights(requirements, harness.now));
  }

  /// One of three engines reports, which is half of the two subscribed ones: the other subscribed
  /// engine is possibly stalled.
  void unsubscribed_engines_do_not_count_as_silent() {
    use_engines();
    harness.add_backend("e2", "engines", 2, 1);
    harness.add_backend("e3", "engines", 3, 1);
    std::set<Address> subscribed;
    for (const BackendRecord& record : harness.pool.records()) {
      if (record.id == "e1" || record.id == "e2") subscribed.insert(record.address);
    }
    harness.pool.set_subscribed_engines(subscribed);
    harness.report_load(1, 4, 1);
    for (int tries = 0; tries < 20; ++tries) CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void a_leaving_back_end_gets_nothing_new() {
    harness.add_backend("p1", "plain", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    harness.pool.on_departure({{"p1"}, harness.revision, true}, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void a_removed_entry_counts_as_a_departure() {
    harness.add_backend("p1", "plain", 1);
    harness.pool.on_removed("p1", ++harness.revision, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.pool.departures().recent().size());
  }

  void an_entry_that_expired_in_an_outage_is_used_while_its_agent_reports() {
    use_engines();
    harness.pool.on_list_reachable(false, harness.now);
    harness.now += seconds(5);
    harness.report_load(1, 4, 1);
    harness.pool.on_list_reachable(true, harness.now);
    harness.pool.on_removed("e1", ++harness.revision, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    CPPUNIT_ASSERT(harness.pool.departures()
                       .recent()
                       .empty());  // Other gateways must not be told that it left.
    harness.now += milliseconds(1900);
    harness.report_load(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.now += milliseconds(400);
    harness.report_load(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void the_expiry_grace_starts_when_the_list_is_reachable_again() {
    use_engines();
    harness.now += seconds(5);
    harness.pool.on_list_reachable(false, harness.now);
    harness.now += seconds(5);
    harness.pool.on_list_reachable(true, harness.now);
    harness.now += milliseconds(900);
    harness.report_load(1, 4, 1);
    harness.pool.on_removed("e1", ++harness.revision, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.now += milliseconds(1400);  // 2.3 s after the list became reachable.
    harness.report_load(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void a_removal_well_after_an_outage_is_not_an_expiry() {
    use_engines();
    harness.pool.on_list_reachable(false, harness.now);
    harness.pool.on_list_reachable(true, harness.now);
    harness.now += milliseconds(1100);
    harness.report_load(1, 4, 1);
    harness.pool.on_removed("e1", ++harness.revision, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void an_entry_that_comes_back_is_used_again() {
    harness.add_backend("p1", "plain", 1);
    harness.pool.on_removed("p1", ++harness.revision, harness.now);
    harness.add_backend("p1", "plain", 1);  // With a higher revision.
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

  void departures_reported_by_gateways_are_ordered_by_revision() {
    harness.add_backend("p1", "plain", 1);
    harness.pool.on_departure({{"p1"}, harness.revision - 1, true},
                              harness.now);  // Older than the entry here.
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    harness.pool.on_departure({{"p1"}, harness.revision + 1, true}, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void credits_bound_what_is_sent_until_the_next_report() {
    use_engines();
    harness.report_load(1, 2, 1);
    for (int count = 0; count < 2; ++count) {
      harness.now += milliseconds(1);
      CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
      harness.pool.on_sent("e1", 10, harness.now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    requirements.urgent = true;  // A retry needs no credit.
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void a_finished_request_returns_its_credit() {
    use_engines();
    harness.report_load(1, 1, 1);
    harness.now += milliseconds(1);
    harness.pool.on_sent("e1", 10, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    harness.pool.on_finished("e1");
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
    harness.pool.on_report({"127.0.0.1", 1}, load, harness.now);
    harness.now += milliseconds(1);
    harness.pool.on_sent("e1", 10, harness.now);
    harness.pool.on_finished("e1");
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void unreserved_only_requests_leave_reserved_slots_free() {
    use_engines();  // With four slots.
    requirements.unreserved_only = true;
    harness.report_load(1, 2, 1, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.report_load(1, 1, 1, 3);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    requirements.unreserved_only = false;
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void an_engine_whose_agent_alone_is_silent_is_skipped() {
    use_engines();
    harness.add_backend("e2", "engines", 2, 1);
    harness.report_load(2, 0, 1, 4);
    harness.now += seconds(1);
    harness.report_load(2, 0, 1, 4);  // Full, but alive; e1 does not report.
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void without_agents_engines_are_still_used() {
    use_engines();
    harness.now += seconds(10);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.pool.on_sent("e1", 10, harness.now);
    // The load from other gateways is estimated from this gateway's requests.
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  void an_engine_behind_a_slow_path_gets_nothing_new() {
    use_engines();
    const Address address{"127.0.0.1", 1};
    harness.pool.on_path_delay(address, milliseconds(5), harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
    harness.pool.on_path_delay(address, milliseconds(400), harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    harness.pool.on_path_delay(address, milliseconds(5), harness.now);
    harness.now += milliseconds(1300);  // A missing measurement counts as a delay.
    harness.report_load(1, 4, 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
  }

  /// This is the state after its entry expired and came back: its reports are current, but its link
  /// may be narrow.
  void an_engine_whose_path_alone_was_never_measured_gets_nothing_new() {
    use_engines();
    harness.pool.on_path_delay({"127.0.0.1", 1}, milliseconds(2), harness.now);
    harness.add_backend("e2", "engines", 2, 1);
    harness.report_load(2, 4, 1);
    harness.report_load(1, 0, 1, 4);  // Full.
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    harness.pool.on_path_delay({"127.0.0.1", 2}, milliseconds(2), harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose());
  }

  void the_backoff_doubles_with_each_failure() {
    harness.add_backend("p1", "plain", 1);
    harness.pool.on_failure("p1", harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    harness.now += milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
    harness.pool.on_failure("p1", harness.now);
    harness.now += milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string(), choose());
    harness.now += milliseconds(250);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

  void a_continued_answer_prefers_its_version() {
    use_engines();
    harness.add_backend("e2", "engines", 2, 2);
    harness.report_load(1, 4, 1, 3);
    harness.report_load(2, 4, 2, 0);
    requirements.preferred_version = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void a_long_answer_goes_where_it_ends_before_the_engine_leaves() {
    use_two_engines(milliseconds(700), std::nullopt);
    requirements.answer_tokens = 250;  // 2.5 s at 10 ms a token.
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose());
  }

  void a_short_answer_may_go_to_an_engine_that_leaves_soon() {
    use_two_engines(milliseconds(700), std::nullopt);
    requirements.answer_tokens = 20;
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), choose());
  }

  void when_all_engines_leave_a_long_answer_goes_to_the_least_overrun() {
    use_two_engines(milliseconds(200), milliseconds(1800));
    requirements.answer_tokens = 250;
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), choose());
    // If that engine is full, the request waits. It does not delay the other engine's changeover.
    harness.report_load(2, 0, 1, 4);
    CPPUNIT_ASSERT_EQUAL(std::string(""), choose());
  }

  void prompts_of_other_gateways_lengthen_the_expected_wait() {
    use_engines();
    requirements.prompt_tokens = 1000;
    const double idle_ms = expected_ms();
    harness.pool.on_others_backlog({"127.0.0.1", 1}, 5000);
    EngineLoad load;
    load.pending_tokens = 5000;
    const double predicted_ms =
        predict_first_token_ms(*configuration.services[0].engine, load, requirements.prompt_tokens);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(predicted_ms, expected_ms(), 1e-6);
    CPPUNIT_ASSERT(predicted_ms > 2 * idle_ms);
    harness.pool.on_others_backlog({"127.0.0.1", 1}, 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(idle_ms, expected_ms(), 1e-6);
  }

  void changed_backlogs_are_reported_once() {
    use_engines();
    harness.pool.on_sent("e1", 700, harness.now);
    const auto sent = harness.pool.take_changed_backlogs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(700.0, sent.front().pending_tokens, 1e-9);
    CPPUNIT_ASSERT(harness.pool.take_changed_backlogs().empty());
    harness.pool.on_first_token("e1", 700);
    const auto begun = harness.pool.take_changed_backlogs();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, begun.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, begun.front().pending_tokens, 1e-9);
  }

  void an_older_record_does_not_undo_a_newer_one() {
    harness.add_backend("p1", "plain", 1);
    BackendRecord older;
    older.id = "p1";
    older.service = "plain";
    older.address = {"127.0.0.1", 1};
    older.draining = true;
    older.revision = 0;
    harness.pool.on_record(older, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), choose());
  }

 private:
  void use_engines() {
    requirements.service = &configuration.services[0];
    harness.add_backend("e1", "engines", 1, 1);
    harness.report_load(1, 4, 1);
  }
  /// Adds two engines; e2 is busier, so that e1 is chosen unless it leaves too soon.
  void use_two_engines(std::optional<Duration> first_leaves,
                       std::optional<Duration> second_leaves) {
    use_engines();
    harness.add_backend("e2", "engines", 2, 1);
    const auto report = [&](std::uint16_t port, std::uint32_t running,
                            std::optional<Duration> leaves_in) {
      LoadReport load;
      load.alive = true;
      load.credit = 4;
      load.weight_version = 1;
      load.running = running;
      load.leaves_in = leaves_in;
      load.others_pending_tokens = running * 1000;
      harness.pool.on_report({"127.0.0.1", port}, load, harness.now);
    };
    report(1, 0, first_leaves);
    report(2, 3, second_leaves);
  }
  double expected_ms() {
    const auto choice = harness.pool.choose(requirements, {}, harness.now);
    CPPUNIT_ASSERT(choice.has_value());
    return choice->expected_ms;
  }
  std::string choose() {
    const auto choice = harness.pool.choose(requirements, {}, harness.now);
    return choice ? choice->id : "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPoolTest);

}  // namespace pumicemast
