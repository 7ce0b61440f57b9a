#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "support/slot_harness.h"

namespace pumicemast {
namespace {

using tests::address;
constexpr auto kUrgent = tests::SlotHarness::kUrgent;
constexpr auto kLessUrgent = tests::SlotHarness::kLessUrgent;

}  // namespace

/// Requests that wait for slots of engines which grant them by priority.
class SlotWaitingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotWaitingTest);
  CPPUNIT_TEST(request_waits_at_three_full_engines_while_a_slot_is_useful);
  CPPUNIT_TEST(own_zone_comes_first_while_it_has_enough_engines);
  CPPUNIT_TEST(request_that_can_only_be_late_is_queued_nowhere);
  CPPUNIT_TEST(grant_that_comes_too_late_for_a_response_in_time_is_returned);
  CPPUNIT_TEST(returning_caller_waits_as_long_as_without_a_queue);
  CPPUNIT_TEST(granted_request_is_sent_with_its_priority_and_leaves_the_other_queues);
  CPPUNIT_TEST(a_grant_serves_its_request_alone);
  CPPUNIT_TEST(grant_after_the_wait_is_returned);
  CPPUNIT_TEST(grant_of_an_engine_that_takes_no_requests_is_returned);
  CPPUNIT_TEST(caller_that_disconnects_leaves_all_queues);
  CPPUNIT_TEST(last_denial_leads_to_untried_engines_and_then_to_a_refusal);
  CPPUNIT_TEST(retry_time_follows_the_expected_wait_within_the_time_that_callers_wait);
  CPPUNIT_TEST(request_waits_on_when_the_agents_with_its_reservations_are_lost);
  CPPUNIT_TEST(request_is_queued_elsewhere_when_reports_of_its_engines_stop);
  CPPUNIT_TEST(request_is_queued_as_soon_as_an_agent_keeps_a_queue);
  CPPUNIT_TEST(quarantined_request_is_refused_as_such_after_its_last_denial);
  CPPUNIT_TEST(agents_without_a_queue_and_services_with_one_priority_are_sent_nothing);
  CPPUNIT_TEST(freed_slot_is_not_reused_while_requests_wait_at_the_agent);
  CPPUNIT_TEST_SUITE_END();

  tests::SlotHarness harness;

  Duration useful_for() const { return harness.first_action<QueueForSlot>()->request.useful_for; }
  RefusalReason refusal_reason() const { return harness.first_action<SendRefusal>()->reason; }

 public:
  // The prediction for a full engine contains the wait for a slot, which must not be taken off the
  // time for which a slot is useful: no request would be queued.
  void request_waits_at_three_full_engines_while_a_slot_is_useful() {
    harness.configure();
    harness.add_full_engines(5);
    harness.send_request(kUrgent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.ports<QueueForSlot>().size());
    const SlotRequest request = harness.first_action<QueueForSlot>()->request;
    CPPUNIT_ASSERT_EQUAL(0, request.priority);
    CPPUNIT_ASSERT_EQUAL(3U, request.copies);
    CPPUNIT_ASSERT_EQUAL(100U, request.prompt_tokens);
    // 0.85 of the goal, less a pass and a half and the prefill of the prompt.
    CPPUNIT_ASSERT(useful_for() > milliseconds(220) && useful_for() < milliseconds(290));
    harness.advance(milliseconds(200));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.ports<LeaveSlotQueue>().size());
  }

  void own_zone_comes_first_while_it_has_enough_engines() {
    harness.configure();
    harness.add_full_engines(6);
    for (std::uint16_t port = 1; port <= 3; ++port) harness.report(port, 200);
    for (std::uint16_t port = 4; port <= 6; ++port) {
      BackendRecord record = *harness.pool.record_of("e" + std::to_string(port));
      record.zone = "z2";
      record.revision = ++harness.revision;
      harness.pool.on_record(record, harness.now);
    }
    harness.send_request(kUrgent);
    CPPUNIT_ASSERT(harness.ports<QueueForSlot>() == (std::set<std::uint16_t>{1, 2, 3}));
    harness.report(1, 200, 0, true);
    harness.send_request(kUrgent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.ports<QueueForSlot>().size());
    CPPUNIT_ASSERT(harness.ports<QueueForSlot>().contains(2) &&
                   harness.ports<QueueForSlot>().contains(3));
  }

  // Guards against slots that go to requests which are admitted nowhere else: their responses are
  // late, and cost others a response in time.
  void request_that_can_only_be_late_is_queued_nowhere() {
    FleetConfiguration slow = tests::SlotHarness::configuration();
    slow.services[0].engine->prompt_tokens_per_s = 100;  // A second for the prompt alone.
    harness.forwarder.set_routes(std::make_shared<RouteTable>(slow));
    harness.add_full_engines(3);
    harness.send_request(kUrgent);
    CPPUNIT_ASSERT(harness.ports<QueueForSlot>().empty());
    harness.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
  }

  void grant_that_comes_too_late_for_a_response_in_time_is_returned() {
    harness.configure();
    harness.add_full_engines(3);
    const RequestNumber request = harness.send_request(kUrgent);
    harness.now += useful_for() + milliseconds(1);
    for (std::uint16_t port = 1; port <= 3; ++port) harness.report(port);
    harness.grant(1, request);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    CPPUNIT_ASSERT(harness.ports<LeaveSlotQueue>().contains(1));
  }

  void returning_caller_waits_as_long_as_without_a_queue() {
    harness.configure();
    for (int count = 0; count < 30; ++count) harness.send_request(kUrgent);
    harness.advance(milliseconds(400));
    harness.now += seconds(1);
    harness.add_full_engines(3);
    harness.send_request(kUrgent, "key-1", milliseconds(4500));
    CPPUNIT_ASSERT(harness.first_action<QueueForSlot>()->request.returning);
    CPPUNIT_ASSERT(useful_for() == milliseconds(60));
    harness.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
  }

  void granted_request_is_sent_with_its_priority_and_leaves_the_other_queues() {
    harness.configure();
    harness.add_full_engines(3);
    const RequestNumber request = harness.send_request(kLessUrgent);
    harness.grant(2, request);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
    CPPUNIT_ASSERT(harness.first_action<SendToBackend>()->priority == 1);  // The second level.
    CPPUNIT_ASSERT(harness.ports<LeaveSlotQueue>() == (std::set<std::uint16_t>{1, 3}));
    harness.deny(1, request, SlotDenialReason::no_capacity);  // Crosses the withdrawal.
    CPPUNIT_ASSERT(harness.actions.empty());
  }

  // Guards against slots that are used twice: the agent has the withdrawal of a request that was
  // sent, and grants its slot to the next request of all gateways.
  void a_grant_serves_its_request_alone() {
    harness.configure();
    harness.add_full_engines(3);
    const RequestNumber first = harness.send_request(kUrgent);
    const RequestNumber second = harness.send_request(kUrgent);
    harness.grant(1, first);
    harness.grant(2, first);
    CPPUNIT_ASSERT(harness.actions.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.forwarder.slot_counters().returned);
    harness.grant(3, second);
    CPPUNIT_ASSERT_EQUAL(second, harness.first_action<SendToBackend>()->request);
    CPPUNIT_ASSERT_EQUAL(std::string("e3"), harness.sent_to());
  }

  // A gateway that was frozen reads old grants before its timer refuses the requests.
  void grant_after_the_wait_is_returned() {
    harness.configure();
    harness.add_full_engines(3);
    const RequestNumber request = harness.send_request(kUrgent);
    harness.now += seconds(2);
    for (std::uint16_t port = 1; port <= 3; ++port) harness.report(port);
    harness.grant(1, request);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    CPPUNIT_ASSERT(harness.ports<LeaveSlotQueue>().contains(1));
  }

  void grant_of_an_engine_that_takes_no_requests_is_returned() {
    harness.configure();
    harness.add_full_engines(3);
    const RequestNumber request = harness.send_request(kUrgent);
    harness.report(1, 1, 0, true);  // It changes weights.
    harness.grant(1, request);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    CPPUNIT_ASSERT(harness.ports<LeaveSlotQueue>() == (std::set<std::uint16_t>{1}));
    harness.grant(2, request);
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
  }

  void caller_that_disconnects_leaves_all_queues() {
    harness.configure();
    harness.add_full_engines(3);
    const RequestNumber request = harness.send_request(kUrgent);
    harness.actions.clear();
    harness.forwarder.on_caller_gone(request, harness.now, harness.actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.ports<LeaveSlotQueue>().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.waiting());
  }

  void last_denial_leads_to_untried_engines_and_then_to_a_refusal() {
    harness.configure();
    harness.add_full_engines(4);
    const RequestNumber request = harness.send_request(kLessUrgent);
    const std::set<std::uint16_t> first = harness.ports<QueueForSlot>();
    for (const std::uint16_t port : first)
      harness.deny(port, request, SlotDenialReason::no_capacity);
    const std::set<std::uint16_t> second = harness.ports<QueueForSlot>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
    CPPUNIT_ASSERT(!first.contains(*second.begin()));
    CPPUNIT_ASSERT_EQUAL(1U, harness.first_action<QueueForSlot>()->request.copies);
    harness.deny(*second.begin(), request, SlotDenialReason::more_urgent_first);
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    CPPUNIT_ASSERT(refusal_reason() == RefusalReason::more_urgent_first);
    CPPUNIT_ASSERT(harness.ports<LeaveSlotQueue>().empty());
    const RequestSummary summary = harness.forwarder.take_summaries().back();
    CPPUNIT_ASSERT_EQUAL(1, summary.priority);
    for (const std::uint16_t port : first) {
      const std::string denial = "e" + std::to_string(port) + "/no_capacity,";
      CPPUNIT_ASSERT(summary.denied_by.find(denial) != std::string::npos);
    }
    CPPUNIT_ASSERT(summary.denied_by.ends_with("/more_urgent_first"));
  }

  void retry_time_follows_the_expected_wait_within_the_time_that_callers_wait() {
    harness.configure();
    harness.add_full_engines(1);
    const auto retry_times = [&](Duration expected_wait) {
      std::set<Duration> times;
      for (int count = 0; count < 8; ++count) {
        const RequestNumber request = harness.send_request(kUrgent);
        harness.deny(1, request, SlotDenialReason::no_capacity, expected_wait);
        times.insert(harness.first_action<SendRefusal>()->retry_after);
      }
      CPPUNIT_ASSERT(times.size() > 4);
      return times;
    };
    CPPUNIT_ASSERT(*retry_times(milliseconds(10)).begin() >= milliseconds(900));
    CPPUNIT_ASSERT(*retry_times(milliseconds(950)).begin() >= milliseconds(950));
    // Callers with 6 s left wait for at most 2 s.
    CPPUNIT_ASSERT(*retry_times(milliseconds(1200)).begin() >= milliseconds(1200));
    CPPUNIT_ASSERT(*retry_times(milliseconds(1200)).rbegin() <= seconds(2));
    CPPUNIT_ASSERT(*retry_times(seconds(20)).rbegin() <= seconds(2));
  }

  // The loss of an agent is no denial; the gateway estimates, as without reports.
  void request_waits_on_when_the_agents_with_its_reservations_are_lost() {
    harness.configure();
    harness.add_full_engines(1);
    const RequestNumber request = harness.send_request(kUrgent);
    harness.pool.on_agent_lost(address(1));
    harness.actions.clear();
    harness.forwarder.on_slot_queue_lost(address(1), harness.now, harness.actions);
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
    CPPUNIT_ASSERT_EQUAL(request, harness.first_action<SendToBackend>()->request);
  }

  // The link to an agent that is cut off may stay open for long.
  void request_is_queued_elsewhere_when_reports_of_its_engines_stop() {
    FleetConfiguration patient = tests::SlotHarness::configuration();
    for (RouteRule& route : patient.routes) route.latency_goal = seconds(3);
    harness.forwarder.set_routes(std::make_shared<RouteTable>(patient));
    harness.add_full_engines(6);
    harness.send_request(kUrgent);
    const std::set<std::uint16_t> first = harness.ports<QueueForSlot>();
    harness.now += milliseconds(890);
    for (std::uint16_t port = 1; port <= 6; ++port) {
      if (!first.contains(port)) harness.report(port);
    }
    harness.advance(milliseconds(5));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(5));
    CPPUNIT_ASSERT(harness.ports<LeaveSlotQueue>() == first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.ports<QueueForSlot>().size());
    for (const std::uint16_t port : harness.ports<QueueForSlot>()) {
      CPPUNIT_ASSERT(!first.contains(port));
    }
  }

  void request_is_queued_as_soon_as_an_agent_keeps_a_queue() {
    harness.configure();
    harness.add_full_engines(3, false);
    harness.send_request(kUrgent);
    harness.advance(milliseconds(20));
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.report(2);
    harness.advance(milliseconds(20));
    CPPUNIT_ASSERT(harness.ports<QueueForSlot>() == (std::set<std::uint16_t>{2}));
    harness.advance(milliseconds(10));
    CPPUNIT_ASSERT(harness.actions.empty());
  }

  // A request in quarantine gets no retry time.
  void quarantined_request_is_refused_as_such_after_its_last_denial() {
    harness.configure();
    harness.add_full_engines(1);
    const RequestNumber request = harness.send_request(kUrgent);
    const RequestFingerprint fingerprint =
        fingerprint_for(fingerprint_content("POST", "api.example", kUrgent, ""), "acme");
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
      harness.quarantine.on_crash({{"c" + std::to_string(crash), 1}, harness.now, {fingerprint}});
    }
    CPPUNIT_ASSERT(harness.quarantine.quarantined(fingerprint, harness.now));
    harness.deny(1, request, SlotDenialReason::more_urgent_first);
    CPPUNIT_ASSERT(refusal_reason() == RefusalReason::quarantined);
    CPPUNIT_ASSERT(harness.first_action<SendRefusal>()->retry_after == Duration::zero());
  }

  void agents_without_a_queue_and_services_with_one_priority_are_sent_nothing() {
    harness.configure();
    harness.add_full_engines(3, false);
    harness.send_request(kUrgent);
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    harness.configure(0);
    for (std::uint16_t port = 1; port <= 3; ++port) harness.report(port);
    harness.send_request(kLessUrgent);
    CPPUNIT_ASSERT(harness.actions.empty());
    harness.advance(milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.actions.size());
    CPPUNIT_ASSERT(refusal_reason() == RefusalReason::no_capacity);
    harness.report(1, 0, 1);
    harness.send_request(kLessUrgent);
    CPPUNIT_ASSERT(!harness.first_action<SendToBackend>()->priority);
  }

  void freed_slot_is_not_reused_while_requests_wait_at_the_agent() {
    harness.configure();
    harness.add_full_engines(1);
    harness.report(1, 0, 1);
    const RequestNumber running = harness.send_request(kUrgent);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
    harness.now += milliseconds(20);
    harness.report(1, 1);
    harness.receive_head(running, 200, false, true);
    harness.complete_response(running);
    harness.send_request(kUrgent);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotWaitingTest);

}  // namespace pumicemast
