#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

#include "support/overload_simulation.h"

namespace pumicemast {

/// The service that callers get when more requests arrive than the engines can serve.
class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(within_capacity_nearly_all_are_answered_in_time);
  CPPUNIT_TEST(engines_stay_busy_with_answers_in_time);
  CPPUNIT_TEST(large_requests_are_served_nearly_as_often_as_all);
  CPPUNIT_TEST(a_wrong_prefill_rate_hurts_large_requests);
  CPPUNIT_TEST(no_kind_of_request_starves);
  CPPUNIT_TEST(gateways_serve_alike_whatever_their_number_of_callers);
  CPPUNIT_TEST(retries_take_no_capacity_from_first_attempts);
  CPPUNIT_TEST(retries_are_recognized_when_deadlines_vary);
  CPPUNIT_TEST_SUITE_END();

  static tests::OverloadResult simulate(double load, std::uint64_t seed = 1) {
    tests::OverloadOptions options;
    options.load = load;
    options.seed = seed;
    const tests::OverloadResult result = tests::OverloadSimulation(options).run();
    std::printf("figure load=%.1f seed=%lu in_time=%.3f served=%.3f largest_tenth_in_time=%.3f\n",
                load, static_cast<unsigned long>(seed), result.all.in_time_share(),
                result.all.served_share(), result.largest_tenth.in_time_share());
    return result;
  }

 public:
  void within_capacity_nearly_all_are_answered_in_time() {
    CPPUNIT_ASSERT(simulate(0.7).all.in_time_share() >= 0.97);
  }

  void engines_stay_busy_with_answers_in_time() {
    for (const double load : {1.0, 1.3, 2.0}) {
      const double possible = 1 / load;
      CPPUNIT_ASSERT(simulate(load).all.in_time_share() >= 0.9 * possible);
    }
  }

  /// Gateways that assume a third of the engines' real prefill rate refuse large requests first. If
  /// the simulation did not show this, the tests above would prove nothing.
  void a_wrong_prefill_rate_hurts_large_requests() {
    tests::OverloadOptions options;
    options.load = 1.3;
    options.configured_prompt_rate = 10000;
    const tests::OverloadResult result = tests::OverloadSimulation(options).run();
    CPPUNIT_ASSERT(result.largest_tenth.in_time_share() < 0.7 * result.all.in_time_share());
  }

  void large_requests_are_served_nearly_as_often_as_all() {
    for (const double load : {1.0, 1.3, 2.0}) {
      const tests::OverloadResult result = simulate(load, 2);
      CPPUNIT_ASSERT(result.largest_tenth.in_time_share() >= 0.7 * result.all.in_time_share());
    }
  }

  void no_kind_of_request_starves() {
    const tests::OverloadResult result = simulate(1.3, 3);
    for (const auto& [kind, counts] : result.by_kind) {
      CPPUNIT_ASSERT_MESSAGE(kind, counts.in_time_share() >= 0.75 * result.all.in_time_share());
    }
  }

  void gateways_serve_alike_whatever_their_number_of_callers() {
    const tests::OverloadResult result = simulate(1.3, 4);
    for (const auto& [gateway, counts] : result.by_gateway) {
      std::printf("figure gateway=%zu asked=%lu in_time=%.3f\n", gateway,
                  static_cast<unsigned long>(counts.total), counts.in_time_share());
      CPPUNIT_ASSERT(counts.in_time_share() >= 0.85 * result.all.in_time_share());
    }
  }

  void retries_take_no_capacity_from_first_attempts() {
    const tests::OverloadResult result = simulate(2.0, 5);
    CPPUNIT_ASSERT(result.retries_served_while_first_refused == 0);
    CPPUNIT_ASSERT(result.all.late * 20 <= result.all.in_time);
  }

  /// Guards against unrecognized retries: when the deadlines of first attempts varied within a
  /// second, no request was taken for a retry, and late answers took capacity from answers in time.
  void retries_are_recognized_when_deadlines_vary() {
    for (const double load : {1.3, 2.0}) {
      tests::OverloadOptions options;
      options.load = load;
      options.seed = 6;
      options.timeout_jitter = seconds(1);
      const tests::OverloadResult result = tests::OverloadSimulation(options).run();
      std::printf(
          "figure spread load=%.1f in_time=%.3f late=%.3f returned=%lu recognized=%lu "
          "asked_first=%lu mistaken=%lu\n",
          load, result.all.in_time_share(), result.all.served_share() - result.all.in_time_share(),
          static_cast<unsigned long>(result.retries), static_cast<unsigned long>(result.recognized),
          static_cast<unsigned long>(result.first_attempts),
          static_cast<unsigned long>(result.misclassified));
      CPPUNIT_ASSERT(result.recognized * 10 >= result.retries * 8);
      CPPUNIT_ASSERT(result.misclassified * 50 <= result.first_attempts);
      CPPUNIT_ASSERT(result.all.late * 10 <= result.all.in_time);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace pumicemast
