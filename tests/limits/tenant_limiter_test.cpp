#include "limits/tenant_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class TenantLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantLimiterTest);
  CPPUNIT_TEST(refuses_over_the_rate_and_states_when_to_retry);
  CPPUNIT_TEST(bounds_requests_in_progress);
  CPPUNIT_TEST(shares_a_tenants_rate_between_entries);
  CPPUNIT_TEST(an_unknown_tenant_is_not_limited);
  CPPUNIT_TEST(a_changed_limit_keeps_requests_in_progress_counted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refuses_over_the_rate_and_states_when_to_retry() {
    TenantLimiter limiter(1);
    configure(limiter, {"t", 2, 2, 0, 5});
    CPPUNIT_ASSERT(limiter.admit("t", at(0)).admitted);
    const LimitDecision second = limiter.admit("t", at(0));
    CPPUNIT_ASSERT(second.admitted);
    CPPUNIT_ASSERT_EQUAL(5, second.priority);
    const LimitDecision third = limiter.admit("t", at(0));
    CPPUNIT_ASSERT(!third.admitted);
    CPPUNIT_ASSERT_EQUAL(std::string("rate"), std::string(third.reason));
    CPPUNIT_ASSERT(limiter.admit("t", at(0) + third.retry_after).admitted);
  }

  void bounds_requests_in_progress() {
    TenantLimiter limiter(1);
    configure(limiter, {"t", 100, 100, 2, 0});
    CPPUNIT_ASSERT(limiter.admit("t", at(0)).admitted);
    CPPUNIT_ASSERT(limiter.admit("t", at(0)).admitted);
    CPPUNIT_ASSERT_EQUAL(std::string("in_flight"), std::string(limiter.admit("t", at(0)).reason));
    limiter.release("t");
    CPPUNIT_ASSERT(limiter.admit("t", at(0)).admitted);
  }

  void shares_a_tenants_rate_between_entries() {
    TenantLimiter limiter(4);
    configure(limiter, {"t", 40, 40, 0, 0});
    std::uint32_t admitted = 0;
    for (std::int64_t ms = 0; ms < 10000; ms += 10) {
      if (limiter.admit("t", at(ms)).admitted) ++admitted;
    }
    // A quarter of 40 requests per second over 10 s, plus a quarter of the burst.
    CPPUNIT_ASSERT(admitted >= 108 && admitted <= 110);
  }

  void an_unknown_tenant_is_not_limited() {
    TenantLimiter limiter(1);
    for (int count = 0; count < 1000; ++count) {
      CPPUNIT_ASSERT(limiter.admit("nobody", at(0)).admitted);
    }
  }

  void a_changed_limit_keeps_requests_in_progress_counted() {
    TenantLimiter limiter(1);
    configure(limiter, {"t", 100, 100, 2, 0});
    limiter.admit("t", at(0));
    limiter.admit("t", at(0));
    configure(limiter, {"t", 100, 100, 1, 0});
    limiter.release("t");
    CPPUNIT_ASSERT(!limiter.admit("t", at(0)).admitted);
    limiter.release("t");
    CPPUNIT_ASSERT(limiter.admit("t", at(0)).admitted);
  }

 private:
  static TimePoint at(std::int64_t ms) { return TimePoint(milliseconds(ms)); }
  static void configure(TenantLimiter& limiter, const Tenant& tenant) {
    limiter.configure({{tenant.id, {1, tenant}}}, at(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantLimiterTest);

}  // namespace pumicemast
