// Guards against gateways that keep an old configuration, and against running out of memory, while
// large documents are distributed. After two configurations of several hundred KB, 2 s apart, two
// gateways still answered 404 by the older one more than 3 s after the second was acknowledged, and
// one gateway exceeded its memory limit of 160 MB.
// Two gateways of a zone read the document from the store and the others ask them. Sending it to
// all took longer than the fixed timeout for a whole document, so each gateway asked further
// holders, also in other regions, and then the same ones again. Holders queued a copy for each
// request, and the useless copies delayed the next ones.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "support/configuration_spread_simulation.h"

namespace pumicemast {

class ConfigurationSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationSpreadTest);
  CPPUNIT_TEST(all_gateways_have_the_newest_within_three_seconds);
  CPPUNIT_TEST(a_document_is_not_sent_more_often_than_needed);
  CPPUNIT_TEST(a_holder_queues_little_for_others);
  CPPUNIT_TEST(a_holder_that_hangs_is_skipped);
  CPPUNIT_TEST(a_full_link_between_regions_is_not_loaded_further);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kSeeds = 5;

  static SpreadOutcome spread(std::size_t document_bytes, std::uint32_t seed) {
    SpreadSetup setup;
    setup.document_bytes = document_bytes;
    setup.seed = seed;
    return spread_configurations(setup);
  }
  static std::string describe(const SpreadOutcome& outcome) {
    return "last_ms=" + std::to_string(to_milliseconds(outcome.propagation_time)) +
           " copies=" + std::to_string(outcome.copies) +
           " between_regions=" + std::to_string(outcome.copies_between_regions) +
           " peak_queued_bytes=" + std::to_string(outcome.peak_queued_bytes);
  }
  static void check(bool holds, const SpreadOutcome& outcome) {
    CPPUNIT_ASSERT_MESSAGE(describe(outcome), holds);
  }

 public:
  void all_gateways_have_the_newest_within_three_seconds() {
    for (const std::size_t bytes : {50'000U, 300'000U, 700'000U, 1'000'000U}) {
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const SpreadOutcome outcome = spread(bytes, seed);
        check(outcome.all_have_newest && outcome.propagation_time < seconds(3), outcome);
      }
    }
  }

  void a_document_is_not_sent_more_often_than_needed() {
    // 39 gateways lack two versions; the store readers among them fetch them from the store.
    for (const std::size_t bytes : {700'000U, 1'500'000U}) {
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const SpreadOutcome outcome = spread(bytes, seed);
        check(outcome.copies < 2 * 39 && outcome.copies_between_regions < 4, outcome);
      }
    }
  }

  void a_holder_queues_little_for_others() {
    constexpr std::size_t kLimitBytes = 5'000'000;  // 3 % of 160 MB.
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const SpreadOutcome outcome = spread(1'500'000, seed);
      check(outcome.peak_queued_bytes < kLimitBytes, outcome);
    }
  }

  void a_holder_that_hangs_is_skipped() {
    SpreadSetup setup;
    setup.document_bytes = 300'000;
    setup.reader_hangs_after = milliseconds(2100);
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      setup.seed = seed;
      const SpreadOutcome outcome = spread_configurations(setup);
      check(outcome.all_have_newest && outcome.propagation_time < seconds(3), outcome);
    }
  }

  void a_full_link_between_regions_is_not_loaded_further() {
    // The reads of four gateways from the store take 3.2 s over this link; two versions within 2 s
    // exceed its capacity.
    SpreadSetup setup;
    setup.document_bytes = 1'000'000;
    setup.region_mbit_per_s = 10;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      setup.seed = seed;
      const SpreadOutcome outcome = spread_configurations(setup);
      check(outcome.all_have_newest && outcome.propagation_time < seconds(8), outcome);
      check(outcome.copies_between_regions < 4 && outcome.peak_queued_bytes < 5'000'000, outcome);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSpreadTest);

}  // namespace pumicemast
