#include "swarm/peer_record.h"

#include <cppunit/extensions/HelperMacros.h>

#include "swarm/chunk_subscribers.h"

namespace pumicemast {

class PeerRecordTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerRecordTest);
  CPPUNIT_TEST(a_few_corrupt_chunks_do_not_make_a_peer_avoided);
  CPPUNIT_TEST(a_peer_becomes_avoided_once_and_stays_so_after_a_reconnect);
  CPPUNIT_TEST(consecutive_stalls_double_the_pause_up_to_a_limit);
  CPPUNIT_TEST(a_delivery_ends_a_pause);
  CPPUNIT_TEST(a_lost_peer_gets_requests_only_after_it_rejoined);
  CPPUNIT_TEST(subscribers_are_answered_once_and_may_cancel);
  CPPUNIT_TEST_SUITE_END();

  PeerTrust trust;
  PeerRecord record{8};
  TimePoint now = TimePoint(seconds(100));

 public:
  void setUp() override { record.joined = true; }

  void a_few_corrupt_chunks_do_not_make_a_peer_avoided() {
    CPPUNIT_ASSERT(!record.on_delivery(true, trust, now));
    CPPUNIT_ASSERT(!record.on_delivery(true, trust, now));
    for (int chunk = 0; chunk < 100; ++chunk) record.on_delivery(false, trust, now);
    CPPUNIT_ASSERT(!record.on_delivery(true, trust, now));
    CPPUNIT_ASSERT(record.can_request(now));
  }

  void a_peer_becomes_avoided_once_and_stays_so_after_a_reconnect() {
    record.on_delivery(true, trust, now);
    record.on_delivery(true, trust, now);
    CPPUNIT_ASSERT(record.on_delivery(true, trust, now));
    CPPUNIT_ASSERT(!record.on_delivery(true, trust, now));
    record.on_lost();
    record.joined = true;
    CPPUNIT_ASSERT(!record.can_request(now));
  }

  void consecutive_stalls_double_the_pause_up_to_a_limit() {
    Duration pause = seconds(2);
    for (int stall = 0; stall < 5; ++stall) {
      record.on_stall(seconds(2), now);
      CPPUNIT_ASSERT(!record.can_request(now + pause - milliseconds(1)));
      CPPUNIT_ASSERT(record.can_request(now + pause));
      pause *= 2;
    }
    record.on_stall(seconds(2), now);
    CPPUNIT_ASSERT(record.can_request(now + seconds(32)));
  }

  void a_delivery_ends_a_pause() {
    record.on_stall(seconds(2), now);
    record.on_delivery(false, trust, now);
    CPPUNIT_ASSERT(record.can_request(now));
    CPPUNIT_ASSERT(record.last_arrival() == now);
  }

  void a_lost_peer_gets_requests_only_after_it_rejoined() {
    record.held.insert(3);
    record.open_requests = 2;
    record.on_lost();
    CPPUNIT_ASSERT(!record.can_request(now));
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{8}, record.held.size());
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{0}, record.held.count());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, record.open_requests);
  }

  void subscribers_are_answered_once_and_may_cancel() {
    ChunkSubscribers subscribers;
    subscribers.add(1, 10);
    subscribers.add(1, 11);
    subscribers.add(2, 10);
    subscribers.cancel(1, 10);
    subscribers.cancel(7, 10);
    CPPUNIT_ASSERT(subscribers.take(1) == std::vector<PeerId>{11});
    CPPUNIT_ASSERT(subscribers.take(1).empty());
    CPPUNIT_ASSERT(subscribers.take(2) == std::vector<PeerId>{10});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRecordTest);

}  // namespace pumicemast
