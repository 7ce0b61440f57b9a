#include "weights/manifest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "support/temporary_folder.h"

namespace pumicemast {
namespace {

/// The manifest of `directory`, or the failure's code name.
std::optional<Manifest> manifest_of(const std::string& directory, std::uint32_t chunk_bytes) {
  return handle_error(
      [&]() -> leaf::result<std::optional<Manifest>> {
        BOOST_LEAF_AUTO(manifest, manifest_of_directory(directory, chunk_bytes));
        return std::optional(std::move(manifest));
      },
      [](const Error&) { return std::optional<Manifest>(); });
}

std::string parse_failure(const std::string& text) {
  return handle_error(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(Manifest::parse(text));
        return std::string();
      },
      [](const Error& error) { return error.place + " " + error.reason; });
}

}  // namespace

class ManifestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestTest);
  CPPUNIT_TEST(chunks_never_cross_files);
  CPPUNIT_TEST(round_trips_and_verifies_for_any_files);
  CPPUNIT_TEST(refuses_unsafe_and_inconsistent_manifests);
  CPPUNIT_TEST(never_crashes_on_any_text);
  CPPUNIT_TEST(digest_depends_on_content_and_paths);
  CPPUNIT_TEST(reports_a_file_that_changed_while_published);
  CPPUNIT_TEST_SUITE_END();

 public:
  void chunks_never_cross_files() {
    const tests::TemporaryFolder folder;
    folder.write("b/two.bin", std::string(5000, 'b'));
    folder.write("a.bin", std::string(4097, 'a'));
    folder.write("empty.txt", "");
    const auto manifest = manifest_of(folder.path(), kMinimumChunkBytes);
    CPPUNIT_ASSERT(manifest.has_value());
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{4}, manifest->chunk_count());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, manifest->place(1).bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("b/two.bin"), manifest->files()[manifest->place(2).file].path);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4096}, manifest->place(3).offset);
  }

  void round_trips_and_verifies_for_any_files() {
    const bool held = rc::check("manifests round-trip", [] {
      const auto sizes = *rc::gen::container<std::vector<std::uint16_t>>(
          rc::gen::inRange<std::uint16_t>(0, 20000));
      const tests::TemporaryFolder folder;
      std::size_t total = 0;
      for (std::size_t index = 0; index < sizes.size(); ++index) {
        folder.write("file" + std::to_string(index),
                     std::string(sizes[index], static_cast<char>(index)));
        total += sizes[index];
      }
      const auto manifest = manifest_of(folder.path(), kMinimumChunkBytes);
      RC_ASSERT(manifest.has_value() == (total > 0));
      if (!manifest) return;
      RC_ASSERT(manifest->total_bytes() == total);
      RC_ASSERT(parse_failure(manifest->serialize()).empty());
      for (ChunkIndex chunk = 0; chunk < manifest->chunk_count(); ++chunk) {
        const auto bytes = handle_error(
            [&]() -> leaf::result<std::string> {
              return read_chunk(folder.path(), *manifest, chunk);
            },
            [](const Error&) { return std::string(); });
        RC_ASSERT(manifest->verify(chunk, bytes));
        std::string altered = bytes;
        altered[altered.size() / 2] ^= 1;
        RC_ASSERT(!manifest->verify(chunk, altered));
        RC_ASSERT(!manifest->verify(chunk, bytes.substr(1)));
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void refuses_unsafe_and_inconsistent_manifests() {
    const tests::TemporaryFolder folder;
    folder.write("a.bin", std::string(9000, 'a'));
    const auto manifest = manifest_of(folder.path(), kMinimumChunkBytes);
    const auto good = nlohmann::json::parse(manifest->serialize());
    const auto failure_with = [&](const char* pointer, const nlohmann::json& value) {
      nlohmann::json changed = good;
      changed[nlohmann::json::json_pointer(pointer)] = value;
      return parse_failure(changed.dump());
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), parse_failure(good.dump()));
    for (const char* path : {"../a", "/a", "a//b", "a/./b", "", "a/.."}) {
      CPPUNIT_ASSERT(failure_with("/files/0/path", path).find("unsafe path") != std::string::npos);
    }
    CPPUNIT_ASSERT(failure_with("/files/0/bytes", 900000).find("count") != std::string::npos);
    CPPUNIT_ASSERT(failure_with("/chunk_bytes", 1).find("range") != std::string::npos);
    CPPUNIT_ASSERT(failure_with("/chunks/0", "abc").find("SHA-256") != std::string::npos);
    CPPUNIT_ASSERT(failure_with("/files/0/path", "b.bin").find("digest") != std::string::npos);
    CPPUNIT_ASSERT(!failure_with("/files/0/bytes", -1).empty());
  }

  void never_crashes_on_any_text() {
    const bool held = rc::check("hostile manifests are refused", [] {
      const auto text = *rc::gen::arbitrary<std::string>();
      RC_ASSERT(!parse_failure(text).empty());
    });
    CPPUNIT_ASSERT(held);
  }

  void digest_depends_on_content_and_paths() {
    const tests::TemporaryFolder first;
    const tests::TemporaryFolder second;
    const tests::TemporaryFolder third;
    first.write("a", "same");
    second.write("b", "same");
    third.write("a", "other");
    const std::string digest = manifest_of(first.path(), kMinimumChunkBytes)->digest();
    CPPUNIT_ASSERT(digest != manifest_of(second.path(), kMinimumChunkBytes)->digest());
    CPPUNIT_ASSERT(digest != manifest_of(third.path(), kMinimumChunkBytes)->digest());
  }

  void reports_a_file_that_changed_while_published() {
    const tests::TemporaryFolder folder;
    folder.write("a", "before");
    const auto manifest = manifest_of(folder.path(), kMinimumChunkBytes);
    folder.write("a", "after!");
    const std::string reason = handle_error(
        [&]() -> leaf::result<std::string> { return read_chunk(folder.path(), *manifest, 0); },
        [](const Error& error) { return error.reason; });
    CPPUNIT_ASSERT_EQUAL(std::string("changed while it was published"), reason);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestTest);

}  // namespace pumicemast
