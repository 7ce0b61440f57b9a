#include <cppunit/extensions/HelperMacros.h>

#include "support/staging_test.h"

namespace pumicemast {

/// Engines served old weights for 15 s although all but a few chunks of the new ones lay there.
///
/// A version was under way when all agents were killed at the same moment. Their successors found
/// the engines' staging places full, mostly of the new version's chunks, and had to find out
/// whether an older version lay there whole, which a predecessor might have ordered. Its manifest
/// was to be had nowhere: the origin keeps two, and nobody else was left. So they wrote nothing
/// until any such order was too old: 56 of 76 engines started the version 15 s later than its last
/// chunk was there.
class RestartedAgentTest : public tests::StagingTest {
  CPPUNIT_TEST_SUITE(RestartedAgentTest);
  CPPUNIT_TEST(a_version_half_brought_goes_on_though_an_older_manifest_is_gone);
  CPPUNIT_TEST(a_version_half_brought_goes_on_without_any_manifest);
  CPPUNIT_TEST(a_version_named_after_the_one_half_brought_goes_on_too);
  CPPUNIT_TEST(what_a_predecessor_ordered_is_left_alone_before_and_after);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kThird = 10;
  /// Besides the time for missing chunks, which are here at once.
  static constexpr Duration kPrompt = seconds(2);

  void bring_half(std::uint64_t version) {
    origin_->set_newest(version);
    origin_->withhold_chunks_from(kChunks / 2);
    stager_->on_named(version);
    CPPUNIT_ASSERT(run_until([&] {
      return engine_->holds_chunk(version, 1) && engine_->holds_chunk(version, kChunks / 2 - 1);
    }));
  }

  void restart_agent(std::uint64_t named) {
    kill_agent();
    origin_->withhold_chunks_from(kChunks);
    start_agent();
    stager_->on_named(named);
  }

  void assert_soon_served(std::uint64_t version) {
    const TimePoint begun = loop_now();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == version; }));
    CPPUNIT_ASSERT(loop_now() - begun < kPrompt);
    assert_only_whole_versions_were_taken();
  }

 public:
  void setUp() override {
    tests::StagingTest::setUp();
    settings_.changeover = seconds(1);
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
  }

  void a_version_half_brought_goes_on_though_an_older_manifest_is_gone() {
    bring_half(kThird);
    origin_->forget_manifests_before(kSecond);
    restart_agent(kThird);
    assert_soon_served(kThird);
  }

  void a_version_half_brought_goes_on_without_any_manifest() {
    bring_half(kThird);
    origin_->forget_manifests_before(kThird + 1);
    restart_agent(kThird);
    assert_soon_served(kThird);
  }

  void a_version_named_after_the_one_half_brought_goes_on_too() {
    bring_half(kSecond);
    origin_->set_newest(kThird);
    origin_->forget_manifests_before(kThird);
    restart_agent(kThird);
    assert_soon_served(kThird);
  }

  /// An order without an answer may be carried out at any moment; it must find whole weights.
  void what_a_predecessor_ordered_is_left_alone_before_and_after() {
    engine_->leave_unanswered(1);
    name_second();
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    origin_->set_newest(kThird);
    restart_agent(kThird);
    const TimePoint end = loop_now() + milliseconds(500);
    while (engine_->holds(kSecond, kChunks) && loop_now() < end) step();
    engine_->carry_out_late_order();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kThird; }));
    assert_only_whole_versions_were_taken();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedAgentTest);

}  // namespace pumicemast
