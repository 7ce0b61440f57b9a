// Guards against gateways that exceed the request limit of an engine. An engine with a stated limit
// of 1 request per second got 20 requests in 4 s from six gateways to which it had stated the
// limit: no gateway read the limit, so that the engine's rate stayed the same as before and as that
// of its neighbours. Had each gateway enforced the limit alone, the six would have sent six times
// as much.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdio>

#include "support/limited_fleet.h"

namespace pumicemast {

using tests::LimitedFleet;
using tests::LimitedFleetOptions;
using tests::LimitSharing;

class LimitedFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitedFleetTest);
  CPPUNIT_TEST(any_limit_is_kept_and_used_by_any_number_of_gateways);
  CPPUNIT_TEST(limits_of_all_engines_at_once_are_kept_and_used);
  CPPUNIT_TEST(callers_lose_no_more_than_the_limits_take);
  CPPUNIT_TEST(gateways_that_each_enforce_the_limit_alone_exceed_it);
  CPPUNIT_TEST(the_limit_holds_while_gateways_start_freeze_and_are_cut_off);
  CPPUNIT_TEST(the_limit_holds_while_some_of_7_gateways_have_faults);
  CPPUNIT_TEST(the_limit_holds_while_some_of_149_gateways_have_faults);
  CPPUNIT_TEST(the_limit_holds_while_agents_restart);
  CPPUNIT_TEST(a_changed_limit_takes_effect);
  CPPUNIT_TEST(an_engine_with_limit_zero_still_gets_a_few_requests);
  CPPUNIT_TEST(room_is_used_again_when_the_limit_ends);
  CPPUNIT_TEST(a_restarted_engine_has_no_limit);
  CPPUNIT_TEST(permit_messages_stay_within_the_control_budget);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration kSettled = seconds(1);
  static constexpr double kWindowS = 4;
  static constexpr double kBurst = 2;

  static int allowed(double limit) {
    return static_cast<int>(std::floor(limit * kWindowS + kBurst + 1e-9));
  }

  /// Sets the limit under load, and runs until it must hold.
  static TimePoint name(LimitedFleet& fleet, double limit, Duration before = seconds(2)) {
    fleet.run(before);
    fleet.set_limit(limit);
    fleet.run(kSettled + milliseconds(500));
    return fleet.now();
  }

  static void check_kept(const LimitedFleet& fleet, std::size_t engines, double limit,
                         TimePoint since, const std::string& what) {
    for (std::size_t engine = 0; engine < engines; ++engine) {
      const int most = fleet.max_arrivals_in_window(engine, since);
      const std::string message = what + ": " + std::to_string(most) + " in a window, allowed " +
                                  std::to_string(allowed(limit));
      CPPUNIT_ASSERT_MESSAGE(message, most <= allowed(limit));
    }
  }

  static void check_used(const LimitedFleet& fleet, std::size_t engines, double limit,
                         TimePoint since, const std::string& what) {
    int arrived = 0;
    for (std::size_t engine = 0; engine < engines; ++engine) {
      arrived += fleet.arrived(engine, since);
    }
    const double span_s = to_seconds(fleet.now() - since);
    const double share = arrived / (limit * span_s * static_cast<double>(engines));
    CPPUNIT_ASSERT_MESSAGE(what + ": used " + std::to_string(share), share >= 0.9);
  }

  static std::string describe(const LimitedFleetOptions& options, double limit) {
    return std::to_string(options.gateways) + " gateways, " + std::to_string(options.limited) +
           " engines, limit " + std::to_string(limit);
  }

 public:
  void any_limit_is_kept_and_used_by_any_number_of_gateways() {
    for (const std::size_t gateways : {7U, 40U, 149U}) {
      for (const double limit : {0.2, 1.0, 1.4, 5.0, 50.0}) {
        LimitedFleetOptions options;
        options.gateways = gateways;
        // The load always exceeds the limit, also where the limit is one request in five seconds.
        options.requests_per_s = std::max(10.0, 2 * limit);
        LimitedFleet fleet(options);
        const TimePoint since = name(fleet, limit);
        fleet.run(from_seconds(std::max(60.0, 40 / limit)));
        check_kept(fleet, 1, limit, since, describe(options, limit));
        check_used(fleet, 1, limit, since, describe(options, limit));
      }
    }
  }

  void limits_of_all_engines_at_once_are_kept_and_used() {
    for (const std::size_t gateways : {7U, 40U, 149U}) {
      for (const double limit : {0.5, 2.0}) {
        LimitedFleetOptions options;
        options.gateways = gateways;
        options.engines = options.limited = 20;
        options.requests_per_s = 2 * 20 * limit;
        LimitedFleet fleet(options);
        const TimePoint since = name(fleet, limit);
        fleet.run(seconds(30));
        check_kept(fleet, 20, limit, since, describe(options, limit));
        check_used(fleet, 20, limit, since, describe(options, limit));
      }
    }
  }

  void callers_lose_no_more_than_the_limits_take() {
    LimitedFleetOptions options;
    options.gateways = 40;
    options.engines = 6;
    options.limited = 3;
    options.requests_per_s = 60;
    LimitedFleet fleet(options);
    name(fleet, 1);
    fleet.reset_results();
    fleet.run(seconds(20));
    // The other engines have capacity for all requests.
    CPPUNIT_ASSERT(fleet.results().served >= 0.99 * fleet.results().sent);

    options.limited = 6;
    LimitedFleet all(options);
    name(all, 1);
    all.reset_results();
    all.run(seconds(20));
    CPPUNIT_ASSERT(all.results().rate_limited > 0);
    CPPUNIT_ASSERT_EQUAL(0, all.results().refused);
    // Refusals come within the time that a request waits for capacity, well before its deadline.
    CPPUNIT_ASSERT(all.results().max_refusal_delay <= milliseconds(150));
  }

  // Compares the ways to share the limit, and shows that the check fails where each gateway
  // enforces the limit alone.
  void gateways_that_each_enforce_the_limit_alone_exceed_it() {
    constexpr double kLimit = 50;
    for (const std::size_t gateways : {7U, 40U, 149U}) {
      for (const LimitSharing sharing : {LimitSharing::issuer, LimitSharing::none,
                                         LimitSharing::equal_shares, LimitSharing::one_gateway}) {
        LimitedFleetOptions options;
        options.gateways = gateways;
        options.requests_per_s = 4 * kLimit;
        options.sharing = sharing;
        LimitedFleet fleet(options);
        const TimePoint since = name(fleet, kLimit, seconds(10));
        fleet.run(seconds(40));
        const int most = fleet.max_arrivals_in_window(0, since);
        const double used = fleet.arrived(0, since) / (kLimit * to_seconds(fleet.now() - since));
        std::printf("\ngateways=%zu sharing=%d most=%d allowed=%d used=%.2f", gateways,
                    static_cast<int>(sharing), most, allowed(kLimit), used);
        if (sharing == LimitSharing::none) CPPUNIT_ASSERT(most > allowed(kLimit));
        if (sharing == LimitSharing::issuer) CPPUNIT_ASSERT(most <= allowed(kLimit));
      }
    }
    std::printf("\n");
  }

  static void check_with_faulty_gateways(std::size_t gateways, std::uint32_t seed) {
    LimitedFleetOptions options;
    options.gateways = gateways;
    options.requests_per_s = 30;
    options.seed = seed;
    LimitedFleet fleet(options);
    const TimePoint since = name(fleet, 2);
    for (std::size_t round = 0; round < 10; ++round) {
      fleet.freeze_gateway((3 * round) % gateways, milliseconds(700 + 300 * round));
      fleet.isolate_gateway((3 * round + 1) % gateways);
      fleet.run(milliseconds(400));
      fleet.restart_gateway((3 * round + 2) % gateways);
      fleet.run(milliseconds(900));
      fleet.reconnect_gateway((3 * round + 1) % gateways);
    }
    const std::string what = describe(options, 2) + ", seed " + std::to_string(seed);
    check_kept(fleet, 1, 2, since, what);
    check_used(fleet, 1, 2, since, what);
  }

  static void check_seeds_with_faulty_gateways(std::size_t gateways) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) check_with_faulty_gateways(gateways, seed);
  }

  void the_limit_holds_while_gateways_start_freeze_and_are_cut_off() {
    check_seeds_with_faulty_gateways(40);
  }
  void the_limit_holds_while_some_of_7_gateways_have_faults() {
    check_seeds_with_faulty_gateways(7);
  }
  void the_limit_holds_while_some_of_149_gateways_have_faults() {
    check_seeds_with_faulty_gateways(149);
  }

  void the_limit_holds_while_agents_restart() {
    LimitedFleetOptions options;
    options.gateways = 40;
    options.requests_per_s = 30;
    LimitedFleet fleet(options);
    const TimePoint since = name(fleet, 2);
    for (int round = 0; round < 8; ++round) {
      fleet.restart_agent(0);
      fleet.run(seconds(5));
    }
    check_kept(fleet, 1, 2, since, "agent restarts");
  }

  void a_changed_limit_takes_effect() {
    LimitedFleetOptions options;
    options.requests_per_s = 100;
    LimitedFleet fleet(options);
    name(fleet, 20);
    const TimePoint lowered_at = name(fleet, 2, seconds(0));
    fleet.run(seconds(20));
    check_kept(fleet, 1, 2, lowered_at, "lowered limit");
    check_used(fleet, 1, 2, lowered_at, "lowered limit");
    const TimePoint raised_at = name(fleet, 40, seconds(0));
    fleet.run(seconds(20));
    check_kept(fleet, 1, 40, raised_at, "raised limit");
    check_used(fleet, 1, 40, raised_at, "raised limit");
    // With a limit that alternates every second, the higher value is never exceeded.
    const TimePoint alternating_since = fleet.now();
    for (int second = 0; second < 20; ++second) {
      fleet.set_limit(second % 2 == 0 ? 5 : 40);
      fleet.run(seconds(1));
    }
    check_kept(fleet, 1, 40, alternating_since + seconds(4), "alternating limit");
  }

  void an_engine_with_limit_zero_still_gets_a_few_requests() {
    LimitedFleetOptions options;
    options.requests_per_s = 20;
    LimitedFleet fleet(options);
    const TimePoint since = name(fleet, 0);
    fleet.run(seconds(60));
    check_kept(fleet, 1, 0, since, "limit 0");
    CPPUNIT_ASSERT(fleet.arrived(0, since) >= 6);
    fleet.set_limit({});
    fleet.run(seconds(12));
    fleet.reset_results();
    fleet.run(seconds(5));
    CPPUNIT_ASSERT(fleet.results().served >= 0.95 * fleet.results().sent);
  }

  void room_is_used_again_when_the_limit_ends() {
    for (const std::size_t gateways : {7U, 149U}) {
      LimitedFleetOptions options;
      options.gateways = gateways;
      options.requests_per_s = 30;
      LimitedFleet fleet(options);
      name(fleet, 2);
      fleet.run(seconds(5));
      fleet.set_limit({});
      fleet.run(seconds(2));
      fleet.reset_results();
      fleet.run(seconds(5));
      CPPUNIT_ASSERT(fleet.results().served >= 0.95 * fleet.results().sent);
    }
  }

  void permit_messages_stay_within_the_control_budget() {
    // A frame with one permit request or answer.
    constexpr double kMessageBytes = 120;
    // Control traffic that one node may use.
    constexpr double kBytesPerSecond = 30000;
    for (const std::size_t gateways : {7U, 149U}) {
      LimitedFleetOptions options;
      options.gateways = gateways;
      options.engines = options.limited = 20;
      options.requests_per_s = 160;
      LimitedFleet fleet(options);
      name(fleet, 2);
      const std::uint64_t before = fleet.permit_messages();
      fleet.reset_results();
      fleet.run(seconds(20));
      const auto messages = static_cast<double>(fleet.permit_messages() - before);
      const double per_request = messages / fleet.results().sent;
      const double per_gateway = messages * kMessageBytes / 20 / static_cast<double>(gateways);
      const double per_engine = messages * kMessageBytes / 20 / 20;
      std::printf(
          "\nfigure permits gateways=%zu messages_a_request=%.1f gateway_bytes_s=%.0f "
          "engine_bytes_s=%.0f\n",
          gateways, per_request, per_gateway, per_engine);
      CPPUNIT_ASSERT(per_gateway <= kBytesPerSecond);
      CPPUNIT_ASSERT(per_engine <= kBytesPerSecond);
    }
  }

  void a_restarted_engine_has_no_limit() {
    LimitedFleetOptions options;
    options.gateways = 40;
    options.requests_per_s = 30;
    LimitedFleet fleet(options);
    name(fleet, 0.2);
    fleet.restart_engine(0);
    fleet.run(milliseconds(200));
    fleet.reset_results();
    fleet.run(seconds(5));
    CPPUNIT_ASSERT(fleet.results().served >= 0.95 * fleet.results().sent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedFleetTest);

}  // namespace pumicemast
