#include "swarm/open_requests.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class OpenRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenRequestsTest);
  CPPUNIT_TEST(subscriptions_do_not_count_against_the_window);
  CPPUNIT_TEST(closing_twice_counts_once);
  CPPUNIT_TEST(chunks_are_found_by_the_requested_peer);
  CPPUNIT_TEST(finds_fetches_older_than_a_limit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr PeerId kPeer = 7;
  static constexpr PeerId kOther = 8;

  PeerRequests requests;
  OriginFetches fetches;
  TimePoint now{seconds(10)};

 public:
  void subscriptions_do_not_count_against_the_window() {
    requests.open(1, {kPeer, now, false});
    requests.open(2, {kPeer, now, true});
    CPPUNIT_ASSERT_EQUAL(1U, requests.within_window());
    requests.close(2);
    CPPUNIT_ASSERT_EQUAL(1U, requests.within_window());
    requests.close(1);
    CPPUNIT_ASSERT_EQUAL(0U, requests.within_window());
  }

  void closing_twice_counts_once() {
    requests.open(1, {kPeer, now, false});
    requests.close(1);
    requests.close(1);
    CPPUNIT_ASSERT_EQUAL(0U, requests.within_window());
    CPPUNIT_ASSERT(requests.find(1) == nullptr);
  }

  void chunks_are_found_by_the_requested_peer() {
    requests.open(1, {kPeer, now, false});
    requests.open(2, {kOther, now, false});
    requests.open(3, {kPeer, now, true});
    CPPUNIT_ASSERT(requests.chunks_requested_from(kPeer) == std::vector<ChunkIndex>({1, 3}));
    CPPUNIT_ASSERT(requests.find(3)->subscription);
  }

  void finds_fetches_older_than_a_limit() {
    fetches.begin(1, now);
    fetches.begin(2, now + seconds(1));
    CPPUNIT_ASSERT(fetches.older_than(seconds(3), now + seconds(3)) ==
                   std::vector<ChunkIndex>({1}));
    CPPUNIT_ASSERT(fetches.end(1));
    CPPUNIT_ASSERT(!fetches.end(1));
    CPPUNIT_ASSERT_EQUAL(1U, fetches.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenRequestsTest);

}  // namespace pumicemast
