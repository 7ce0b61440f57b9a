#include "host/staging/inherited_staging.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {
namespace {

using Kind = InheritedStagingVerdict::Kind;
using Held = std::vector<std::optional<Sha256>>;

constexpr ChunkIndex kChunks = 4;
constexpr std::uint64_t kNewest = 7;
constexpr std::uint64_t kServing = 5;

WeightManifest manifest_of(std::uint64_t version) {
  WeightManifest manifest{"m", version, 0, 1, {}};
  for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
    manifest.hashes.push_back(sha256(std::to_string(version) + "/" + std::to_string(chunk)));
  }
  return manifest;
}

Held whole(std::uint64_t version) {
  const WeightManifest manifest = manifest_of(version);
  return {manifest.hashes.begin(), manifest.hashes.end()};
}

}  // namespace

/// An agent was killed while an order to start version 3 had no answer. Its successor knew of no
/// order and wrote version 5 over it; the engine then carried the order out, and callers got tokens
/// of both. Seen in 2 of 52 runs with agents killed at that moment.
class InheritedStagingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InheritedStagingTest);
  CPPUNIT_TEST(nothing_is_decided_before_the_engine_was_read);
  CPPUNIT_TEST(what_lies_there_in_part_was_ordered_by_nobody);
  CPPUNIT_TEST(a_whole_version_is_ordered_again);
  CPPUNIT_TEST(the_newest_version_that_lies_there_whole_is_ordered_again);
  CPPUNIT_TEST(what_the_engine_serves_may_be_written_over);
  CPPUNIT_TEST(a_version_that_was_being_written_over_was_not_ordered);
  CPPUNIT_TEST(what_cannot_be_told_is_left_alone_for_a_while);
  CPPUNIT_TEST_SUITE_END();

  InheritedStaging staging_{TimePoint{}};

  InheritedStagingVerdict decide(Duration age = milliseconds(100)) const {
    return staging_.decide(kNewest, kServing, TimePoint{} + age);
  }
  void assert_kind(Kind expected, Duration age = milliseconds(100)) const {
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(decide(age).kind));
  }

 public:
  void nothing_is_decided_before_the_engine_was_read() {
    staging_.on_manifest(manifest_of(kNewest));
    assert_kind(Kind::undecided, seconds(60));
  }

  void what_lies_there_in_part_was_ordered_by_nobody() {
    Held held = whole(6);
    held[2].reset();
    staging_.on_read(held);
    staging_.on_manifest(manifest_of(kNewest));
    assert_kind(Kind::free);
    CPPUNIT_ASSERT(staging_.wanted_manifests(kNewest, kServing).empty());
  }

  void a_whole_version_is_ordered_again() {
    staging_.on_read(whole(6));
    staging_.on_manifest(manifest_of(kNewest));
    assert_kind(Kind::undecided);
    CPPUNIT_ASSERT(
        (staging_.wanted_manifests(kNewest, kServing) == std::vector<std::uint64_t>{6, kServing}));
    staging_.on_manifest(manifest_of(6));
    assert_kind(Kind::order_again);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, decide().version);
  }

  void the_newest_version_that_lies_there_whole_is_ordered_again() {
    staging_.on_read(whole(kNewest));
    staging_.on_manifest(manifest_of(kNewest));
    assert_kind(Kind::order_again);
    CPPUNIT_ASSERT_EQUAL(kNewest, decide().version);
  }

  void what_the_engine_serves_may_be_written_over() {
    staging_.on_read(whole(kServing));
    staging_.on_manifest(manifest_of(kNewest));
    assert_kind(Kind::undecided);
    staging_.on_manifest(manifest_of(kServing));
    assert_kind(Kind::free);
  }

  void a_version_that_was_being_written_over_was_not_ordered() {
    Held held = whole(6);
    held[0] = manifest_of(kNewest).hashes[0];
    staging_.on_read(held);
    staging_.on_manifest(manifest_of(kNewest));
    // A version that shares the chunk may lie there whole.
    staging_.on_manifest(manifest_of(6));
    assert_kind(Kind::undecided);
    staging_.on_manifest(manifest_of(kServing));
    assert_kind(Kind::free);
  }

  /// Its manifest is to be had nowhere any more.
  void what_cannot_be_told_is_left_alone_for_a_while() {
    Held held = whole(kServing);
    held[1] = manifest_of(kNewest).hashes[1];
    staging_.on_read(held);
    staging_.on_manifest(manifest_of(kNewest));
    staging_.on_manifest(manifest_of(6));
    assert_kind(Kind::undecided, seconds(14));
    assert_kind(Kind::free, seconds(16));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InheritedStagingTest);

}  // namespace pumicemast
