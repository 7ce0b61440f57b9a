#include "simulation/burst_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/fluid_bound.h"
#include "simulation/tree_baseline.h"
#include "support/charts.h"
#include "support/temporary_folder.h"

namespace pumicemast::simulation {
namespace {

/// Settings of a small fleet, simulated within milliseconds.
BurstSettings small_burst(const std::string& more = "") {
  const tests::TemporaryFolder folder;
  Findings findings;
  Settings settings(folder.write("burst.ini",
                                 "[fleet]\nmachines=24\nregions=3\nzones_per_region=2\n"
                                 "[model]\nbytes=134217728\nchunk_bytes=1048576\n"
                                 "[network]\nallowed_seconds=20\n" +
                                     more),
                    findings);
  BurstSettings burst = BurstSettings::read(settings);
  settings.report_unknown();
  CPPUNIT_ASSERT_MESSAGE(findings.report(), findings.empty());
  return burst;
}

constexpr char kFaults[] =
    "[faults]\ndeaths_per_minute=0.5\nstall_share=0.1\nstall_duration_ms=3000\n"
    "corrupt_share=0.02\nregion_cut_share=0.25\napi_down_share=0.5\ncorrupting_peers=0.05\n"
    "[supersede]\nat_share=0.3\nshared_chunks=0.5\n";

BurstResult run(const BurstSettings& settings) {
  return BurstSimulation(settings, tests::charts().replica).run();
}

}  // namespace

class BurstSimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BurstSimulationTest);
  CPPUNIT_TEST(reaches_every_machine_with_one_copy_from_the_origin);
  CPPUNIT_TEST(the_same_seed_gives_the_same_run);
  CPPUNIT_TEST(serves_only_complete_versions_under_faults_over_200_seeds);
  CPPUNIT_TEST(a_corrupting_peer_never_stops_the_burst);
  CPPUNIT_TEST(serves_nothing_when_every_chunk_is_corrupt);
  CPPUNIT_TEST(beats_the_tree);
  CPPUNIT_TEST(bounds_match_the_fluid_model);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reaches_every_machine_with_one_copy_from_the_origin() {
    for (const char* duplex : {"full", "half"}) {
      BurstSettings settings = small_burst("[rollout]\nobjective=origin_bytes\n");
      settings.network.duplex = std::string(duplex) == "full" ? Duplex::full : Duplex::half;
      const BurstResult result = run(settings);
      CPPUNIT_ASSERT_EQUAL(std::size_t{24}, result.live_times_s.size());
      CPPUNIT_ASSERT(static_cast<double>(result.origin_bytes) <=
                     1.05 * static_cast<double>(settings.model_bytes));
      CPPUNIT_ASSERT(result.live_times_s.back() >= settings.bound_s(24));
      CPPUNIT_ASSERT(result.live_times_s.back() <= 1.25 * settings.bound_s(24));
    }
  }

  void the_same_seed_gives_the_same_run() {
    const BurstSettings settings = small_burst(kFaults);
    const BurstResult first = run(settings);
    const BurstResult second = run(settings);
    CPPUNIT_ASSERT(first.live_times_s == second.live_times_s);
    CPPUNIT_ASSERT_EQUAL(first.events, second.events);
    CPPUNIT_ASSERT_EQUAL(first.origin_bytes, second.origin_bytes);
    BurstSettings other = settings;
    other.seed = 2;
    CPPUNIT_ASSERT(run(other).live_times_s != first.live_times_s);
  }

  void serves_only_complete_versions_under_faults_over_200_seeds() {
    BurstSettings settings = small_burst(kFaults);
    std::uint64_t corrupt = 0;
    for (settings.seed = 1; settings.seed <= 200; ++settings.seed) {
      const BurstResult result = run(settings);
      const std::string seed = "seed " + std::to_string(settings.seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint32_t{0}, result.partial_or_mixed_served);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::uint32_t{0}, result.never_live);
      corrupt += result.corrupt_chunks;
    }
    CPPUNIT_ASSERT(corrupt > 200);  // Shows that faults were injected.
  }

  void a_corrupting_peer_never_stops_the_burst() {
    BurstSettings settings = small_burst();
    settings.faults.corrupting_peers = 0.3;
    const BurstResult result = run(settings);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, result.never_live);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, result.partial_or_mixed_served);
    CPPUNIT_ASSERT(result.corrupt_chunks > 0);
  }

  void serves_nothing_when_every_chunk_is_corrupt() {
    BurstSettings settings = small_burst();
    settings.faults.corrupt_fraction = 1;
    settings.time_limit_factor = 2;
    const BurstResult result = run(settings);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{24}, result.never_live);
    CPPUNIT_ASSERT(result.live_times_s.empty());
  }

  void beats_the_tree() {
    BurstSettings settings = small_burst();
    const BurstResult swarm = run(settings);
    settings.strategy = Strategy::tree;
    const BurstResult tree = run_tree_baseline(settings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{24}, tree.live_times_s.size());
    CPPUNIT_ASSERT(tree.live_times_s.back() > 1.3 * swarm.live_times_s.back());
  }

  void bounds_match_the_fluid_model() {
    // 330 machines; in T = 240 s the origin's link carries 4 S and a machine's link 2 S.
    const double bytes = 1e9;
    const double full = fluid_bound_s(Duplex::full, 330, bytes, 4 * bytes / 240, 2 * bytes / 240);
    const double half = fluid_bound_s(Duplex::half, 330, bytes, 4 * bytes / 240, 2 * bytes / 240);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(120, full, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(238.55, half, 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurstSimulationTest);

}  // namespace pumicemast::simulation
