/// Guards against a request that crashes every engine on which it runs. Three times in a day a
/// third of all requests was refused for 15 s: 37 to 55 engines crashed one after the other, each
/// about 0.05 s after it had started one request of one tenant, and each was back 2.5 s later. The
/// caller sent the request again after each failure, to any gateway and with another id. Each try
/// stayed within its limit of two engines, the retry budget was never exceeded, and the agents kept
/// running.
///
/// Only this request, identified by the fingerprint of its content, was running on every engine
/// that crashed; no other was running on more than a few. The cause: gateways discarded the
/// evidence after each try and did not share it.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "support/crash_simulation.h"

namespace pumicemast {

using tests::CrashSimulation;
using tests::CrashSimulationOptions;

namespace {

/// A request is quarantined after the third crash under it. Each of its tries that is in progress
/// at another gateway at that moment may crash one more engine.
constexpr int kCrashesToQuarantine = 3;

}  // namespace

class CrashContainmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashContainmentTest);
  CPPUNIT_TEST(request_that_crashes_engines_is_quarantined_everywhere);
  CPPUNIT_TEST(concurrent_crashing_requests_crash_few_more_engines);
  CPPUNIT_TEST(simultaneous_engine_failures_quarantine_nothing);
  CPPUNIT_TEST(popular_request_is_served_while_others_crash_engines);
  CPPUNIT_TEST(engines_failing_together_after_gateway_restarts_quarantine_nothing);
  CPPUNIT_TEST(engines_failing_soon_after_recovery_quarantine_nothing);
  CPPUNIT_TEST(zone_power_loss_quarantines_nothing);
  CPPUNIT_TEST(restarted_gateway_learns_verdicts_within_a_second);
  CPPUNIT_TEST(partitioned_gateway_learns_verdicts_after_reconnecting);
  CPPUNIT_TEST(quarantine_memory_is_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void request_that_crashes_engines_is_quarantined_everywhere() {
    CrashSimulation simulation{CrashSimulationOptions{}};
    simulation.run(seconds(2));
    simulation.send_crashing_request("killer");
    simulation.run(seconds(30));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("engines ended", kCrashesToQuarantine,
                                 simulation.engines_crashed_by("killer"));
    CPPUNIT_ASSERT_EQUAL(0, simulation.ordinary().quarantined);
  }

  void concurrent_crashing_requests_crash_few_more_engines() {
    // Four such requests, each from three callers at a time: twelve tries are in progress before
    // the first engine crashes. Tries that have started before the verdict crash engines too.
    int engine_crashes = 0;
    int late_crashes = 0;
    int wrongly_quarantined = 0;
    int asked = 0;
    int broken_off = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulationOptions options;
      options.seed = seed;
      CrashSimulation simulation{options};
      simulation.run(seconds(2));
      for (const std::string& body : kCrashingBodies) simulation.send_crashing_request(body, 3);
      simulation.run(seconds(30));
      for (const std::string& body : kCrashingBodies) {
        engine_crashes += simulation.engines_crashed_by(body);
        late_crashes += crashes_after_verdict(simulation, body);
      }
      wrongly_quarantined += simulation.ordinary().quarantined;
      asked += simulation.ordinary().sent;
      broken_off += simulation.ordinary().failed;
    }
    const double crashes_per_request = static_cast<double>(engine_crashes) / (kSeeds * 4.0);
    std::printf("figure killers=4 callers=3 ends_each=%.2f late=%d bystanders=%d of %d broken=%d\n",
                crashes_per_request, late_crashes, wrongly_quarantined, asked, broken_off);
    CPPUNIT_ASSERT(crashes_per_request < 5);
    CPPUNIT_ASSERT_EQUAL(0, late_crashes);
    // Ordinary tries refused with a threshold of one crash: 966 of 20,164; of two: 465 of 20,734;
    // of three: 4 of 22,011, each of which had been running during three crashes.
    CPPUNIT_ASSERT(wrongly_quarantined * 1000 < asked);
  }

  void simultaneous_engine_failures_quarantine_nothing() {
    // All engines of a zone, a third of the fleet, crash at once while their agents keep running,
    // zone after zone for 30 s. When crashes in a burst counted like single ones, 1,619 of 34,800
    // tries were refused.
    int wrongly_quarantined = 0;
    int asked = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulationOptions options;
      options.seed = seed;
      CrashSimulation simulation{options};
      for (int round = 0; round < 20; ++round) {
        simulation.crash_engines(static_cast<std::size_t>(round) % options.zones);
        simulation.run(milliseconds(1500));
      }
      wrongly_quarantined += simulation.ordinary().quarantined;
      asked += simulation.ordinary().sent;
    }
    std::printf("figure engines_end_in_crowds bystanders=%d of %d\n", wrongly_quarantined, asked);
    CPPUNIT_ASSERT_EQUAL(0, wrongly_quarantined);
  }

  // Polling callers send the same request all the time, so it is running on nearly every engine
  // that crashes. An early version of the quarantine refused it for an hour after all three engines
  // of a small fleet had crashed within a second.
  void popular_request_is_served_while_others_crash_engines() {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulationOptions options;
      options.seed = seed;
      options.zones = 1;
      options.gateways_per_zone = 3;
      options.engines_per_zone = 3;
      options.ordinary_requests_per_s = 0;
      CrashSimulation simulation{options};
      int served_before = 0;
      for (int asked = 0; asked < 600; ++asked) {
        if (asked == 60) {
          for (const std::string& body : kCrashingBodies) simulation.send_crashing_request(body, 3);
        }
        if (asked == 400) served_before = simulation.ordinary().served;
        simulation.send_request(static_cast<std::size_t>(asked) % 3, "poll");
        simulation.run(milliseconds(50));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.quarantined_at("poll"));
      CPPUNIT_ASSERT_EQUAL(0, simulation.ordinary().quarantined);
      std::printf("figure poll seed=%u served_before=%d served_after=%d\n", seed, served_before,
                  simulation.ordinary().served - served_before);
      // The last third of the requests, sent after all crashing requests are in quarantine.
      CPPUNIT_ASSERT(simulation.ordinary().served - served_before > 190);
    }
  }

  // An ordinary request was refused to the end of a simulation: all gateways were restarted, and a
  // moment later all three engines crashed together. The request was running on each of them, so
  // each crash of the burst counted, supported by another one. Only the gateways' previous
  // processes had known that the request usually completes.
  void engines_failing_together_after_gateway_restarts_quarantine_nothing() {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulationOptions options;
      options.seed = seed;
      options.zones = 1;
      options.gateways_per_zone = 3;
      options.engines_per_zone = 3;
      options.ordinary_requests_per_s = 0;
      CrashSimulation simulation{options};
      const auto poll = [&simulation](int times) {
        for (int asked = 0; asked < times; ++asked) {
          simulation.send_request(static_cast<std::size_t>(asked) % 3, "poll");
          simulation.run(milliseconds(10));
        }
      };
      poll(300);
      for (std::size_t gateway = 0; gateway < 3; ++gateway) simulation.restart_gateway(gateway);
      poll(15);
      simulation.crash_engines(0);
      poll(300);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.quarantined_at("poll"));
      CPPUNIT_ASSERT_EQUAL(0, simulation.ordinary().quarantined);
    }
  }

  /// All engines crash, gateways restart, the engines come back and crash together again.
  /// @param restarted_gateways  how many of the three gateways restart; the others keep their
  /// record
  ///                            of completed requests.
  /// @param engine_uptime       from the engines' return to their second crash.
  static void check_failure_after_restart(std::uint32_t seed, std::size_t restarted_gateways,
                                          Duration engine_uptime) {
    CrashSimulationOptions options;
    options.seed = seed;
    options.zones = 1;
    options.gateways_per_zone = 3;
    options.engines_per_zone = 3;
    options.ordinary_requests_per_s = 0;
    CrashSimulation simulation{options};
    std::size_t asked = 0;
    const auto poll = [&](Duration span) {
      for (const TimePoint end = simulation.now() + span; simulation.now() < end; ++asked) {
        simulation.send_request(asked % 3, "poll");
        simulation.run(milliseconds(10));
      }
    };
    poll(seconds(3));
    simulation.crash_engines(0);
    for (std::size_t gateway = 0; gateway < restarted_gateways; ++gateway)
      simulation.restart_gateway(gateway);
    poll(CrashSimulation::kRestartTime + engine_uptime);
    simulation.crash_engines(0);
    poll(seconds(3));
    const std::string what = "seed " + std::to_string(seed) + ", new " +
                             std::to_string(restarted_gateways) + ", engines served for " +
                             std::to_string(to_milliseconds(engine_uptime)) + " ms";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, simulation.quarantined_at("poll"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, simulation.ordinary().quarantined);
  }

  // A gateway learns from completed responses, not from the passing of time, which requests
  // complete. Engines that come back seconds after the gateways have completed nothing until then.
  void engines_failing_soon_after_recovery_quarantine_nothing() {
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
      for (const std::size_t restarted_gateways : {1U, 2U, 3U}) {
        for (const int uptime_ms : {50, 150, 250, 400, 700, 1200, 2000, 3000}) {
          check_failure_after_restart(seed, restarted_gateways, milliseconds(uptime_ms));
        }
      }
    }
  }

  void zone_power_loss_quarantines_nothing() {
    CrashSimulation simulation{CrashSimulationOptions{}};
    simulation.run(seconds(2));
    const RequestNumber unlucky = simulation.send_request(0, "unlucky");
    CPPUNIT_ASSERT(unlucky > 0);
    for (std::size_t round = 0; round < 6; ++round) {
      simulation.run(milliseconds(60));
      simulation.lose_power(round % 3, seconds(1));
      simulation.send_request(round, "unlucky");
    }
    simulation.run(seconds(5));
    for (std::size_t gateway = 0; gateway < simulation.gateways(); ++gateway) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                           simulation.quarantine(gateway).verdict_digest(simulation.now()));
    }
    CPPUNIT_ASSERT_EQUAL(0, simulation.ordinary().quarantined);
  }

  void restarted_gateway_learns_verdicts_within_a_second() {
    CrashSimulation simulation{CrashSimulationOptions{}};
    simulation.send_crashing_request("killer");
    simulation.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(simulation.gateways(), simulation.quarantined_at("killer"));
    for (std::size_t gateway = 0; gateway < simulation.gateways(); ++gateway) {
      simulation.restart_gateway(gateway);
      simulation.run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(simulation.gateways(), simulation.quarantined_at("killer"));
    }
    CPPUNIT_ASSERT_EQUAL(kCrashesToQuarantine, simulation.engines_crashed_by("killer"));
  }

  void partitioned_gateway_learns_verdicts_after_reconnecting() {
    CrashSimulation simulation{CrashSimulationOptions{}};
    simulation.isolate_gateway(5);
    simulation.send_crashing_request("killer");
    simulation.run(seconds(10));
    CPPUNIT_ASSERT(simulation.quarantined_at("killer") >= simulation.gateways() - 1);
    simulation.reconnect_gateway(5);
    simulation.run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(simulation.gateways(), simulation.quarantined_at("killer"));
  }

  void quarantine_memory_is_bounded() {
    RequestQuarantine quarantine;
    TimePoint now{seconds(100)};
    std::size_t sent_entries = 0;
    for (std::uint64_t request = 1; request <= 10000; ++request) {
      for (int life = 0; life < kCrashesToQuarantine; ++life) {
        const BackendIncarnation backend{"e", static_cast<std::int64_t>(request) * 10 + life};
        quarantine.on_crash({backend, now, {{request, request}}});
      }
      now += milliseconds(10);
      for (const ReportedCrash& crash : quarantine.take_update(now).crashes)
        sent_entries += crash.requests.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, quarantine.list(now).size());
    CPPUNIT_ASSERT(quarantine.quarantined(RequestFingerprint{10000, 10000}, now));
    // 100 s at 64 entries per second, plus the burst allowance.
    CPPUNIT_ASSERT(sent_entries <= 64 * 100 + 200);
    CPPUNIT_ASSERT(quarantine.verdicts(now).crashes.size() <= 256 * 6);
  }

 private:
  static constexpr std::uint32_t kSeeds = 10;
  const std::vector<std::string> kCrashingBodies{"killer a", "killer b", "killer c", "killer d"};
  /// Until all gateways know of the third crash: the agent's next report, and one
  /// simulation step for the message between two gateways.
  static constexpr Duration kVerdictPropagation = milliseconds(150);

  /// Engines that crashed after all gateways could know of the verdict.
  static int crashes_after_verdict(CrashSimulation& simulation, const std::string& body) {
    const std::vector<TimePoint>& engine_crashes = simulation.crashes_by(body);
    if (engine_crashes.size() <= kCrashesToQuarantine) return 0;
    return static_cast<int>(std::count_if(
        engine_crashes.begin() + kCrashesToQuarantine, engine_crashes.end(), [&](auto at) {
          return at > engine_crashes[kCrashesToQuarantine - 1] + kVerdictPropagation;
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashContainmentTest);

}  // namespace pumicemast
