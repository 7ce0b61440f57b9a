#include "host/download/chunk_uploads.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class ChunkUploadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChunkUploadsTest);
  CPPUNIT_TEST(time_is_measured_from_the_start_of_transmission);
  CPPUNIT_TEST(a_chunk_in_flight_is_not_started_again);
  CPPUNIT_TEST(the_request_time_is_kept_until_the_request_is_dropped);
  CPPUNIT_TEST(losing_a_peer_returns_its_uploads_and_drops_its_requests);
  CPPUNIT_TEST(an_unacknowledged_upload_expires);
  CPPUNIT_TEST_SUITE_END();

  static constexpr PeerChunk kUpload{7, 3};
  ChunkUploads uploads;
  TimePoint now{seconds(100)};

 public:
  void time_is_measured_from_the_start_of_transmission() {
    CPPUNIT_ASSERT(uploads.start(kUpload, now).has_value());
    now += milliseconds(400);  // Waits in the pacer.
    CPPUNIT_ASSERT(uploads.oldest_transmission_age(now) == Duration::zero());
    uploads.on_transmission_started(kUpload, now);
    now += milliseconds(30);
    CPPUNIT_ASSERT(uploads.oldest_transmission_age(now) == milliseconds(30));
    CPPUNIT_ASSERT(uploads.finish(kUpload, now) == milliseconds(30));
    CPPUNIT_ASSERT(!uploads.finish(kUpload, now).has_value());
  }

  void a_chunk_in_flight_is_not_started_again() {
    uploads.start(kUpload, now);
    uploads.on_requested(kUpload, now);
    CPPUNIT_ASSERT(!uploads.start(kUpload, now).has_value());
    uploads.finish(kUpload, now);
    CPPUNIT_ASSERT(uploads.start(kUpload, now).has_value());
  }

  void the_request_time_is_kept_until_the_request_is_dropped() {
    uploads.on_requested(kUpload, now);
    uploads.on_requested(kUpload, now + seconds(1));  // Requested again: the first request counts.
    CPPUNIT_ASSERT(uploads.start(kUpload, now + seconds(2))->requested_at == now);
    uploads.finish(kUpload, now);
    uploads.on_requested(kUpload, now);
    uploads.on_request_dropped(kUpload);
    CPPUNIT_ASSERT(uploads.start(kUpload, now)->requested_at == TimePoint{});
  }

  void losing_a_peer_returns_its_uploads_and_drops_its_requests() {
    uploads.start({7, 1}, now);
    uploads.start({8, 1}, now);
    uploads.on_requested({7, 2}, now);
    const auto lost = uploads.on_peer_lost(7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
    CPPUNIT_ASSERT(lost.front() == PeerChunk(7, 1));
    CPPUNIT_ASSERT(uploads.start({7, 2}, now)->requested_at == TimePoint{});
  }

  void an_unacknowledged_upload_expires() {
    uploads.start(kUpload, now);
    CPPUNIT_ASSERT(uploads.expired(now + milliseconds(1500)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, uploads.expired(now + milliseconds(1501)).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunkUploadsTest);

}  // namespace pumicemast
