#include "transport/peer_links.h"

#include <cppunit/extensions/HelperMacros.h>

#include "common/hash.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

using tests::run_until;
using tests::ScriptedServer;

constexpr PeerId kPeer = 7;
constexpr const char* kPeerName = "peer";
const PeerId kNamedPeer = stable_hash(std::string_view(kPeerName));

wire::ChunkRequestT numbered(std::uint32_t number) {
  wire::ChunkRequestT message;
  message.digest = "d";
  message.chunk = number;
  return message;
}

}  // namespace

/// Real sockets; every wait is for a condition.
class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(bounds_messages_pending_for_a_connection);
  CPPUNIT_TEST(drops_the_connection_of_a_peer_that_does_not_read);
  CPPUNIT_TEST(sends_over_the_new_connection_of_a_reconnected_peer);
  CPPUNIT_TEST(keeps_both_connections_after_simultaneous_connects);
  CPPUNIT_TEST(sends_over_the_second_connection_when_the_first_closes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // While machines could not reach each other, whatever was to be told to them gathered for each
  // of up to a hundred peers, and all of it came, long untrue, when a connection was made.
  void bounds_messages_pending_for_a_connection() {
    constexpr std::uint32_t kMessages = 5000;
    constexpr std::size_t kMaximumPendingMessages = 256;
    const Address address = free_address();
    std::vector<std::uint32_t> received;
    PeerLinks other("other", metrics_,
                    {[&](PeerId, const wire::Frame& frame) {
                       const auto* message = frame.body_as_ChunkRequest();
                       if (message != nullptr) received.push_back(message->chunk());
                     },
                     [](PeerId) {}, [](PeerId) {}});
    const bool listens = handle_error(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(other.listen(address));
          return true;
        },
        [](const Error&) { return false; });
    CPPUNIT_ASSERT(listens);
    links_.set_address(kPeer, address);
    for (std::uint32_t number = 1; number <= kMessages; ++number) {
      links_.send(kPeer, numbered(number));
    }
    run_until([&] { return !received.empty() && received.back() == kMessages; });
    CPPUNIT_ASSERT(received.size() <= kMaximumPendingMessages);
  }

  // The same with a peer that takes the connection and stands still.
  void drops_the_connection_of_a_peer_that_does_not_read() {
    constexpr std::size_t kChunkBytes = 32U << 10U;
    constexpr std::size_t kMaximumQueuedBytes = 5U << 20U;
    ScriptedServer peer;
    links_.set_address(kPeer, peer.address());
    links_.set_queue_limit(kMaximumQueuedBytes - kChunkBytes * 2);
    links_.send(kPeer, numbered(0));
    run_until([&] { return links_.connected(kPeer); });
    wire::ChunkDataT chunk;
    chunk.digest = "d";
    chunk.bytes.resize(kChunkBytes);
    for (int count = 0; count < 1000; ++count) {
      links_.send(kPeer, chunk);
      CPPUNIT_ASSERT(links_.queued_bytes(kPeer) <= kMaximumQueuedBytes);
    }
    run_until([&] { return lost_count_ == 1; });
  }

  // Answers were lost for seconds more: who had noticed that its link was silent connected anew
  // and asked, and was answered over the old connection.
  void sends_over_the_new_connection_of_a_reconnected_peer() {
    const Address address = free_address();
    listen(address);
    auto old_connection = connect(address);
    run_until([&] { return links_.connected(kNamedPeer); });
    run_for(kLongerThanConnectTimeout);
    CPPUNIT_ASSERT_EQUAL(0, lost_count_);
    auto new_connection = connect(address);
    std::uint32_t received_chunk = 0;
    new_connection->start(
        {[&](const wire::Frame& frame) { received_chunk = frame.body_as_ChunkRequest()->chunk(); },
         [](const std::string&) {},
         {}});
    run_until([&] { return frames_received_ == 2; });
    links_.send(kNamedPeer, numbered(7));
    run_until([&] { return received_chunk == 7; });
    CPPUNIT_ASSERT_EQUAL(1, lost_count_);  // What was on its way is to be asked for again.
    CPPUNIT_ASSERT(links_.connected(kNamedPeer));
  }

  void keeps_both_connections_after_simultaneous_connects() {
    const Address address = free_address();
    listen(address);
    auto first = connect(address);
    auto second = connect(address);
    run_until([&] { return frames_received_ == 2; });
    run_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, lost_count_);
    CPPUNIT_ASSERT(first->is_open() && second->is_open());
  }

  // A gateway that had been started anew heard of no engine for 25 s, until its end: its first
  // connection to an agent went silent within seconds and it connected again. The agent read the
  // second connection and wrote to the first; when that ended it wrote to none, as it knows no
  // address of gateways. All three agents told nothing, while they took what the gateway asked.
  void sends_over_the_second_connection_when_the_first_closes() {
    const Address address = free_address();
    listen(address);
    auto first = connect(address);
    auto second = connect(address);
    std::uint32_t received_chunk = 0;
    second->start(
        {[&](const wire::Frame& frame) { received_chunk = frame.body_as_ChunkRequest()->chunk(); },
         [](const std::string&) {},
         {}});
    run_until([&] { return frames_received_ == 2; });
    first->close("silent");
    run_until([&] { return lost_count_ == 1; });
    links_.send(kNamedPeer, numbered(7));
    run_until([&] { return received_chunk == 7; });
  }

 private:
  static constexpr Duration kLongerThanConnectTimeout = milliseconds(3200);

  void listen(const Address& address) {
    const bool listens = handle_error(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(links_.listen(address));
          return true;
        },
        [](const Error&) { return false; });
    CPPUNIT_ASSERT(listens);
  }

  /// A connection that says who it is, and asks for something.
  static std::unique_ptr<WireConnection> connect(const Address& address) {
    std::unique_ptr<WireConnection> result;
    connect_wire(address, seconds(1), [&](std::unique_ptr<WireConnection> connection) {
      result = std::move(connection);
    });
    run_until([&] { return result != nullptr; });
    wire::PeerHelloT hello;
    hello.machine = kPeerName;
    result->send(hello);
    result->send(numbered(1));
    return result;
  }

  static void run_for(Duration duration) {
    const TimePoint end = loop_now() + duration;
    run_until([&] { return loop_now() >= end; });
  }

  static Address free_address() {
    const ScriptedServer closed_server;
    return closed_server.address();
  }

  Metrics metrics_;
  int lost_count_ = 0;
  int frames_received_ = 0;
  PeerLinks links_{"self",
                   metrics_,
                   {[this](PeerId, const wire::Frame&) { ++frames_received_; },
                    [this](PeerId) { ++lost_count_; }, [](PeerId) {}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

}  // namespace pumicemast
