#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "gateway/quarantine/crash_messages.h"
#include "gateway/quarantine/request_quarantine.h"
#include "support/gateway_harness.h"

namespace pumicemast {

using tests::GatewayHarness;

/// Shared parts of prompts under which back ends crash.
class PromptPartQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptPartQuarantineTest);
  CPPUNIT_TEST(crashes_of_different_requests_count_against_their_common_part);
  CPPUNIT_TEST(crashes_under_one_repeated_request_count_once_against_its_parts);
  CPPUNIT_TEST(crashes_of_a_burst_count_once_against_a_part);
  CPPUNIT_TEST(gateways_agree_on_parts_in_any_order_of_updates);
  CPPUNIT_TEST(a_complete_response_to_any_request_with_the_part_clears_it);
  CPPUNIT_TEST(a_part_that_another_gateway_completed_lately_is_not_blamed);
  CPPUNIT_TEST(a_gateway_that_is_warming_up_blames_no_part);
  CPPUNIT_TEST(a_gateway_without_recent_responses_blames_no_part);
  CPPUNIT_TEST(a_part_and_a_request_with_equal_fingerprints_are_different_suspects);
  CPPUNIT_TEST(verdicts_on_parts_reach_a_gateway_that_has_just_started);
  CPPUNIT_TEST(verdicts_are_not_displaced_by_parts_that_complete);
  CPPUNIT_TEST(parts_made_up_for_each_request_displace_no_verdict);
  CPPUNIT_TEST(the_same_part_of_another_model_is_not_blamed);
  CPPUNIT_TEST(a_request_with_a_quarantined_part_is_refused_at_once_without_a_retry_time);
  CPPUNIT_TEST(an_attempt_that_has_not_begun_is_cancelled_when_its_part_is_quarantined);
  CPPUNIT_TEST(a_request_whose_part_may_have_crashed_a_third_back_end_is_not_sent_again);
  CPPUNIT_TEST_SUITE_END();

  static constexpr RequestFingerprint kPartFingerprint{7, 7};

  TimePoint now_{seconds(1000)};
  std::uint64_t next_ = 1;
  RequestQuarantine quarantine_;

  static CrashSuspect part() { return {kPartFingerprint, SuspectKind::prompt_part}; }

  /// A crash under a request that no other crash has, with the part.
  BackendCrash crash() {
    now_ += seconds(1);
    const RequestFingerprint request{++next_, next_};
    return {{"e" + std::to_string(next_), 1},
            now_,
            {request},
            false,
            {{"bad", kPartFingerprint, next_}}};
  }

 public:
  void crashes_of_different_requests_count_against_their_common_part() {
    for (int crashes = 0; crashes < 3; ++crashes) {
      CPPUNIT_ASSERT(!quarantine_.quarantined(part(), now_));
      quarantine_.on_crash(crash());
    }
    CPPUNIT_ASSERT(quarantine_.quarantined(part(), now_));
    const CrashSuspects found = quarantine_.take_newly_quarantined();
    CPPUNIT_ASSERT(found == CrashSuspects{part()});
    CPPUNIT_ASSERT(quarantine_.list(now_).at(0).suspect == part());
    quarantine_.set_pardoned({kPartFingerprint});
    CPPUNIT_ASSERT(!quarantine_.quarantined(part(), now_));
  }

  void crashes_under_one_repeated_request_count_once_against_its_parts() {
    for (int crashes = 0; crashes < 5; ++crashes) {
      BackendCrash repeated = crash();
      repeated.prompt_parts[0].carrier = 1;
      quarantine_.on_crash(repeated);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(part()));
  }

  void crashes_of_a_burst_count_once_against_a_part() {
    for (int bursts = 0; bursts < 2; ++bursts) {
      for (int crashes = 0; crashes < 4; ++crashes) {
        BackendCrash in_burst = crash();
        in_burst.in_burst = true;
        now_ -= milliseconds(950);
        in_burst.at = now_;
        quarantine_.on_crash(in_burst);
      }
      now_ += seconds(5);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine_.crash_count(part()));
  }

  void gateways_agree_on_parts_in_any_order_of_updates() {
    std::vector<CrashUpdate> updates;
    for (int crashes = 0; crashes < 4; ++crashes) {
      for (const std::uint64_t carrier : {9, 4}) {
        RequestQuarantine observer;
        BackendCrash seen = crash();
        seen.backend = {"e" + std::to_string(crashes), 1};
        seen.at = TimePoint(seconds(1000 + crashes));
        seen.prompt_parts[0].carrier = carrier + static_cast<std::uint64_t>(crashes % 3);
        observer.on_crash(seen);
        updates.push_back(observer.take_update(TimePoint(seconds(1010))));
      }
    }
    std::mt19937 random(7);
    for (int round = 0; round < 50; ++round) {
      std::shuffle(updates.begin(), updates.end(), random);
      RequestQuarantine learning;
      for (const CrashUpdate& update : updates)
        learning.on_update(update, TimePoint(seconds(1010)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, learning.crash_count(part()));
    }
  }

  void a_complete_response_to_any_request_with_the_part_clears_it() {
    quarantine_.on_crash(crash());
    quarantine_.on_crash(crash());
    quarantine_.on_completed({RequestFingerprint{9, 9}, part()}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(part()));
    quarantine_.on_crash(crash());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(part()));
    // It is sound for an hour and crashes back ends from now on, while other parts complete.
    now_ += seconds(3600);
    for (int crashes = 0; crashes < 3; ++crashes) {
      quarantine_.on_completed(CrashSuspect({5, 5}, SuspectKind::prompt_part), now_);
      now_ += seconds(1);
      quarantine_.on_crash(crash());
    }
    CPPUNIT_ASSERT(quarantine_.quarantined(part(), now_));
  }

  void a_part_that_another_gateway_completed_lately_is_not_blamed() {
    RequestQuarantine other;
    other.on_completed({RequestFingerprint{9, 9}, part()}, now_);
    for (int crashes = 0; crashes < 3; ++crashes) quarantine_.on_crash(crash());
    CPPUNIT_ASSERT(quarantine_.quarantined(part(), now_));
    other.on_update(quarantine_.take_update(now_), now_);
    CPPUNIT_ASSERT(!other.quarantined(part(), now_));
    quarantine_.on_update(other.take_update(now_), now_);
    CPPUNIT_ASSERT(!quarantine_.quarantined(part(), now_));
  }

  void a_gateway_that_is_warming_up_blames_no_part() {
    RequestQuarantine starting({}, now_);
    for (int crashes = 0; crashes < 4; ++crashes) starting.on_crash(crash());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, starting.crash_count(part()));
    quarantine_.on_update(starting.take_update(now_), now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(part()));
    starting.on_completed(CrashSuspect({5, 5}, SuspectKind::prompt_part), now_);
    now_ += milliseconds(100);
    for (int crashes = 0; crashes < 3; ++crashes) starting.on_crash(crash());
    CPPUNIT_ASSERT(starting.quarantined(part(), now_));
  }

  void a_gateway_without_recent_responses_blames_no_part() {
    const CrashSuspect sound({5, 5}, SuspectKind::prompt_part);
    quarantine_.on_completed(sound, now_);
    now_ += seconds(60);
    for (int crashes = 0; crashes < 4; ++crashes) quarantine_.on_crash(crash());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(part()));
    // All back ends are back: their first responses tell little yet.
    quarantine_.on_completed(sound, now_);
    now_ -= milliseconds(500);
    quarantine_.on_crash(crash());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine_.crash_count(part()));
    quarantine_.on_crash(crash());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(part()));
  }

  void a_part_and_a_request_with_equal_fingerprints_are_different_suspects() {
    for (int crashes = 0; crashes < 3; ++crashes) quarantine_.on_crash(crash());
    CPPUNIT_ASSERT(!quarantine_.quarantined(kPartFingerprint, now_));
    quarantine_.on_completed(kPartFingerprint, now_);
    CPPUNIT_ASSERT(quarantine_.quarantined(part(), now_));
  }

  void verdicts_on_parts_reach_a_gateway_that_has_just_started() {
    for (int crashes = 0; crashes < 3; ++crashes) quarantine_.on_crash(crash());
    flatbuffers::FlatBufferBuilder builder;
    const wire::RequestCrashesT encoded = encode(quarantine_.verdicts(now_));
    builder.Finish(wire::RequestCrashes::Pack(builder, &encoded));
    const auto* message = flatbuffers::GetRoot<wire::RequestCrashes>(builder.GetBufferPointer());
    RequestQuarantine starting({}, now_);
    starting.on_update(decode(*message), now_);
    CPPUNIT_ASSERT(starting.quarantined(part(), now_));
    CPPUNIT_ASSERT_EQUAL(quarantine_.verdict_digest(now_), starting.verdict_digest(now_));
  }

  void verdicts_are_not_displaced_by_parts_that_complete() {
    for (int crashes = 0; crashes < 3; ++crashes) quarantine_.on_crash(crash());
    for (std::uint64_t number = 100; number < 1100; ++number) {
      const RequestFingerprint sound{number, number};
      quarantine_.on_crash({{"c", 1}, now_, {}, false, {{"sound", sound}}});
      quarantine_.on_completed(CrashSuspect(sound, SuspectKind::prompt_part), now_ + seconds(1));
    }
    RequestQuarantine starting;
    starting.on_update(quarantine_.verdicts(now_ + seconds(1)), now_ + seconds(1));
    CPPUNIT_ASSERT(starting.quarantined(part(), now_ + seconds(1)));
  }

  void parts_made_up_for_each_request_displace_no_verdict() {
    for (int crashes = 0; crashes < 3; ++crashes) quarantine_.on_crash(crash());
    quarantine_.take_update(now_);
    std::size_t sent_entries = 0;
    for (std::uint64_t number = 0; number < 200; ++number) {
      BackendCrash flooded = crash();
      flooded.prompt_parts.clear();
      for (std::uint64_t made_up = 0; made_up < 32; ++made_up) {
        flooded.prompt_parts.push_back({"x", {number + 1, made_up + 1000}, number});
      }
      quarantine_.on_crash(flooded);
      for (const ReportedCrash& sent : quarantine_.take_update(now_).crashes)
        sent_entries += sent.requests.size();
    }
    CPPUNIT_ASSERT(quarantine_.quarantined(part(), now_));
    // 200 s at 64 entries per second, plus the burst allowance.
    CPPUNIT_ASSERT(sent_entries <= 64 * 200 + 200);
  }

  void the_same_part_of_another_model_is_not_blamed() {
    CPPUNIT_ASSERT(fingerprint_prompt_part("s", "m", "1") ==
                   fingerprint_prompt_part("s", "m", "1"));
    CPPUNIT_ASSERT(fingerprint_prompt_part("s", "m", "1") !=
                   fingerprint_prompt_part("s", "n", "1"));
    CPPUNIT_ASSERT(fingerprint_prompt_part("s", "m", "1") !=
                   fingerprint_prompt_part("t", "m", "1"));
  }

  void a_request_with_a_quarantined_part_is_refused_at_once_without_a_retry_time() {
    GatewayHarness harness;
    harness.add_engines();
    quarantine_part(harness);
    send(harness, {"common", "bad"});
    const auto* refusal = harness.first_action<SendRefusal>();
    CPPUNIT_ASSERT(refusal != nullptr && harness.sent_to().empty());
    CPPUNIT_ASSERT_EQUAL(503, refusal->status);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::quarantined);
    CPPUNIT_ASSERT(refusal->retry_after == Duration::zero());
    const RequestSummary summary = harness.forwarder.take_summaries().back();
    CPPUNIT_ASSERT_EQUAL("prompt_part:" + to_string(bad_part().fingerprint),
                         summary.quarantined_by);
    send(harness, {"common"});
    CPPUNIT_ASSERT(!harness.sent_to().empty());
  }

  void an_attempt_that_has_not_begun_is_cancelled_when_its_part_is_quarantined() {
    GatewayHarness harness;
    harness.add_engines();
    send(harness, {"common", "bad"});
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    quarantine_part(harness);
    harness.advance(milliseconds(25));
    CPPUNIT_ASSERT(harness.first_action<CancelAttempt>() != nullptr);
    // It may have run.
    CPPUNIT_ASSERT_EQUAL(502, harness.refusal_status());
  }

  void a_request_whose_part_may_have_crashed_a_third_back_end_is_not_sent_again() {
    GatewayHarness harness;
    harness.add_engines();
    std::uint64_t carrier = 0;
    for (const char* backend : {"x1", "x2"}) {
      harness.quarantine.on_crash(
          {{backend, 1}, harness.now, {}, false, {{"bad", bad_part().fingerprint, ++carrier}}});
    }
    send(harness, {"common", "bad"});
    CPPUNIT_ASSERT(!harness.sent_to().empty());
    harness.fail_attempt(harness.number, AttemptFailure::connection_lost);
    CPPUNIT_ASSERT(harness.sent_to().empty());
  }

 private:
  static CrashSuspect bad_part() {
    return {fingerprint_prompt_part("engines", "m", "bad"), SuspectKind::prompt_part};
  }
  static void quarantine_part(GatewayHarness& harness) {
    std::uint64_t carrier = 0;
    for (const char* backend : {"x1", "x2", "x3"}) {
      harness.quarantine.on_crash(
          {{backend, 1}, harness.now, {}, false, {{"bad", bad_part().fingerprint, ++carrier}}});
    }
  }
  static void send(GatewayHarness& harness, const std::vector<std::string>& parts) {
    RequestMetadata request;
    request.id = "r" + std::to_string(++harness.number);
    request.host = "api.example";
    request.target = "/chat/1";
    request.content = fingerprint_content("POST", request.host, request.target, request.id);
    request.api_key = "key-1";
    request.time_left = seconds(6);
    request.model = "m";
    request.prompt_tokens = 100;
    request.shared_prompt_parts = parts;
    harness.actions.clear();
    harness.forwarder.on_request(harness.number, request, harness.now, harness.actions);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartQuarantineTest);

}  // namespace pumicemast
