#include "gateway/backends/backend_permits.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/gateway_world.h"

namespace pumicemast {

class BackendPermitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendPermitsTest);
  CPPUNIT_TEST(a_permit_is_asked_for_once_and_used_once);
  CPPUNIT_TEST(a_permit_that_is_not_used_soon_goes_back);
  CPPUNIT_TEST(a_permit_that_comes_late_goes_back);
  CPPUNIT_TEST(a_denial_holds_until_its_time_or_another_limit);
  CPPUNIT_TEST(an_unanswered_request_is_made_again);
  CPPUNIT_TEST(an_unanswered_request_is_given_back_until_the_issuer_answers);
  CPPUNIT_TEST(no_request_goes_to_a_limited_engine_without_a_permit);
  CPPUNIT_TEST(who_is_refused_for_a_limit_is_told_so);
  CPPUNIT_TEST_SUITE_END();

  BackendPermits permits;
  TimePoint now = TimePoint(seconds(100));

  PermitAnswer answer(bool granted, Duration retry_after = Duration::zero()) {
    return {"e1", now, granted, retry_after, {}};
  }

 public:
  void a_permit_is_asked_for_once_and_used_once() {
    CPPUNIT_ASSERT(permits.askable("e1", now));
    permits.ask("e1", now);
    CPPUNIT_ASSERT(!permits.askable("e1", now));
    const auto calls = permits.take_calls(now);
    CPPUNIT_ASSERT(calls.size() == 1 && calls[0].wanted && calls[0].returned == 0);
    CPPUNIT_ASSERT(permits.take_calls(now).empty());
    permits.on_answer(answer(true), now);
    CPPUNIT_ASSERT(permits.held("e1", now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, permits.open(now));
    permits.use("e1", now);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    CPPUNIT_ASSERT(!permits.active());
    permits.use("e1", now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, permits.counters().used);
  }

  void a_permit_that_is_not_used_soon_goes_back() {
    permits.ask("e1", now);
    permits.take_calls(now);
    permits.on_answer(answer(true), now);
    CPPUNIT_ASSERT(permits.active());
    now += milliseconds(200);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    const auto calls = permits.take_calls(now);
    CPPUNIT_ASSERT(calls.size() == 1 && !calls[0].wanted && calls[0].returned == 1);
    permits.ask("e1", now);
    permits.take_calls(now);
    permits.on_answer(answer(true), now);
    permits.release_unused();
    CPPUNIT_ASSERT_EQUAL(1U, permits.take_calls(now).at(0).returned);
  }

  void a_permit_that_comes_late_goes_back() {
    permits.ask("e1", now);
    permits.take_calls(now);
    const PermitAnswer granted = answer(true);
    // This process stood still.
    now += seconds(3);
    permits.on_answer(granted, now);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    CPPUNIT_ASSERT_EQUAL(1U, permits.take_calls(now).at(0).returned);
  }

  void a_denial_holds_until_its_time_or_another_limit() {
    permits.ask("e1", now);
    permits.on_answer(answer(false, seconds(2)), now);
    CPPUNIT_ASSERT(!permits.askable("e1", now + milliseconds(1999)));
    CPPUNIT_ASSERT(permits.askable("e1", now + seconds(2)));
    permits.on_limit_changed("e1");
    CPPUNIT_ASSERT(permits.askable("e1", now));
  }

  void an_unanswered_request_is_made_again() {
    permits.ask("e1", now);
    permits.take_calls(now);
    CPPUNIT_ASSERT(!permits.askable("e1", now + milliseconds(100)));
    CPPUNIT_ASSERT(permits.askable("e1", now + milliseconds(150)));
  }

  // Its answer may be lost, and the permit with it.
  void an_unanswered_request_is_given_back_until_the_issuer_answers() {
    const TimePoint first = now;
    permits.ask("e1", now);
    permits.take_calls(now);
    now += milliseconds(200);
    for (int lost = 0; lost < 2; ++lost) {
      permits.ask("e1", now);
      const auto calls = permits.take_calls(now);
      CPPUNIT_ASSERT(calls.size() == 1 && calls[0].wanted);
      CPPUNIT_ASSERT(calls[0].given_back.front() == first);
      now += milliseconds(200);
    }
    // A late answer to what was given back is not used.
    permits.on_answer({"e1", first, true, Duration::zero(), {}}, now);
    CPPUNIT_ASSERT(!permits.held("e1", now));
    permits.ask("e1", now);
    permits.take_calls(now);
    permits.on_answer(answer(false), now);
    permits.ask("e1", now);
    CPPUNIT_ASSERT(permits.take_calls(now).at(0).given_back.empty());
  }

  void no_request_goes_to_a_limited_engine_without_a_permit() {
    tests::GatewayWorld world;
    world.add_engines();
    world.pool.limits().on_told("e1", {1.0, world.now}, LimitSource::agent);
    for (int count = 0; count < 3; ++count) {
      world.ask("/chat/1");
      CPPUNIT_ASSERT_EQUAL(std::string("e2"), world.sent_to());
    }
    // Also a retry, which needs no credit: the other engine has cut it off.
    const RequestNumber request = world.ask("/chat/1");
    world.head(request, 503, true);
    world.complete(request);
    CPPUNIT_ASSERT_EQUAL(std::string(), world.sent_to());
    // With a permit it is as good as any.
    world.pool.permits().ask("e1", world.now);
    world.pool.permits().on_answer({"e1", world.now, true, Duration::zero(), {}}, world.now);
    world.report(2, 0, 1, 4);
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), world.sent_to());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.pool.permits().counters().used);
  }

  void who_is_refused_for_a_limit_is_told_so() {
    tests::GatewayWorld world;
    world.add_engines();
    for (const char* engine : {"e1", "e2"}) {
      world.pool.limits().on_told(engine, {1.0, world.now}, LimitSource::agent);
    }
    world.ask("/chat/1");
    CPPUNIT_ASSERT_EQUAL(std::string(), world.sent_to());
    // One permit for the one request that waits.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.pool.permits().open(world.now));
    world.tick(milliseconds(100));
    const auto* refusal = world.first<SendRefusal>();
    CPPUNIT_ASSERT(refusal != nullptr);
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::rate_limited);
    CPPUNIT_ASSERT(refusal->retry_after > Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPermitsTest);

}  // namespace pumicemast
