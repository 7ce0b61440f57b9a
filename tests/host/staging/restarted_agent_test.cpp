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
  CPPUNIT_TEST(a_half_staged_version_resumes_without_older_manifests);
  CPPUNIT_TEST(a_half_staged_version_resumes_without_any_manifest);
  CPPUNIT_TEST(a_version_named_after_a_half_staged_one_is_staged);
  CPPUNIT_TEST(chunks_of_an_earlier_order_are_not_overwritten);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kThird = 10;
  /// Besides the time for missing chunks, which are here at once.
  static constexpr Duration kRestartLimit = seconds(2);

  void stage_half(std::uint64_t version) {
    origin_->set_newest(version);
    origin_->withhold_chunks_from(kChunks / 2);
    stager_->on_version_named(version);
    CPPUNIT_ASSERT(run_until([&] {
      return engine_->holds_chunk(version, 1) && engine_->holds_chunk(version, kChunks / 2 - 1);
    }));
  }

  void restart_agent(std::uint64_t named) {
    kill_agent();
    origin_->withhold_chunks_from(kChunks);
    start_agent();
    stager_->on_version_named(named);
  }

  void assert_served_promptly(std::uint64_t version) {
    const TimePoint begun = loop_now();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == version; }));
    CPPUNIT_ASSERT(loop_now() - begun < kRestartLimit);
    assert_only_complete_versions_activated();
  }

 public:
  void setUp() override {
    tests::StagingTest::setUp();
    settings_.changeover = seconds(1);
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
  }

  void a_half_staged_version_resumes_without_older_manifests() {
    stage_half(kThird);
    origin_->forget_manifests_before(kSecond);
    restart_agent(kThird);
    assert_served_promptly(kThird);
  }

  void a_half_staged_version_resumes_without_any_manifest() {
    stage_half(kThird);
    origin_->forget_manifests_before(kThird + 1);
    restart_agent(kThird);
    assert_served_promptly(kThird);
  }

  void a_version_named_after_a_half_staged_one_is_staged() {
    stage_half(kSecond);
    origin_->set_newest(kThird);
    origin_->forget_manifests_before(kThird);
    restart_agent(kThird);
    assert_served_promptly(kThird);
  }

  /// An order without an answer may be carried out at any moment; it must find whole weights.
  void chunks_of_an_earlier_order_are_not_overwritten() {
    engine_->leave_unanswered(1);
    name_second();
    CPPUNIT_ASSERT(run_until([&] { return engine_->late_orders() == 1; }));
    origin_->set_newest(kThird);
    restart_agent(kThird);
    const TimePoint end = loop_now() + milliseconds(500);
    while (engine_->holds(kSecond, kChunks) && loop_now() < end) step();
    engine_->execute_late_order();
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == kThird; }));
    assert_only_complete_versions_activated();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedAgentTest);

}  // namespace pumicemast
