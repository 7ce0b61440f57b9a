#include "agent/local_copies.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class LocalCopiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LocalCopiesTest);
  CPPUNIT_TEST(chunks_with_equal_hashes_are_copied_from_any_index);
  CPPUNIT_TEST(chunks_not_held_are_not_copied);
  CPPUNIT_TEST(chunks_already_present_are_not_copied);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<Sha256> hashes(const std::vector<std::string>& contents) {
    std::vector<Sha256> result;
    result.reserve(contents.size());
    for (const std::string& content : contents) result.push_back(sha256(content));
    return result;
  }
  static ChunkSet set_of(ChunkIndex size, const std::vector<ChunkIndex>& chunks) {
    ChunkSet set(size);
    for (const ChunkIndex chunk : chunks) set.insert(chunk);
    return set;
  }

  std::vector<Sha256> wanted = hashes({"a", "b", "c"});
  std::vector<Sha256> old = hashes({"c", "x", "a"});

 public:
  void chunks_with_equal_hashes_are_copied_from_any_index() {
    const ChunkSet held = set_of(3, {0, 1, 2});
    const auto copies = plan_local_copies(wanted, ChunkSet(3), {{"old", old, held}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, copies.size());
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{0}, copies[0].chunk);
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{2}, copies[0].source_chunk);
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{2}, copies[1].chunk);
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{0}, copies[1].source_chunk);
    CPPUNIT_ASSERT_EQUAL(std::string("old"), copies[1].source_digest);
  }

  void chunks_not_held_are_not_copied() {
    const ChunkSet held = set_of(3, {1, 2});
    const auto copies = plan_local_copies(wanted, ChunkSet(3), {{"old", old, held}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copies.size());
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{0}, copies[0].chunk);
  }

  void chunks_already_present_are_not_copied() {
    const ChunkSet held = set_of(3, {0, 1, 2});
    CPPUNIT_ASSERT(plan_local_copies(wanted, set_of(3, {0, 2}), {{"old", old, held}}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LocalCopiesTest);

}  // namespace pumicemast
