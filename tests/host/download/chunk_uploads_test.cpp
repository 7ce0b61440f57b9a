#include "host/download/chunk_uploads.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class ChunkUploadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChunkUploadsTest);
  CPPUNIT_TEST(time_counts_from_when_the_link_took_a_chunk);
  CPPUNIT_TEST(a_chunk_on_its_way_is_not_begun_again);
  CPPUNIT_TEST(the_time_of_the_request_is_known_until_it_is_declined);
  CPPUNIT_TEST(a_lost_peers_uploads_are_named_and_its_requests_forgotten);
  CPPUNIT_TEST(an_upload_without_acknowledgement_expires);
  CPPUNIT_TEST_SUITE_END();

  static constexpr PeerChunk kUpload{7, 3};
  ChunkUploads uploads;
  TimePoint now{seconds(100)};

 public:
  void time_counts_from_when_the_link_took_a_chunk() {
    CPPUNIT_ASSERT(uploads.begin(kUpload, now).has_value());
    now += milliseconds(400);  // Its turn at the pacer.
    CPPUNIT_ASSERT(uploads.oldest_on_link(now) == Duration::zero());
    uploads.on_link_took(kUpload, now);
    now += milliseconds(30);
    CPPUNIT_ASSERT(uploads.oldest_on_link(now) == milliseconds(30));
    CPPUNIT_ASSERT(uploads.end(kUpload, now) == milliseconds(30));
    CPPUNIT_ASSERT(!uploads.end(kUpload, now).has_value());
  }

  void a_chunk_on_its_way_is_not_begun_again() {
    uploads.begin(kUpload, now);
    uploads.on_asked(kUpload, now);
    CPPUNIT_ASSERT(!uploads.begin(kUpload, now).has_value());
    uploads.end(kUpload, now);
    CPPUNIT_ASSERT(uploads.begin(kUpload, now).has_value());
  }

  void the_time_of_the_request_is_known_until_it_is_declined() {
    uploads.on_asked(kUpload, now);
    uploads.on_asked(kUpload, now + seconds(1));  // Asked again: the first counts.
    CPPUNIT_ASSERT(uploads.begin(kUpload, now + seconds(2))->asked_at == now);
    uploads.end(kUpload, now);
    uploads.on_asked(kUpload, now);
    uploads.on_declined(kUpload);
    CPPUNIT_ASSERT(uploads.begin(kUpload, now)->asked_at == TimePoint{});
  }

  void a_lost_peers_uploads_are_named_and_its_requests_forgotten() {
    uploads.begin({7, 1}, now);
    uploads.begin({8, 1}, now);
    uploads.on_asked({7, 2}, now);
    const auto lost = uploads.lose(7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
    CPPUNIT_ASSERT(lost.front() == PeerChunk(7, 1));
    CPPUNIT_ASSERT(uploads.begin({7, 2}, now)->asked_at == TimePoint{});
  }

  void an_upload_without_acknowledgement_expires() {
    uploads.begin(kUpload, now);
    CPPUNIT_ASSERT(uploads.expired(now + milliseconds(1500)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, uploads.expired(now + milliseconds(1501)).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunkUploadsTest);

}  // namespace pumicemast
