#include "gateway/quarantine/request_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "gateway/quarantine/crash_messages.h"
#include "gateway/quarantine/verdict_pull.h"
#include "support/gateway_harness.h"

namespace pumicemast {

using tests::GatewayHarness;

class RequestQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestQuarantineTest);
  CPPUNIT_TEST(three_crashes_quarantine_a_request);
  CPPUNIT_TEST(one_crash_seen_by_many_counts_once);
  CPPUNIT_TEST(a_complete_response_discounts_earlier_crashes);
  CPPUNIT_TEST(a_popular_request_is_not_quarantined_by_crashes_between_its_responses);
  CPPUNIT_TEST(a_crash_in_a_burst_counts_only_beside_another);
  CPPUNIT_TEST(a_burst_seen_by_a_gateway_that_is_warming_up_does_not_count);
  CPPUNIT_TEST(a_crash_that_turns_out_to_be_in_a_burst_is_reported_so);
  CPPUNIT_TEST(after_the_hold_one_more_crash_quarantines_again);
  CPPUNIT_TEST(a_popular_request_that_completed_recently_is_not_blamed);
  CPPUNIT_TEST(a_pardon_takes_effect_at_once);
  CPPUNIT_TEST(gateways_agree_in_any_order_of_updates);
  CPPUNIT_TEST(a_machine_that_just_booted_accepts_verdicts_older_than_its_clock);
  CPPUNIT_TEST(completions_are_passed_on_once);
  CPPUNIT_TEST(crash_updates_survive_encoding_and_decoding);
  CPPUNIT_TEST(the_requests_with_the_fewest_crashes_are_evicted_first);
  CPPUNIT_TEST(differing_verdicts_are_requested_with_growing_intervals);
  CPPUNIT_TEST(a_quarantined_request_is_refused_at_once_as_not_run);
  CPPUNIT_TEST(an_attempt_that_has_not_begun_is_cancelled_when_the_request_is_quarantined);
  CPPUNIT_TEST(a_request_that_may_have_crashed_a_third_back_end_is_not_sent_again);
  CPPUNIT_TEST(exits_of_plain_services_are_probed_for);
  CPPUNIT_TEST_SUITE_END();

 public:
  void three_crashes_quarantine_a_request() {
    crash("e1");
    crash("e2");
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    crash("e3");
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
    CPPUNIT_ASSERT(!quarantine_.quarantined(kOther, now_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.take_newly_quarantined().size());
    CPPUNIT_ASSERT(quarantine_.take_newly_quarantined().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.list(now_).size());
  }

  void one_crash_seen_by_many_counts_once() {
    for (int seen = 0; seen < 3; ++seen) {
      now_ += milliseconds(400);
      crash("e1");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(kRequest));
    // The same id after a restart: another crash.
    quarantine_.on_crash({{"e1", 2000}, now_, {kRequest}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine_.crash_count(kRequest));
  }

  void a_complete_response_discounts_earlier_crashes() {
    crash("e1");
    crash("e2");
    now_ += seconds(1);
    quarantine_.on_completed(kRequest, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(kRequest));
    // A late report of a crash before the completion.
    quarantine_.on_update({{{7, seconds(2), {kRequest}}}, {}}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(kRequest));
    now_ += seconds(1);
    now_ += seconds(30);
    crash("e3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(kRequest));
  }

  void a_popular_request_is_not_quarantined_by_crashes_between_its_responses() {
    for (int round = 0; round < 50; ++round) {
      crash("e" + std::to_string(round));
      now_ += milliseconds(100);
      quarantine_.on_completed(kRequest, now_);
      now_ += milliseconds(100);
    }
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    CPPUNIT_ASSERT(quarantine_.take_newly_quarantined().empty());
  }

  void a_crash_in_a_burst_counts_only_beside_another() {
    for (const char* backend : {"e1", "e2", "e3", "e4"}) {
      quarantine_.on_crash({{backend, 1}, now_, {kRequest}, true});
      now_ += seconds(2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(kRequest));
    // A request that was running in several crashes of one burst may have caused it.
    for (const char* backend : {"f1", "f2", "f3"}) {
      quarantine_.on_crash({{backend, 1}, now_, {kRequest}, true});
      now_ += milliseconds(60);
    }
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
  }

  void a_burst_seen_by_a_gateway_that_is_warming_up_does_not_count() {
    RequestQuarantine warming_up({}, now_ - milliseconds(100));
    for (const char* backend : {"e1", "e2", "e3"}) {
      warming_up.on_crash({{backend, 1000}, now_, {kRequest}, true});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, warming_up.crash_count(kRequest));
    // Its reports don't count at another gateway either; those of a warmed-up gateway of the same
    // crashes do.
    quarantine_.on_update(warming_up.take_update(now_), now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(kRequest));
    for (const char* backend : {"e1", "e2", "e3"}) {
      quarantine_.on_crash({{backend, 1000}, now_, {kRequest}, true});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine_.crash_count(kRequest));
    warming_up.on_update(quarantine_.take_update(now_), now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, warming_up.crash_count(kRequest));
    // Crashes outside a burst count at once.
    RequestQuarantine another({}, now_);
    for (const char* backend : {"e1", "e2", "e3"}) {
      another.on_crash({{backend, 1000}, now_, {kRequest}});
    }
    CPPUNIT_ASSERT(another.quarantined(kRequest, now_));
  }

  // When one message contained a crash twice, first as single and then as part of a burst, other
  // gateways kept the first entry.
  void a_crash_that_turns_out_to_be_in_a_burst_is_reported_so() {
    crash("e1");
    quarantine_.on_crash({{"e1", 1000}, now_, {kRequest}, true});
    const CrashUpdate update = quarantine_.take_update(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.crashes.size());
    CPPUNIT_ASSERT(update.crashes[0].in_burst);
  }

  void after_the_hold_one_more_crash_quarantines_again() {
    quarantine_request();
    now_ += seconds(599);
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
    now_ += seconds(1);
    quarantine_.sweep(now_);
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    crash("e4");
    now_ += seconds(1199);  // The hold is doubled.
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
    now_ += seconds(1);
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    now_ += seconds(1200);
    quarantine_.sweep(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(kRequest));
  }

  // Many callers send the request, so that it is running on every engine that another request
  // crashes.
  void a_popular_request_that_completed_recently_is_not_blamed() {
    quarantine_.on_completed(kRequest, now_);
    now_ += seconds(1);
    quarantine_request();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(kRequest));
    // There was no complete response for a long time: with new weights, the request may crash back
    // ends.
    now_ += seconds(30);
    quarantine_request();
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
  }

  void a_pardon_takes_effect_at_once() {
    quarantine_request();
    const std::uint64_t digest = quarantine_.verdict_digest(now_);
    quarantine_.set_pardoned({kRequest});
    CPPUNIT_ASSERT(!quarantine_.quarantined(kRequest, now_));
    // The evidence is kept: gateways with different settings still agree on it.
    CPPUNIT_ASSERT_EQUAL(digest, quarantine_.verdict_digest(now_));
    quarantine_.set_pardoned({});
    CPPUNIT_ASSERT(quarantine_.quarantined(kRequest, now_));
  }

  void gateways_agree_in_any_order_of_updates() {
    std::minstd_rand random(1);
    for (int round = 0; round < 200; ++round) {
      std::vector<CrashUpdate> updates;
      for (std::uint64_t backend = 1; backend <= 5; ++backend) {
        const auto request = backend % 2 == 0 ? kRequest : kOther;
        updates.push_back(
            {{{backend, seconds(static_cast<std::int64_t>(backend)), {request}}}, {}});
        updates.push_back(updates.back());
      }
      updates.push_back({{{9, seconds(1), {kOther}}}, {}});
      updates.push_back({{}, {{kRequest, seconds(3)}}});
      RequestQuarantine first;
      RequestQuarantine second;
      std::shuffle(updates.begin(), updates.end(), random);
      for (const CrashUpdate& update : updates) first.on_update(update, now_);
      std::shuffle(updates.begin(), updates.end(), random);
      for (const CrashUpdate& update : updates) second.on_update(update, now_);
      CPPUNIT_ASSERT_EQUAL(first.verdict_digest(now_), second.verdict_digest(now_));
      CPPUNIT_ASSERT(first.quarantined(kOther, now_));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.crash_count(kRequest));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.crash_count(kRequest));
    }
  }

  // Updates contain ages, and the clock of a machine counts from its boot.
  void a_machine_that_just_booted_accepts_verdicts_older_than_its_clock() {
    const TimePoint just_started{seconds(2)};
    RequestQuarantine started;
    for (std::uint64_t backend = 1; backend <= 3; ++backend) {
      started.on_update({{{backend, seconds(60), {kRequest}}}, {}}, just_started);
    }
    CPPUNIT_ASSERT(started.quarantined(kRequest, just_started));
    CPPUNIT_ASSERT(started.quarantined(kRequest, just_started + seconds(539)));
    CPPUNIT_ASSERT(!started.quarantined(kRequest, just_started + seconds(540)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, started.verdicts(just_started).crashes.size());
    started.on_update({{}, {{kRequest, seconds(30)}}}, just_started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, started.crash_count(kRequest));
  }

  void completions_are_passed_on_once() {
    crash("e1");
    quarantine_.take_update(now_);
    now_ += seconds(1);
    quarantine_.on_completed(kRequest, now_);
    const CrashUpdate update = quarantine_.take_update(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, update.completions.size());
    // The update comes back through other gateways, some milliseconds older.
    for (int echo = 0; echo < 5; ++echo) {
      now_ += milliseconds(20);
      CPPUNIT_ASSERT(!quarantine_.on_update(update, now_));
      CPPUNIT_ASSERT(quarantine_.take_update(now_).empty());
    }
  }

  void crash_updates_survive_encoding_and_decoding() {
    const CrashUpdate update{
        {{5, milliseconds(120), {kRequest, kOther}}, {6, seconds(5), {kOther}}},
        {{kRequest, milliseconds(7)}}};
    const wire::RequestCrashesT encoded = encode(update);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::RequestCrashes::Pack(builder, &encoded));
    const auto* message = flatbuffers::GetRoot<wire::RequestCrashes>(builder.GetBufferPointer());
    const CrashUpdate decoded = decode(*message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.crashes.size());
    CPPUNIT_ASSERT(decoded.crashes[0].requests == update.crashes[0].requests);
    CPPUNIT_ASSERT(decoded.crashes[0].age == milliseconds(120));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, decoded.crashes[1].backend);
    CPPUNIT_ASSERT(decoded.completions.at(0).suspect == CrashSuspect(kRequest));
    CPPUNIT_ASSERT(decoded.completions.at(0).age == milliseconds(7));
  }

  void the_requests_with_the_fewest_crashes_are_evicted_first() {
    QuarantineOptions options;
    options.capacity = 3;
    RequestQuarantine small(options);
    const auto crash_under = [&](std::uint64_t request, const char* backend) {
      now_ += seconds(1);
      small.on_crash({{backend, 1}, now_, {{request, request}}});
    };
    for (const char* backend : {"e1", "e2", "e3"}) crash_under(1, backend);
    crash_under(2, "e1");
    crash_under(2, "e2");
    for (std::uint64_t request = 3; request < 10; ++request) crash_under(request, "e5");
    CPPUNIT_ASSERT(small.quarantined(RequestFingerprint{1, 1}, now_));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, small.crash_count(RequestFingerprint{2, 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, small.crash_count(RequestFingerprint{8, 8}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, small.crash_count(RequestFingerprint{9, 9}));
  }

  void differing_verdicts_are_requested_with_growing_intervals() {
    VerdictPull pull;
    CPPUNIT_ASSERT(!pull.should_request(1, 5, 5, now_));
    CPPUNIT_ASSERT(!pull.should_request(1, 0, 5, now_));
    int requested = 0;
    for (int tell = 0; tell < 1200; ++tell, now_ += milliseconds(500)) {
      requested += pull.should_request(1, 5, 6, now_) ? 1 : 0;
    }
    CPPUNIT_ASSERT(requested >= 8 && requested <= 14);  // In ten minutes.
    CPPUNIT_ASSERT(pull.should_request(1, 7, 6, now_));
  }

  void a_quarantined_request_is_refused_at_once_as_not_run() {
    GatewayHarness harness;
    harness.add_engines();
    const RequestFingerprint request = quarantine_in(harness);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(503, harness.refusal_status());
    CPPUNIT_ASSERT(harness.first_action<SendRefusal>()->reason == RefusalReason::quarantined);
    CPPUNIT_ASSERT(harness.first_action<SendRefusal>()->retry_after == Duration::zero());
    CPPUNIT_ASSERT(harness.sent_to().empty());
    harness.send_request("/chat/2");
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    harness.quarantine.set_pardoned({request});
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT(!harness.sent_to().empty());
  }

  void an_attempt_that_has_not_begun_is_cancelled_when_the_request_is_quarantined() {
    GatewayHarness harness;
    harness.add_engines();
    const RequestNumber waiting = harness.send_request("/chat/1");
    const RequestNumber begun = harness.send_request("/chat/1");
    harness.receive_head(begun, 200, false, true);
    harness.receive_body(begun, "id: 1\ndata: x\n\n");
    quarantine_in(harness);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    CPPUNIT_ASSERT_EQUAL(waiting, harness.first_action<CancelAttempt>()->request);
    // The attempt may have started meanwhile: the refusal does not say that it was not run.
    CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.forwarder.active());
    // The response completes: the verdict was wrong.
    harness.receive_body(begun, "id: 2\ndata: y\n\n");
    harness.complete_response(begun);
    CPPUNIT_ASSERT(harness.first_action<EndResponse>() != nullptr);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT(!harness.sent_to().empty());
  }

  void a_request_that_may_have_crashed_a_third_back_end_is_not_sent_again() {
    GatewayHarness harness;
    harness.add_engines();
    const RequestFingerprint request = fingerprint("/chat/1");
    for (const char* backend : {"x1", "x2"}) {
      harness.quarantine.on_crash({{backend, 1}, harness.now, {request}});
    }
    const RequestNumber third = harness.send_request("/chat/1");
    const RequestNumber bystander = harness.send_request("/chat/2");
    harness.fail_attempt(bystander, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    harness.fail_attempt(third, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
  }

  void exits_of_plain_services_are_probed_for() {
    GatewayHarness harness;
    harness.configure();
    harness.add_backend("p1", "plain", 7);
    const RequestNumber number = harness.send_request("/write/1");
    harness.fail_attempt(number, AttemptFailure::connection_lost);
    const auto* probe = harness.first_action<ProbeBackend>();
    CPPUNIT_ASSERT(probe != nullptr && probe->backend == "p1");
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7}, probe->address.port);
    harness.forwarder.on_backend_ended("p1", harness.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         harness.forwarder.take_crashes(harness.now + seconds(1)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.quarantine.crash_count(fingerprint("/write/1")));
  }

 private:
  static constexpr RequestFingerprint kRequest{1, 1};
  static constexpr RequestFingerprint kOther{2, 2};

  void crash(const std::string& backend) {
    quarantine_.on_crash({{backend, 1000}, now_, {kRequest}});
  }
  void quarantine_request() {
    for (const char* backend : {"e1", "e2", "e3"}) crash(backend);
  }
  /// Fingerprint of the request that GatewayHarness::send_request() sends to `target`.
  static RequestFingerprint fingerprint(const std::string& target) {
    return fingerprint_for(fingerprint_content("POST", "api.example", target, ""), "acme");
  }
  static RequestFingerprint quarantine_in(GatewayHarness& harness) {
    const RequestFingerprint request = fingerprint("/chat/1");
    for (const char* backend : {"x1", "x2", "x3"}) {
      harness.quarantine.on_crash({{backend, 1}, harness.now, {request}});
    }
    return request;
  }

  RequestQuarantine quarantine_;
  TimePoint now_{seconds(10000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineTest);

}  // namespace pumicemast
