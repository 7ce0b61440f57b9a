#include "fleet/backend_notice.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gateway/peers/gateway_digest.h"
#include "support/gateway_harness.h"

namespace pumicemast {

/// What a back end says of itself in its responses binds the gateway that receives them.
class BackendNoticeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendNoticeTest);
  CPPUNIT_TEST(a_back_end_that_announces_its_leaving_gets_no_new_request);
  CPPUNIT_TEST(an_announced_leaving_outlasts_list_entries_that_say_ready);
  CPPUNIT_TEST(other_gateways_get_an_announced_leaving_in_digests);
  CPPUNIT_TEST(a_forwarded_announcement_binds_only_the_named_incarnation);
  CPPUNIT_TEST(a_leaving_engine_known_from_its_agent_gets_nothing_while_the_report_is_current);
  CPPUNIT_TEST(a_leaving_known_from_an_agent_outlasts_the_loss_of_the_agent);
  CPPUNIT_TEST(a_leaving_that_an_agent_confirms_is_passed_on_to_other_gateways);
  CPPUNIT_TEST(a_leaving_of_the_listed_process_is_passed_on_at_the_first_report);
  CPPUNIT_TEST(an_unconfirmed_leaving_is_not_passed_on);
  CPPUNIT_TEST(an_announced_leaving_ends_with_its_incarnation);
  CPPUNIT_TEST(a_back_end_that_asks_for_a_pause_gets_no_request_until_its_end);
  CPPUNIT_TEST(a_retry_respects_a_pause);
  CPPUNIT_TEST(an_earlier_pause_does_not_shorten_a_later_one);
  CPPUNIT_TEST(after_a_pause_single_requests_are_sent_until_one_is_accepted);
  CPPUNIT_TEST(a_late_response_does_not_end_a_pause);
  CPPUNIT_TEST(while_all_back_ends_pause_callers_are_refused_at_once_and_told_when_to_return);
  CPPUNIT_TEST(a_request_waits_for_a_pause_that_ends_in_time);
  CPPUNIT_TEST(callers_that_return_after_a_pause_are_spread_out);
  CPPUNIT_TEST(a_restarted_back_end_is_not_paused);
  CPPUNIT_TEST(a_pause_outlasts_a_lapsed_list_entry);
  CPPUNIT_TEST_SUITE_END();

  tests::GatewayHarness harness;

  static BackendNotice leaving() {
    BackendNotice notice;
    notice.leaving = true;
    return notice;
  }
  static BackendNotice pause(Duration duration) {
    BackendNotice notice;
    notice.pushback = duration;
    return notice;
  }
  /// Sends a request and lets its back end refuse it with a request for a pause.
  /// @return the back end.
  std::string refuse_with_pause(const std::string& target, Duration duration) {
    const RequestNumber request = harness.send_request(target);
    const std::string backend = harness.sent_to();
    harness.receive_head(request, 503, true, false, pause(duration));
    harness.complete_response(request);
    return backend;
  }
  /// The back ends that the next requests are sent to, each of which is answered at once.
  std::set<std::string> recipients(const std::string& target) {
    std::set<std::string> backends;
    for (int count = 0; count < 20; ++count) {
      const RequestNumber request = harness.send_request(target);
      if (!harness.sent_to().empty()) backends.insert(harness.sent_to());
      harness.receive_head(request, 200);
      harness.complete_response(request);
    }
    return backends;
  }

 public:
  void setUp() override {
    harness.configure();
    harness.add_backend("p1", "plain", 1);
    harness.add_backend("p2", "plain", 2);
  }

  void a_back_end_that_announces_its_leaving_gets_no_new_request() {
    const RequestNumber request = harness.send_request("/read/1");
    const std::string left = harness.sent_to();
    harness.receive_head(request, 200, false, false, leaving());
    harness.complete_response(request);
    const std::set<std::string> others = recipients("/read/2");
    CPPUNIT_ASSERT(!others.empty());
    CPPUNIT_ASSERT(!others.contains(left));
  }

  void an_announced_leaving_outlasts_list_entries_that_say_ready() {
    const RequestNumber request = harness.send_request("/read/1");
    const std::string left = harness.sent_to();
    harness.receive_head(request, 200, false, false, leaving());
    harness.complete_response(request);
    harness.add_backend(left, "plain", left == "p1" ? 1 : 2);  // A newer entry.
    CPPUNIT_ASSERT(!recipients("/read/2").contains(left));
    // The entry lapses while the list is unreadable, and comes back.
    harness.pool.on_removed(left, ++harness.revision, harness.now);
    harness.now += seconds(10);
    harness.pool.sweep(harness.now);
    harness.add_backend(left, "plain", left == "p1" ? 1 : 2);
    CPPUNIT_ASSERT(!recipients("/read/3").contains(left));
  }

  void other_gateways_get_an_announced_leaving_in_digests() {
    GossipState state;
    const BackendIncarnation first{"e1", 7};
    BackendDepartures departures;
    CPPUNIT_ASSERT(departures.on_announced(first, harness.now));
    CPPUNIT_ASSERT(!departures.on_announced(first, harness.now + seconds(1)));
    state.announced_departures = departures.recently_announced(harness.now);
    flatbuffers::FlatBufferBuilder builder;
    const wire::GatewayDigestT message = encode(state, harness.now);
    builder.Finish(wire::GatewayDigest::Pack(builder, &message));
    const auto* digest = flatbuffers::GetRoot<wire::GatewayDigest>(builder.GetBufferPointer());
    CPPUNIT_ASSERT(decode(*digest, harness.now).announced_departures ==
                   std::vector<BackendIncarnation>{first});
    // All gateways know it by then.
    CPPUNIT_ASSERT(departures.recently_announced(harness.now + seconds(11)).empty());
    CPPUNIT_ASSERT(departures.announced(first));
  }

  void a_forwarded_announcement_binds_only_the_named_incarnation() {
    harness.pool.on_announced_departure({"p1", 5}, harness.now);
    CPPUNIT_ASSERT(recipients("/read/1").contains("p1"));
    harness.pool.on_announced_departure({"p1", 0}, harness.now);
    CPPUNIT_ASSERT(!recipients("/read/2").contains("p1"));
    harness.pool.on_announced_departure({"unknown", 0}, harness.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.pool.departures().announced_count());
  }

  void a_leaving_engine_known_from_its_agent_gets_nothing_while_the_report_is_current() {
    harness.add_engines();
    report_leaving();
    CPPUNIT_ASSERT(!recipients("/chat/1").contains("e1"));
    harness.report_load(1, 4, 1);  // Another process answers at the address.
    harness.report_load(2, 0, 1);
    CPPUNIT_ASSERT(recipients("/chat/2").contains("e1"));
  }

  void report_leaving(std::int64_t started_at_ms = 0) {
    LoadReport report;
    report.alive = report.leaving = true;
    report.weight_version = 1;
    report.credit = 4;
    report.started_at_ms = started_at_ms;
    harness.pool.on_report({"127.0.0.1", 1}, report, harness.now);
  }
  std::vector<BackendIncarnation> passed_on() {
    return harness.pool.departures().recently_announced(harness.now);
  }

  void a_leaving_known_from_an_agent_outlasts_the_loss_of_the_agent() {
    harness.add_engines();
    report_leaving();
    harness.pool.on_agent_lost({"127.0.0.1", 1});
    harness.pool.on_agent_lost({"127.0.0.1", 2});
    CPPUNIT_ASSERT(recipients("/chat/1") == std::set<std::string>{"e2"});
    harness.now += seconds(5);
    CPPUNIT_ASSERT(recipients("/chat/2") == std::set<std::string>{"e2"});
    harness.report_load(1, 4, 1);  // Another process answers at the address.
    harness.report_load(2, 0, 1);
    CPPUNIT_ASSERT(recipients("/chat/3").contains("e1"));
  }

  void a_leaving_that_an_agent_confirms_is_passed_on_to_other_gateways() {
    harness.add_engines();
    for (int report = 0; report < 12; ++report) {
      report_leaving();
      harness.now += milliseconds(100);
    }
    CPPUNIT_ASSERT((passed_on() == std::vector<BackendIncarnation>{{"e1", 0}}));
  }

  void a_leaving_of_the_listed_process_is_passed_on_at_the_first_report() {
    harness.add_engines();
    BackendRecord restarted = *harness.pool.record_of("e1");
    restarted.started_at_ms = 5;
    restarted.revision = ++harness.revision;
    harness.pool.on_record(restarted, harness.now);
    for (int report = 0; report < 12; ++report) {
      report_leaving(4);  // Of the process before.
      harness.now += milliseconds(100);
    }
    CPPUNIT_ASSERT(passed_on().empty());
    report_leaving(5);
    CPPUNIT_ASSERT((passed_on() == std::vector<BackendIncarnation>{{"e1", 5}}));
  }

  void an_unconfirmed_leaving_is_not_passed_on() {
    harness.add_engines();
    report_leaving();
    harness.now += seconds(3);
    report_leaving();  // The reports between were lost.
    harness.now += milliseconds(500);
    harness.report_load(1, 4, 1);
    harness.now += milliseconds(500);
    report_leaving();
    CPPUNIT_ASSERT(passed_on().empty());
  }

  void an_announced_leaving_ends_with_its_incarnation() {
    const RequestNumber request = harness.send_request("/read/1");
    const std::string left = harness.sent_to();
    harness.receive_head(request, 200, false, false, leaving());
    harness.complete_response(request);
    BackendRecord restarted = *harness.pool.record_of(left);
    restarted.started_at_ms = 5;
    restarted.revision = ++harness.revision;
    restarted.draining = false;
    harness.pool.on_record(restarted, harness.now);
    CPPUNIT_ASSERT(recipients("/read/2").contains(left));
  }

  void a_back_end_that_asks_for_a_pause_gets_no_request_until_its_end() {
    const std::string paused = refuse_with_pause("/write/1", seconds(3));
    harness.now += milliseconds(500);
    CPPUNIT_ASSERT(!recipients("/read/2").contains(paused));
    harness.now += milliseconds(2400);
    CPPUNIT_ASSERT(!recipients("/read/3").contains(paused));
    harness.now += milliseconds(200);
    CPPUNIT_ASSERT(recipients("/read/4").contains(paused));
  }

  void a_retry_respects_a_pause() {
    refuse_with_pause("/write/1", seconds(3));
    harness.now += milliseconds(500);
    const RequestNumber request = harness.send_request("/read/1");
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    harness.fail_attempt(request, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
  }

  void an_earlier_pause_does_not_shorten_a_later_one() {
    const RequestNumber first = harness.send_request("/write/1");
    const std::string paused = harness.sent_to();
    RequestNumber second = harness.send_request("/write/2");
    while (harness.sent_to() != paused) second = harness.send_request("/write/2");
    harness.receive_head(first, 503, true, false, pause(seconds(3)));
    harness.complete_response(first);
    harness.receive_head(second, 503, true, false, pause(milliseconds(100)));
    harness.complete_response(second);
    harness.now += seconds(2);
    CPPUNIT_ASSERT(!recipients("/read/2").contains(paused));
  }

  /// Number of requests that reach `backend` when twenty are sent at once.
  int count_sent_to(const std::string& backend, RequestNumber* last = nullptr) {
    int count = 0;
    for (int sent = 0; sent < 20; ++sent) {
      const RequestNumber request = harness.send_request("/write/1");
      if (harness.sent_to() != backend) continue;
      ++count;
      if (last != nullptr) *last = request;
    }
    return count;
  }

  void after_a_pause_single_requests_are_sent_until_one_is_accepted() {
    const std::string paused = refuse_with_pause("/write/1", seconds(3));
    harness.now += milliseconds(3001);
    RequestNumber trial = 0;
    CPPUNIT_ASSERT_EQUAL(1, count_sent_to(paused, &trial));
    harness.receive_head(trial, 503, true, false, pause(seconds(1)));
    harness.complete_response(trial);
    CPPUNIT_ASSERT_EQUAL(0, count_sent_to(paused));
    harness.now += milliseconds(1001);
    CPPUNIT_ASSERT_EQUAL(1, count_sent_to(paused, &trial));
    harness.receive_head(trial, 200);
    CPPUNIT_ASSERT(count_sent_to(paused) > 1);
  }

  void a_late_response_does_not_end_a_pause() {
    const RequestNumber earlier = harness.send_request("/write/1");
    const std::string backend = harness.sent_to();
    RequestNumber refused = harness.send_request("/write/2");
    while (harness.sent_to() != backend) refused = harness.send_request("/write/2");
    harness.receive_head(refused, 503, true, false, pause(seconds(3)));
    harness.complete_response(refused);
    harness.now += seconds(1);
    harness.receive_head(earlier, 200);
    harness.complete_response(earlier);
    CPPUNIT_ASSERT_EQUAL(0, count_sent_to(backend));
  }

  void while_all_back_ends_pause_callers_are_refused_at_once_and_told_when_to_return() {
    refuse_with_pause("/write/1", seconds(2));
    refuse_with_pause("/write/2", milliseconds(1200));
    harness.now += milliseconds(100);
    harness.send_request("/read/1");
    const auto* refusal = harness.first_action<SendRefusal>();
    CPPUNIT_ASSERT(refusal != nullptr);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::backends_paused);
    CPPUNIT_ASSERT(refusal->retry_after >= milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.forwarder.waiting());
  }

  void a_request_waits_for_a_pause_that_ends_in_time() {
    refuse_with_pause("/write/1", seconds(2));
    const std::string first_back = refuse_with_pause("/write/2", milliseconds(40));
    harness.now += milliseconds(10);
    harness.send_request("/read/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.forwarder.waiting());
    harness.advance(milliseconds(51));
    CPPUNIT_ASSERT_EQUAL(first_back, harness.sent_to());
  }

  void callers_that_return_after_a_pause_are_spread_out() {
    refuse_with_pause("/write/1", seconds(1));
    refuse_with_pause("/write/2", seconds(1));
    Duration shortest = seconds(9);
    Duration longest = Duration::zero();
    for (int count = 0; count < 50; ++count) {
      harness.send_request("/read/1");
      const Duration retry_after = harness.first_action<SendRefusal>()->retry_after;
      shortest = std::min(shortest, retry_after);
      longest = std::max(longest, retry_after);
    }
    CPPUNIT_ASSERT(shortest >= seconds(1));
    CPPUNIT_ASSERT(longest - shortest > seconds(1));
  }

  void a_restarted_back_end_is_not_paused() {
    const std::string paused = refuse_with_pause("/write/1", seconds(30));
    BackendRecord restarted = *harness.pool.record_of(paused);
    restarted.started_at_ms = 5;
    restarted.revision = ++harness.revision;
    harness.pool.on_record(restarted, harness.now);
    harness.now += seconds(1);
    CPPUNIT_ASSERT(recipients("/read/2").contains(paused));
  }

  void a_pause_outlasts_a_lapsed_list_entry() {
    const std::string paused = refuse_with_pause("/write/1", seconds(30));
    harness.pool.on_removed(paused, ++harness.revision, harness.now);
    harness.now += seconds(10);
    harness.pool.sweep(harness.now);
    harness.add_backend(paused, "plain", paused == "p1" ? 1 : 2);
    CPPUNIT_ASSERT(!recipients("/read/2").contains(paused));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendNoticeTest);

}  // namespace pumicemast
