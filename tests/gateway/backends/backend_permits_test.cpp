#include "gateway/backends/backend_permits.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_harness.h"

namespace pumicemast {

class BackendPermitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendPermitsTest);
  CPPUNIT_TEST(a_permit_is_requested_once_and_used_once);
  CPPUNIT_TEST(an_unused_permit_is_returned_after_its_lifetime);
  CPPUNIT_TEST(a_late_permit_is_returned);
  CPPUNIT_TEST(a_denial_holds_until_its_retry_time_or_a_limit_change);
  CPPUNIT_TEST(an_unanswered_request_is_repeated);
  CPPUNIT_TEST(an_unanswered_request_is_reported_unused_until_the_issuer_answers);
  CPPUNIT_TEST(no_request_goes_to_a_limited_engine_without_a_permit);
  CPPUNIT_TEST(a_refusal_for_a_limit_names_its_reason);
  CPPUNIT_TEST_SUITE_END();

  BackendPermits permits;
  TimePoint now = TimePoint(seconds(100));

  PermitAnswer answer(bool granted, Duration retry_after = Duration::zero()) {
    return {"e1", now, granted, retry_after, {}};
  }

 public:
  void a_permit_is_requested_once_and_used_once() {
    CPPUNIT_ASSERT(permits.can_request("e1", now));
    permits.request("e1", now);
    CPPUNIT_ASSERT(!permits.can_request("e1", now));
    const auto messages = permits.take_messages(now);
    CPPUNIT_ASSERT(messages.size() == 1 && messages[0].wanted && messages[0].returned == 0);
    CPPUNIT_ASSERT(permits.take_messages(now).empty());
    permits.on_answer(answer(true), now);
    CPPUNIT_ASSERT(permits.held("e1", now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permits.outstanding(now));
    permits.use("e1", now);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    CPPUNIT_ASSERT(!permits.active());
    permits.use("e1", now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, permits.counters().used);
  }

  void an_unused_permit_is_returned_after_its_lifetime() {
    permits.request("e1", now);
    permits.take_messages(now);
    permits.on_answer(answer(true), now);
    CPPUNIT_ASSERT(permits.active());
    now += milliseconds(200);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    const auto messages = permits.take_messages(now);
    CPPUNIT_ASSERT(messages.size() == 1 && !messages[0].wanted && messages[0].returned == 1);
    permits.request("e1", now);
    permits.take_messages(now);
    permits.on_answer(answer(true), now);
    permits.release_unused();
    CPPUNIT_ASSERT_EQUAL(1U, permits.take_messages(now).at(0).returned);
  }

  void a_late_permit_is_returned() {
    permits.request("e1", now);
    permits.take_messages(now);
    const PermitAnswer granted = answer(true);
    // This process was suspended.
    now += seconds(3);
    permits.on_answer(granted, now);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    CPPUNIT_ASSERT_EQUAL(1U, permits.take_messages(now).at(0).returned);
  }

  void a_denial_holds_until_its_retry_time_or_a_limit_change() {
    permits.request("e1", now);
    permits.on_answer(answer(false, seconds(2)), now);
    CPPUNIT_ASSERT(!permits.can_request("e1", now + milliseconds(1999)));
    CPPUNIT_ASSERT(permits.can_request("e1", now + seconds(2)));
    permits.on_limit_changed("e1");
    CPPUNIT_ASSERT(permits.can_request("e1", now));
  }

  void an_unanswered_request_is_repeated() {
    permits.request("e1", now);
    permits.take_messages(now);
    CPPUNIT_ASSERT(!permits.can_request("e1", now + milliseconds(100)));
    CPPUNIT_ASSERT(permits.can_request("e1", now + milliseconds(150)));
  }

  // The answer may be lost, and with it a granted permit.
  void an_unanswered_request_is_reported_unused_until_the_issuer_answers() {
    const TimePoint first = now;
    permits.request("e1", now);
    permits.take_messages(now);
    now += milliseconds(200);
    for (int lost = 0; lost < 2; ++lost) {
      permits.request("e1", now);
      const auto messages = permits.take_messages(now);
      CPPUNIT_ASSERT(messages.size() == 1 && messages[0].wanted);
      CPPUNIT_ASSERT(messages[0].given_back.front() == first);
      now += milliseconds(200);
    }
    // A late answer to a request whose permit was reported as unused grants no permit.
    permits.on_answer({"e1", first, true, Duration::zero(), {}}, now);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    permits.request("e1", now);
    permits.take_messages(now);
    permits.on_answer(answer(false), now);
    permits.request("e1", now);
    CPPUNIT_ASSERT(permits.take_messages(now).at(0).given_back.empty());
  }

  void no_request_goes_to_a_limited_engine_without_a_permit() {
    tests::GatewayHarness harness;
    harness.add_engines();
    harness.pool.limits().on_reported("e1", {1.0, harness.now}, LimitSource::agent);
    for (int count = 0; count < 3; ++count) {
      harness.send_request("/chat/1");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"), harness.sent_to());
    }
    // A retry needs no credit, but it needs a permit, too: the other engine refused the request.
    const RequestNumber request = harness.send_request("/chat/1");
    harness.receive_head(request, 503, true);
    harness.complete_response(request);
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    // With a permit, the limited engine is chosen like any other.
    harness.pool.permits().request("e1", harness.now);
    harness.pool.permits().on_answer({"e1", harness.now, true, Duration::zero(), {}}, harness.now);
    harness.report_load(2, 0, 1, 4);
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), harness.sent_to());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.pool.permits().counters().used);
  }

  void a_refusal_for_a_limit_names_its_reason() {
    tests::GatewayHarness harness;
    harness.add_engines();
    for (const char* engine : {"e1", "e2"}) {
      harness.pool.limits().on_reported(engine, {1.0, harness.now}, LimitSource::agent);
    }
    harness.send_request("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), harness.sent_to());
    // One permit is requested for the one waiting request.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.pool.permits().outstanding(harness.now));
    harness.advance(milliseconds(100));
    const auto* refusal = harness.first_action<SendRefusal>();
    CPPUNIT_ASSERT(refusal != nullptr);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::rate_limited);
    CPPUNIT_ASSERT(refusal->retry_after > Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPermitsTest);

}  // namespace pumicemast
