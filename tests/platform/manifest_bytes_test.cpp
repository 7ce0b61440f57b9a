#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "common/hash.h"
#include "host/download/manifest_confirmation.h"
#include "platform/manifest_json.h"

namespace pumicemast::platform {

/// Guards against any byte of the origin's manifests being believed unchecked.
///
/// Corrupts each byte of an answer in turn and breaks each answer off at each length, and lets a
/// client follow the production code's decisions.
class ManifestBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestBytesTest);
  CPPUNIT_TEST(each_corrupt_byte_is_survived_without_a_stated_version);
  CPPUNIT_TEST(each_corrupt_byte_is_survived_with_a_stated_version);
  CPPUNIT_TEST(each_broken_off_answer_is_survived);
  CPPUNIT_TEST(numbers_out_of_bounds_are_refused);
  CPPUNIT_TEST(another_model_is_refused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kNewest = 12;
  static constexpr std::uint64_t kOldest = 11;
  static constexpr std::uint32_t kLayers = 60;
  static constexpr std::size_t kChunks = 4;
  /// One corrupt answer costs at most two requests more than two whole ones.
  static constexpr std::size_t kMaximumRequests = 4;

  using Corruption = std::function<void(std::string&)>;

  static nlohmann::json document(std::uint64_t version) {
    nlohmann::json digests = nlohmann::json::array();
    for (std::size_t chunk = 0; chunk < kChunks; ++chunk) {
      digests.push_back(to_hex(sha256(std::to_string(version) + "/" + std::to_string(chunk))));
    }
    return {{"model", "m"},
            {"version", version},
            {"chunkBytes", 24576},
            {"layers", kLayers},
            {"digests", digests}};
  }

  /// Requests manifests of `version` until one is confirmed; corrupts the answer `corrupt_number`,
  /// from 0.
  static void assert_right_manifest(std::uint64_t version, std::size_t corrupt_number,
                                    const Corruption& corrupt) {
    ManifestConfirmation confirmation;
    confirmation.begin("m", version);
    for (std::size_t request = 0; request < kMaximumRequests; ++request) {
      const std::uint64_t stated = confirmation.next_version();
      if (stated != 0 && (stated < kOldest || stated > kNewest)) {
        confirmation.on_failed();
        continue;
      }
      std::string text = document(stated == 0 ? kNewest : stated).dump();
      if (request == corrupt_number) corrupt(text);
      const auto manifest =
          read_manifest(nlohmann::json::parse(text, nullptr, false), "m", kLayers);
      if (!manifest) {
        confirmation.on_failed();
        continue;
      }
      if (confirmation.on_answer(*manifest) != ManifestConfirmation::Verdict::confirmed) continue;
      CPPUNIT_ASSERT(*manifest == *read_manifest(document(kNewest), "m", kLayers));
      return;
    }
    CPPUNIT_FAIL("no manifest was confirmed");
  }

  static void corrupt_each_byte(std::uint64_t version) {
    const std::size_t bytes = document(kNewest).dump().size();
    for (std::size_t at = 0; at < bytes; ++at) {
      for (unsigned bit = 0; bit < 8; ++bit) {
        for (const std::size_t corrupt_number : {0U, 1U}) {
          assert_right_manifest(version, corrupt_number, [at, bit](std::string& text) {
            text[at] = static_cast<char>(static_cast<unsigned char>(text[at]) ^ (1U << bit));
          });
        }
      }
    }
  }

  static bool accepts(const char* key, const nlohmann::json& value) {
    nlohmann::json body = document(kNewest);
    body[key] = value;
    return read_manifest(body, "m", kLayers).has_value();
  }

 public:
  void each_corrupt_byte_is_survived_without_a_stated_version() { corrupt_each_byte(0); }
  void each_corrupt_byte_is_survived_with_a_stated_version() { corrupt_each_byte(kNewest); }

  void each_broken_off_answer_is_survived() {
    const std::size_t bytes = document(kNewest).dump().size();
    for (const std::uint64_t version : {std::uint64_t{0}, kNewest}) {
      for (std::size_t length = 0; length < bytes; ++length) {
        const Corruption break_off = [length](std::string& text) { text.resize(length); };
        for (const std::size_t corrupt_number : {0U, 1U})
          assert_right_manifest(version, corrupt_number, break_off);
      }
    }
  }

  void numbers_out_of_bounds_are_refused() {
    CPPUNIT_ASSERT(accepts("version", kNewest));
    for (const char* key : {"version", "chunkBytes", "layers"}) {
      for (const nlohmann::json& value :
           {nlohmann::json(0), nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("12"),
            nlohmann::json(true)}) {
        CPPUNIT_ASSERT_MESSAGE(key + (" " + value.dump()), !accepts(key, value));
      }
    }
    CPPUNIT_ASSERT(!accepts("chunkBytes", kMaximumChunkBytes + 1));
    CPPUNIT_ASSERT(!accepts("layers", kLayers + 1));
    CPPUNIT_ASSERT(!accepts("digests", nlohmann::json::array()));
    CPPUNIT_ASSERT(!accepts("digests", nlohmann::json::array({"12"})));
  }

  void another_model_is_refused() {
    CPPUNIT_ASSERT(!accepts("model", "n"));
    CPPUNIT_ASSERT(!accepts("model", nullptr));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestBytesTest);

}  // namespace pumicemast::platform
