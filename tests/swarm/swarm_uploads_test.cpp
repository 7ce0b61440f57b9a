#include "swarm/swarm_uploads.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicemast {

class SwarmUploadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwarmUploadsTest);
  CPPUNIT_TEST(chunks_beyond_the_upload_slots_wait);
  CPPUNIT_TEST(requests_beyond_the_queue_limit_are_refused);
  CPPUNIT_TEST(a_narrow_link_has_a_short_queue_until_its_slots_grow);
  CPPUNIT_TEST(subscribers_get_a_chunk_once_it_is_held);
  CPPUNIT_TEST(cancelled_requests_and_lost_peers_get_nothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::uint32_t kQueueLimit = 6;
  static constexpr PeerId kPeer = 7;
  static constexpr PeerId kOther = 8;

  SwarmUploads uploads{kSlots, kQueueLimit};
  SwarmActions actions;

  void request(PeerId peer, ChunkIndex chunk) {
    uploads.on_request({peer, chunk, 0, false}, actions);
  }
  template <class Action>
  std::vector<Action> actions_of_type() const {
    std::vector<Action> found;
    for (const SwarmAction& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action)) found.push_back(*typed);
    }
    return found;
  }

 public:
  void chunks_beyond_the_upload_slots_wait() {
    for (ChunkIndex chunk = 0; chunk < 3; ++chunk) request(kPeer, chunk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kSlots}, actions_of_type<SendChunk>().size());
    CPPUNIT_ASSERT_EQUAL(kSlots, uploads.active());
    uploads.on_sent(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, actions_of_type<SendChunk>().size());
    uploads.on_sent(actions);
    uploads.on_sent(actions);
    CPPUNIT_ASSERT_EQUAL(0U, uploads.active());
  }

  void requests_beyond_the_queue_limit_are_refused() {
    for (ChunkIndex chunk = 0; chunk < kSlots + kQueueLimit + 1; ++chunk) request(kPeer, chunk);
    const auto refused = actions_of_type<RefuseChunk>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.size());
    CPPUNIT_ASSERT_EQUAL(kSlots + kQueueLimit, refused.front().chunk);
  }

  void a_narrow_link_has_a_short_queue_until_its_slots_grow() {
    uploads.set_slots(1);
    for (ChunkIndex chunk = 0; chunk < 6; ++chunk) request(kPeer, chunk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         actions_of_type<RefuseChunk>().size());  // One sent, four queued.
    uploads.set_slots(kSlots);
    request(kPeer, 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions_of_type<RefuseChunk>().size());
  }

  void subscribers_get_a_chunk_once_it_is_held() {
    uploads.on_subscription(kPeer, 3);
    CPPUNIT_ASSERT(actions.empty());
    uploads.on_held(4, actions);
    CPPUNIT_ASSERT(actions.empty());
    uploads.on_held(3, actions);
    uploads.on_held(3, actions);
    const auto sent = actions_of_type<SendChunk>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL(kPeer, sent.front().peer);
  }

  void cancelled_requests_and_lost_peers_get_nothing() {
    request(kOther, 0);
    request(kOther, 1);  // Occupies the second slot.
    request(kPeer, 2);
    request(kPeer, 3);
    uploads.on_subscription(kPeer, 4);
    uploads.on_cancel(kPeer, 2);
    uploads.on_cancel(kPeer, 4);
    uploads.on_peer_lost(kPeer);
    uploads.on_sent(actions);
    uploads.on_held(4, actions);
    for (const SendChunk& sent : actions_of_type<SendChunk>())
      CPPUNIT_ASSERT_EQUAL(kOther, sent.peer);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwarmUploadsTest);

}  // namespace pumicemast
