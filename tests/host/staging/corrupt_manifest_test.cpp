#include <cppunit/extensions/HelperMacros.h>

#include "support/staging_test.h"

namespace pumicemast {

/// Guards against manifests that are believed although a byte of them was corrupt.
///
/// One flipped bit in the version of the first manifest made all agents order their engines to
/// start a version that nobody had named, from chunks of another, and ignore the next named one.
/// One corrupt digest kept a version from ever becoming complete.
class CorruptManifestTest : public tests::StagingTest {
  CPPUNIT_TEST_SUITE(CorruptManifestTest);
  CPPUNIT_TEST(a_version_that_nobody_named_is_not_staged);
  CPPUNIT_TEST(an_older_version_that_the_origin_has_is_not_taken_for_the_newest);
  CPPUNIT_TEST(a_corrupt_digest_does_not_stick);
  CPPUNIT_TEST(a_corrupt_digest_does_not_stick_after_a_restart);
  CPPUNIT_TEST(every_second_manifest_may_be_corrupt);
  CPPUNIT_TEST_SUITE_END();

  /// Two to confirm a manifest, and two more for a corrupt one.
  static constexpr std::size_t kMaximumRequests = 4;

  static void corrupt_digest(WeightManifest& manifest) { manifest.hashes.at(5).front() ^= 1U; }

  void corrupt_first(const std::function<void(WeightManifest&)>& corrupt) {
    const std::size_t first = origin_->manifest_requests();
    origin_->corrupt_manifests([corrupt, first](std::size_t number, WeightManifest& manifest) {
      if (number == first) corrupt(manifest);
    });
  }

  void assert_serves(std::uint64_t version) {
    CPPUNIT_ASSERT(run_until([&] { return engine_->serving() == version; }));
    assert_only_complete_versions_activated();
  }

 public:
  void setUp() override {
    tests::StagingTest::setUp();
    settings_.changeover = seconds(1);
  }

  void a_version_that_nobody_named_is_not_staged() {
    corrupt_first([](WeightManifest& manifest) { manifest.version = kSecond + 1; });
    assert_serves(kFirst);
    CPPUNIT_ASSERT(origin_->manifest_requests() <= kMaximumRequests);
    name_second();
    assert_serves(kSecond);
  }

  void an_older_version_that_the_origin_has_is_not_taken_for_the_newest() {
    corrupt_first([](WeightManifest& manifest) { manifest.version = kFirst - 1; });
    assert_serves(kFirst);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->activations().size());
    CPPUNIT_ASSERT(origin_->manifest_requests() <= kMaximumRequests);
  }

  void a_corrupt_digest_does_not_stick() {
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    corrupt_first(corrupt_digest);
    const std::size_t before = origin_->manifest_requests();
    name_second();
    assert_serves(kSecond);
    CPPUNIT_ASSERT(origin_->manifest_requests() - before <= kMaximumRequests);
  }

  void a_corrupt_digest_does_not_stick_after_a_restart() {
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    kill_agent();
    corrupt_first(corrupt_digest);
    const std::size_t before = origin_->manifest_requests();
    start_agent();
    name_second();
    assert_serves(kSecond);
    // The recovery of the staging memory may need the manifest of the version before as well.
    CPPUNIT_ASSERT(origin_->manifest_requests() - before <= 2 * kMaximumRequests);
  }

  /// Whole answers agree although corrupt ones lie between them.
  void every_second_manifest_may_be_corrupt() {
    CPPUNIT_ASSERT(run_until([&] { return stager_->serving(); }));
    const std::size_t first = origin_->manifest_requests();
    origin_->corrupt_manifests([first](std::size_t number, WeightManifest& manifest) {
      if ((number - first) % 2 == 0) manifest.hashes.at(number % kChunks).back() ^= 1U;
    });
    name_second();
    assert_serves(kSecond);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CorruptManifestTest);

}  // namespace pumicemast
