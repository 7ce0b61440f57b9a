#include "swarm/swarm.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pumicemast {
namespace {

constexpr ChunkIndex kChunks = 40;
constexpr PeerId kSelf = 1000;
constexpr PeerId kPeer = 2000;
constexpr PeerId kOther = 3000;

template <class Action>
std::vector<Action> find_actions(const SwarmActions& actions) {
  std::vector<Action> found;
  for (const SwarmAction& action : actions) {
    if (const auto* typed = std::get_if<Action>(&action)) found.push_back(*typed);
  }
  return found;
}

ChunkSet all_chunks() {
  ChunkSet set(kChunks);
  for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) set.insert(chunk);
  return set;
}

}  // namespace

class SwarmTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwarmTest);
  CPPUNIT_TEST(open_requests_stay_within_the_windows);
  CPPUNIT_TEST(requests_from_another_peer_after_a_stall);
  CPPUNIT_TEST(a_busy_peer_does_not_count_as_stalled);
  CPPUNIT_TEST(avoids_a_peer_that_often_corrupts_but_not_one_on_a_lossy_link);
  CPPUNIT_TEST(serves_the_peer_with_least_progress_first);
  CPPUNIT_TEST(refuses_chunks_that_it_does_not_hold);
  CPPUNIT_TEST(a_late_duplicate_is_counted_and_not_announced);
  CPPUNIT_TEST(a_paused_swarm_requests_nothing_but_still_uploads);
  CPPUNIT_TEST(completes_once_and_announces_to_its_neighbours);
  CPPUNIT_TEST(chunks_of_a_lost_peer_are_requested_elsewhere);
  CPPUNIT_TEST(invalid_chunk_indices_are_ignored);
  CPPUNIT_TEST(a_late_joiner_fetches_from_the_origin_only_what_no_neighbour_holds);
  CPPUNIT_TEST(a_narrow_link_refuses_a_long_queue);
  CPPUNIT_TEST(chunks_of_a_lagging_owner_are_taken_over);
  CPPUNIT_TEST_SUITE_END();

 public:
  void open_requests_stay_within_the_windows() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    CPPUNIT_ASSERT(find_actions<RequestFromOrigin>(actions).size() <= 2);
    join(swarm, kPeer, actions);
    join(swarm, kOther, actions);
    const auto requests = find_actions<RequestFromPeer>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, requests.size());  // Two per peer.
    std::set<ChunkIndex> distinct;
    for (const RequestFromPeer& request : requests) distinct.insert(request.chunk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, distinct.size());
    CPPUNIT_ASSERT(swarm.chunks_in_memory() <= 6);
  }

  void requests_from_another_peer_after_a_stall() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    const auto first = find_actions<RequestFromPeer>(actions);
    CPPUNIT_ASSERT(!first.empty());
    join(swarm, kOther, actions);
    actions.clear();
    now_ += seconds(11);
    swarm.on_tick(now_, actions);
    CPPUNIT_ASSERT(find_actions<CancelFromPeer>(actions).size() >= first.size());
    CPPUNIT_ASSERT(swarm.counters().request_timeouts >= first.size());
    for (const RequestFromPeer& again : find_actions<RequestFromPeer>(actions)) {
      CPPUNIT_ASSERT(again.peer != kPeer);
    }
  }

  /// With large chunks on slow links, the response to the last request of a window may take many
  /// times longer than the first. While the peer delivers chunks, no request is cancelled.
  void a_busy_peer_does_not_count_as_stalled() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    for (ChunkIndex chunk = 30; chunk < 40; ++chunk) {
      now_ += seconds(9);
      actions.clear();
      swarm.on_tick(now_, actions);
      CPPUNIT_ASSERT(find_actions<CancelFromPeer>(actions).empty());
      swarm.on_chunk(kPeer, chunk, ChunkArrival::verified, now_, actions);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, swarm.counters().request_timeouts);
  }

  void avoids_a_peer_that_often_corrupts_but_not_one_on_a_lossy_link() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    join(swarm, kOther, actions);
    // kOther sends one corrupt chunk among many, kPeer only corrupt ones.
    for (ChunkIndex chunk = 0; chunk < 20; ++chunk) {
      swarm.on_chunk(kOther, chunk, chunk == 0 ? ChunkArrival::corrupt : ChunkArrival::verified,
                     now_, actions);
    }
    for (ChunkIndex chunk = 20; chunk < 24; ++chunk) {
      swarm.on_chunk(kPeer, chunk, ChunkArrival::corrupt, now_, actions);
    }
    const auto avoided = find_actions<PeerAvoided>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, avoided.size());
    CPPUNIT_ASSERT_EQUAL(kPeer, avoided[0].peer);
    for (ChunkIndex chunk = 20; chunk < 24; ++chunk) {
      CPPUNIT_ASSERT(!swarm.have().contains(chunk));
    }
    // A reconnect does not clear the record.
    swarm.on_peer_lost(kPeer, now_, actions);
    actions.clear();
    join(swarm, kPeer, actions);
    now_ += seconds(30);
    swarm.on_tick(now_, actions);
    for (const RequestFromPeer& request : find_actions<RequestFromPeer>(actions)) {
      CPPUNIT_ASSERT(request.peer != kPeer);
    }
  }

  void serves_the_peer_with_least_progress_first() {
    Swarm swarm(options(), all_chunks());
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    actions.clear();
    swarm.on_request(kPeer, 1, 30, now_, actions);
    swarm.on_request(kPeer, 2, 30, now_, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, find_actions<SendChunk>(actions).size());
    swarm.on_request(kPeer, 3, 31, now_, actions);
    swarm.on_request(kOther, 4, 5, now_, actions);
    actions.clear();
    swarm.on_sent(now_, actions);
    CPPUNIT_ASSERT_EQUAL(kOther, find_actions<SendChunk>(actions).at(0).peer);
    swarm.on_cancel(kPeer, 3);
    actions.clear();
    swarm.on_sent(now_, actions);
    CPPUNIT_ASSERT(find_actions<SendChunk>(actions).empty());
  }

  void refuses_chunks_that_it_does_not_hold() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    actions.clear();
    swarm.on_request(kPeer, 3, 0, now_, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_actions<RefuseChunk>(actions).size());
    CPPUNIT_ASSERT(find_actions<SendChunk>(actions).empty());
  }

  void a_late_duplicate_is_counted_and_not_announced() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    swarm.on_chunk(kPeer, 5, ChunkArrival::verified, now_, actions);
    actions.clear();
    swarm.on_chunk(kPeer, 5, ChunkArrival::verified, now_, actions);
    now_ += seconds(1);
    CPPUNIT_ASSERT(find_actions<AnnounceChunks>(actions).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, swarm.counters().duplicate_chunks);
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{1}, swarm.have().count());
  }

  void a_paused_swarm_requests_nothing_but_still_uploads() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.set_paused(true, now_, actions);
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    swarm.on_chunk(kPeer, 5, ChunkArrival::verified, now_, actions);
    now_ += seconds(30);
    swarm.on_tick(now_, actions);
    CPPUNIT_ASSERT(find_actions<RequestFromPeer>(actions).empty());
    CPPUNIT_ASSERT(find_actions<RequestFromOrigin>(actions).empty());
    swarm.on_request(kOther, 5, 0, now_, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_actions<SendChunk>(actions).size());
    actions.clear();
    swarm.set_paused(false, now_, actions);
    CPPUNIT_ASSERT(!find_actions<RequestFromPeer>(actions).empty());
  }

  void completes_once_and_announces_to_its_neighbours() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
      swarm.on_chunk(kPeer, chunk, ChunkArrival::verified, now_, actions);
    }
    swarm.on_chunk(kPeer, 0, ChunkArrival::verified, now_, actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_actions<SwarmComplete>(actions).size());
    std::set<ChunkIndex> announced;
    for (const AnnounceChunks& announcement : find_actions<AnnounceChunks>(actions)) {
      announced.insert(announcement.chunks.begin(), announcement.chunks.end());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kChunks}, announced.size());
  }

  void chunks_of_a_lost_peer_are_requested_elsewhere() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    const auto asked = find_actions<RequestFromPeer>(actions);
    actions.clear();
    swarm.on_peer_lost(kPeer, now_, actions);
    join(swarm, kOther, actions);
    for (int round = 0; round < 100 && !swarm.complete(); ++round) {
      const auto requests = find_actions<RequestFromPeer>(actions);
      actions.clear();
      for (const RequestFromPeer& request : requests) {
        CPPUNIT_ASSERT_EQUAL(kOther, request.peer);
        swarm.on_chunk(kOther, request.chunk, ChunkArrival::verified, now_, actions);
      }
      now_ += milliseconds(100);
      swarm.on_tick(now_, actions);
    }
    for (const RequestFromPeer& request : asked) {
      CPPUNIT_ASSERT(swarm.have().contains(request.chunk));
    }
  }

  void invalid_chunk_indices_are_ignored() {
    Swarm swarm = make_swarm();
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    join(swarm, kPeer, actions);
    actions.clear();
    swarm.on_peer_has(kPeer, {kChunks, UINT32_MAX}, now_, actions);
    swarm.on_chunk(kPeer, kChunks, ChunkArrival::verified, now_, actions);
    swarm.on_request(kPeer, UINT32_MAX, 0, now_, actions);
    swarm.on_refused(kPeer, UINT32_MAX, now_, actions);
    swarm.on_cancel(kPeer, UINT32_MAX);
    CPPUNIT_ASSERT(find_actions<SendChunk>(actions).empty());
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{0}, swarm.have().count());
  }

  void a_late_joiner_fetches_from_the_origin_only_what_no_neighbour_holds() {
    SwarmOptions late = options();
    late.external_fetch_delay = milliseconds(80);
    Swarm swarm(late, ChunkSet(kChunks));
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    CPPUNIT_ASSERT(find_actions<RequestFromOrigin>(actions).empty());
    join(swarm, kPeer, actions);  // kPeer holds all chunks.
    now_ += milliseconds(100);
    swarm.on_tick(now_, actions);
    CPPUNIT_ASSERT(!find_actions<RequestFromPeer>(actions).empty());
    // An agent without neighbours that hold chunks does fetch from the origin.
    Swarm alone(late, ChunkSet(kChunks));
    actions.clear();
    alone.on_membership(membership(), now_, actions);
    now_ += milliseconds(100);
    alone.on_tick(now_, actions);
    CPPUNIT_ASSERT(!find_actions<RequestFromOrigin>(actions).empty());
  }

  void a_narrow_link_refuses_a_long_queue() {
    Swarm swarm(options(), all_chunks());
    SwarmActions actions;
    swarm.on_membership(membership(), now_, actions);
    swarm.set_limits(8, 1);
    for (ChunkIndex chunk = 0; chunk < 10; ++chunk) {
      swarm.on_request(kPeer, chunk, 0, now_, actions);
    }
    // One upload is in progress, four requests wait.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_actions<SendChunk>(actions).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, find_actions<RefuseChunk>(actions).size());
  }

  void chunks_of_a_lagging_owner_are_taken_over() {
    SwarmOptions watching = options();
    watching.lag_check_interval = milliseconds(100);
    watching.origin_window = kChunks;
    Swarm swarm(watching, ChunkSet(kChunks));
    SwarmActions actions;
    const auto members = std::make_shared<SwarmMembership>(
        std::vector<SwarmParticipant>{{kSelf, 1, 1}, {kPeer, 1, 1}, {kOther, 1, 2}}, 5, kChunks);
    swarm.on_membership(members, now_, actions);
    std::set<ChunkIndex> of_lagging;
    for (ChunkIndex chunk = 0; chunk < kChunks; ++chunk) {
      if (members->owner(chunk, 0)->id == kPeer) {
        of_lagging.insert(chunk);
      } else {
        swarm.on_chunk(kOther, chunk, ChunkArrival::verified, now_, actions);
      }
    }
    CPPUNIT_ASSERT(of_lagging.size() >= kChunks / 3);
    actions.clear();
    now_ += milliseconds(900);
    swarm.on_tick(now_, actions);
    CPPUNIT_ASSERT(find_actions<RequestFromOrigin>(actions).empty());  // Too early to tell.
    now_ += milliseconds(200);
    swarm.on_tick(now_, actions);
    swarm.on_tick(now_, actions);
    const auto origin_requests = find_actions<RequestFromOrigin>(actions);
    CPPUNIT_ASSERT(!origin_requests.empty());
    for (const RequestFromOrigin& origin_request : origin_requests)
      CPPUNIT_ASSERT(of_lagging.contains(origin_request.chunk));
  }

 private:
  static SwarmOptions options() {
    SwarmOptions result;
    result.self = kSelf;
    return result;
  }
  static Swarm make_swarm() { return Swarm(options(), ChunkSet(kChunks)); }
  static std::shared_ptr<const SwarmMembership> membership() {
    return std::make_shared<SwarmMembership>(
        std::vector<SwarmParticipant>{{kSelf, 1, 1}, {kPeer, 1, 1}, {kOther, 1, 2}}, 5);
  }
  void join(Swarm& swarm, PeerId peer, SwarmActions& actions) const {
    swarm.on_peer_joined(peer, all_chunks(), now_, actions);
  }

  TimePoint now_{seconds(10)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SwarmTest);

}  // namespace pumicemast
