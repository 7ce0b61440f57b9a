#include <cppunit/extensions/HelperMacros.h>

#include "support/staging_test.h"

namespace pumicemast {

/// Guards against a delay of 15 s in staging a version after all agents were restarted.
///
/// All agents were killed at the same moment while a version was being staged. The restarted agents
/// found the engines' staging memory full, mostly of chunks of the new version, and had to find out
/// whether an older version was completely staged, which an earlier process might have ordered. Its
/// manifest was not available: the origin keeps two manifests, and no other agent had it. So the
/// agents wrote nothing until any such order had expired, and 56 of 76 engines started the version
/// 15 s after its last chunk had arrived.
class RestartedAgentTest : public tests::StagingTest {
  CPPUNIT_TEST_SUITE(RestartedAgentTest);
  CPPUNIT_TEST(a_half_staged_version_resumes_without_older_manifests);
  CPPUNIT_TEST(a_half_staged_version_resumes_without_any_manifest);
  CPPUNIT_TEST(a_version_named_after_a_half_staged_one_is_staged);
  CPPUNIT_TEST(chunks_of_an_earlier_order_are_not_overwritten);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kThird = 10;
  /// Limit of the recovery; the missing chunks arrive at once.
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

  /// An unanswered order may be carried out at any moment and must find a complete version.
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
