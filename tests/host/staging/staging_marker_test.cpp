#include "host/staging/staging_marker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class StagingMarkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StagingMarkerTest);
  CPPUNIT_TEST(a_marker_contains_the_manifest);
  CPPUNIT_TEST(a_corrupt_marker_is_rejected);
  CPPUNIT_TEST(a_chunk_is_not_a_marker);
  CPPUNIT_TEST_SUITE_END();

  static WeightManifest manifest() {
    return {"m", 7, 24576, 16, {sha256("first"), sha256("second")}};
  }

 public:
  void a_marker_contains_the_manifest() {
    const auto read = decode_staging_marker(encode_staging_marker(manifest()));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(manifest().model, read->model);
    CPPUNIT_ASSERT_EQUAL(manifest().version, read->version);
    CPPUNIT_ASSERT_EQUAL(manifest().layers, read->layers);
    CPPUNIT_ASSERT(manifest().hashes == read->hashes);
  }

  void a_corrupt_marker_is_rejected() {
    const std::string marker = encode_staging_marker(manifest());
    for (std::size_t at = 0; at < marker.size(); ++at) {
      std::string corrupt = marker;
      corrupt[at] = static_cast<char>(corrupt[at] ^ 1);
      CPPUNIT_ASSERT(!decode_staging_marker(corrupt));
      CPPUNIT_ASSERT(!decode_staging_marker(std::string_view(marker).substr(0, at)));
    }
  }

  void a_chunk_is_not_a_marker() {
    CPPUNIT_ASSERT(!decode_staging_marker(""));
    CPPUNIT_ASSERT(!decode_staging_marker(std::string(24576, 'w')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StagingMarkerTest);

}  // namespace pumicemast
