/// The story of the failure. Callers saw a third of their requests refused for a quarter of a
/// minute, three times in a day. Engines ended one after the other, 37 to 55 in a row, each some
/// 0.05 s after it had begun one request of one tenant; each was back 2.5 s later. That request
/// came again after each failure, at any gateway, with another id. Each try kept its own bounds
/// (two engines), the retry budget was never exceeded, and the agents lived on.
///
/// Evidence: with its content as a name, one line each of the ended engines' requests has one
/// fingerprint in common, in all of them; no other request is in more than a few. Cause: what a
/// request has done to engines was forgotten with each try, and no gateway told another.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "support/crash_world.h"

namespace pumicemast {

using tests::CrashWorld;
using tests::CrashWorldOptions;

namespace {

/// The third end under one request is what convicts it. Tries that are under way at that moment at
/// other gateways may end one engine more each.
constexpr int kEndsToConvict = 3;

}  // namespace

class CrashContainmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashContainmentTest);
  CPPUNIT_TEST(a_request_that_ends_its_engines_is_soon_run_nowhere);
  CPPUNIT_TEST(many_that_come_at_once_end_few_engines_more);
  CPPUNIT_TEST(no_bystander_is_refused_while_engines_end_on_their_own);
  CPPUNIT_TEST(a_request_that_many_send_is_served_while_others_end_engines);
  CPPUNIT_TEST(engines_that_end_together_after_all_gateways_began_anew_convict_nobody);
  CPPUNIT_TEST(engines_that_end_soon_after_they_are_back_convict_nobody);
  CPPUNIT_TEST(a_zone_without_power_convicts_nobody);
  CPPUNIT_TEST(a_gateway_that_begins_anew_knows_within_a_second);
  CPPUNIT_TEST(a_gateway_that_was_cut_off_knows_soon_after);
  CPPUNIT_TEST(thousands_of_such_requests_take_bounded_room);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_request_that_ends_its_engines_is_soon_run_nowhere() {
    CrashWorld world{CrashWorldOptions{}};
    world.run(seconds(2));
    world.send_killer("killer");
    world.run(seconds(30));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("engines ended", kEndsToConvict, world.engines_ended_by("killer"));
    CPPUNIT_ASSERT_EQUAL(0, world.ordinary().quarantined);
  }

  void many_that_come_at_once_end_few_engines_more() {
    // Four such requests, each from three callers at a time: twelve tries are under way before the
    // first engine has ended. Those that had begun by the time of the verdict end engines too.
    int ends = 0;
    int late = 0;
    int bystanders = 0;
    int asked = 0;
    int broken_off = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashWorldOptions options;
      options.seed = seed;
      CrashWorld world{options};
      world.run(seconds(2));
      for (const std::string& body : kKillers) world.send_killer(body, 3);
      world.run(seconds(30));
      for (const std::string& body : kKillers) {
        ends += world.engines_ended_by(body);
        late += ends_after_verdict(world, body);
      }
      bystanders += world.ordinary().quarantined;
      asked += world.ordinary().asked;
      broken_off += world.ordinary().broken_off;
    }
    const double ends_each = static_cast<double>(ends) / (kSeeds * 4.0);
    std::printf("figure killers=4 callers=3 ends_each=%.2f late=%d bystanders=%d of %d broken=%d\n",
                ends_each, late, bystanders, asked, broken_off);
    CPPUNIT_ASSERT(ends_each < 5);
    CPPUNIT_ASSERT_EQUAL(0, late);
    // With one end to convict 966 of 20,164 tries were refused, with two 465 of 20,734, with three
    // 4 of 22,011: these had each been under three engines' ends.
    CPPUNIT_ASSERT(bystanders * 1000 < asked);
  }

  void no_bystander_is_refused_while_engines_end_on_their_own() {
    // A third of all engines end at once, agents live on, zone after zone, for half a minute. While
    // ends in a crowd counted like others, 1,619 of 34,800 tries were refused.
    int bystanders = 0;
    int asked = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashWorldOptions options;
      options.seed = seed;
      CrashWorld world{options};
      for (int round = 0; round < 20; ++round) {
        world.end_engines(static_cast<std::size_t>(round) % options.zones);
        world.run(milliseconds(1500));
      }
      bystanders += world.ordinary().quarantined;
      asked += world.ordinary().asked;
    }
    std::printf("figure engines_end_in_crowds bystanders=%d of %d\n", bystanders, asked);
    CPPUNIT_ASSERT_EQUAL(0, bystanders);
  }

  // Callers that poll send the same request all the time: it is under way at nearly every engine,
  // and so under nearly every end. A first form of the quarantine refused it for an hour after all
  // three engines of a small fleet had ended within a second.
  void a_request_that_many_send_is_served_while_others_end_engines() {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashWorldOptions options;
      options.seed = seed;
      options.zones = 1;
      options.gateways_per_zone = 3;
      options.engines_per_zone = 3;
      options.ordinary_per_s = 0;
      CrashWorld world{options};
      int served_before = 0;
      for (int asked = 0; asked < 600; ++asked) {
        if (asked == 60) {
          for (const std::string& body : kKillers) world.send_killer(body, 3);
        }
        if (asked == 400) served_before = world.ordinary().served;
        world.ask(static_cast<std::size_t>(asked) % 3, "poll");
        world.run(milliseconds(50));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.quarantined_at("poll"));
      CPPUNIT_ASSERT_EQUAL(0, world.ordinary().quarantined);
      std::printf("figure poll seed=%u served_before=%d served_after=%d\n", seed, served_before,
                  world.ordinary().served - served_before);
      // The last third, after all such requests are in quarantine.
      CPPUNIT_ASSERT(world.ordinary().served - served_before > 190);
    }
  }

  // Callers of an ordinary request were refused to the end of the play: all gateways were started
  // anew, and a moment later all three engines ended together. The request ran on each of them, so
  // that each end of the crowd counted beside another one; that such requests end well had been
  // known to the gateways' former processes only.
  void engines_that_end_together_after_all_gateways_began_anew_convict_nobody() {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashWorldOptions options;
      options.seed = seed;
      options.zones = 1;
      options.gateways_per_zone = 3;
      options.engines_per_zone = 3;
      options.ordinary_per_s = 0;
      CrashWorld world{options};
      const auto poll = [&world](int times) {
        for (int asked = 0; asked < times; ++asked) {
          world.ask(static_cast<std::size_t>(asked) % 3, "poll");
          world.run(milliseconds(10));
        }
      };
      poll(300);
      for (std::size_t gateway = 0; gateway < 3; ++gateway) world.restart_gateway(gateway);
      poll(15);
      world.end_engines(0);
      poll(300);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.quarantined_at("poll"));
      CPPUNIT_ASSERT_EQUAL(0, world.ordinary().quarantined);
    }
  }

  /// Gateways start, engines are back a while later, and end together once more.
  /// @param new_gateways  so many of three begin anew; the others know what ends well.
  static void check_end_after_start(std::uint32_t seed, std::size_t new_gateways,
                                    Duration engines_served_for) {
    CrashWorldOptions options;
    options.seed = seed;
    options.zones = 1;
    options.gateways_per_zone = 3;
    options.engines_per_zone = 3;
    options.ordinary_per_s = 0;
    CrashWorld world{options};
    std::size_t asked = 0;
    const auto poll = [&](Duration span) {
      for (const TimePoint end = world.now() + span; world.now() < end; ++asked) {
        world.ask(asked % 3, "poll");
        world.run(milliseconds(10));
      }
    };
    poll(seconds(3));
    world.end_engines(0);
    for (std::size_t gateway = 0; gateway < new_gateways; ++gateway) world.restart_gateway(gateway);
    poll(CrashWorld::kDownFor + engines_served_for);
    world.end_engines(0);
    poll(seconds(3));
    const std::string what = "seed " + std::to_string(seed) + ", new " +
                             std::to_string(new_gateways) + ", engines served for " +
                             std::to_string(to_milliseconds(engines_served_for)) + " ms";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, world.quarantined_at("poll"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, world.ordinary().quarantined);
  }

  // A gateway learns what ends well from answers, not from time: engines that are back seconds
  // after the gateways have answered nobody until then.
  void engines_that_end_soon_after_they_are_back_convict_nobody() {
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
      for (const std::size_t new_gateways : {1U, 2U, 3U}) {
        for (const int served_for_ms : {50, 150, 250, 400, 700, 1200, 2000, 3000}) {
          check_end_after_start(seed, new_gateways, milliseconds(served_for_ms));
        }
      }
    }
  }

  void a_zone_without_power_convicts_nobody() {
    CrashWorld world{CrashWorldOptions{}};
    world.run(seconds(2));
    const RequestNumber unlucky = world.ask(0, "unlucky");
    CPPUNIT_ASSERT(unlucky > 0);
    for (std::size_t round = 0; round < 6; ++round) {
      world.run(milliseconds(60));
      world.lose_power(round % 3, seconds(1));
      world.ask(round, "unlucky");
    }
    world.run(seconds(5));
    for (std::size_t gateway = 0; gateway < world.gateways(); ++gateway) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.quarantine(gateway).verdict_digest(world.now()));
    }
    CPPUNIT_ASSERT_EQUAL(0, world.ordinary().quarantined);
  }

  void a_gateway_that_begins_anew_knows_within_a_second() {
    CrashWorld world{CrashWorldOptions{}};
    world.send_killer("killer");
    world.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(world.gateways(), world.quarantined_at("killer"));
    for (std::size_t gateway = 0; gateway < world.gateways(); ++gateway) {
      world.restart_gateway(gateway);
      world.run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(world.gateways(), world.quarantined_at("killer"));
    }
    CPPUNIT_ASSERT_EQUAL(kEndsToConvict, world.engines_ended_by("killer"));
  }

  void a_gateway_that_was_cut_off_knows_soon_after() {
    CrashWorld world{CrashWorldOptions{}};
    world.cut_off_gateway(5);
    world.send_killer("killer");
    world.run(seconds(10));
    CPPUNIT_ASSERT(world.quarantined_at("killer") >= world.gateways() - 1);
    world.reconnect_gateway(5);
    world.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(world.gateways(), world.quarantined_at("killer"));
  }

  void thousands_of_such_requests_take_bounded_room() {
    RequestQuarantine quarantine;
    TimePoint now{seconds(100)};
    std::size_t told = 0;
    for (std::uint64_t request = 1; request <= 10000; ++request) {
      for (int life = 0; life < kEndsToConvict; ++life) {
        const BackendIncarnation backend{"e", static_cast<std::int64_t>(request) * 10 + life};
        quarantine.on_crash({backend, now, {{request, request}}});
      }
      now += milliseconds(10);
      for (const ToldCrash& crash : quarantine.take_news(now).crashes)
        told += crash.requests.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, quarantine.list(now).size());
    CPPUNIT_ASSERT(quarantine.quarantined({10000, 10000}, now));
    // 100 s at 64 entries a second, and what may be told at once.
    CPPUNIT_ASSERT(told <= 64 * 100 + 200);
    CPPUNIT_ASSERT(quarantine.verdicts(now).crashes.size() <= 256 * 6);
  }

 private:
  static constexpr std::uint32_t kSeeds = 10;
  const std::vector<std::string> kKillers{"killer a", "killer b", "killer c", "killer d"};
  /// Until all gateways know of the third end: the agent's next report, and one step between two.
  static constexpr Duration kVerdictKnown = milliseconds(150);

  /// Engines that were ended after all gateways could know better.
  static int ends_after_verdict(CrashWorld& world, const std::string& body) {
    const std::vector<TimePoint>& ends = world.ends_by(body);
    if (ends.size() <= kEndsToConvict) return 0;
    return static_cast<int>(std::count_if(ends.begin() + kEndsToConvict, ends.end(), [&](auto at) {
      return at > ends[kEndsToConvict - 1] + kVerdictKnown;
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashContainmentTest);

}  // namespace pumicemast
