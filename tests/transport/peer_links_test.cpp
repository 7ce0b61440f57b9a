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

/// Uses real sockets; waits for conditions instead of fixed times where possible.
class PeerLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(bounds_messages_pending_for_a_connection);
  CPPUNIT_TEST(drops_the_connection_of_a_peer_that_does_not_read);
  CPPUNIT_TEST(sends_over_the_new_connection_of_a_reconnected_peer);
  CPPUNIT_TEST(keeps_both_connections_after_simultaneous_connects);
  CPPUNIT_TEST(sends_over_the_second_connection_when_the_first_closes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // While machines cannot reach each other, messages to each of up to a hundred peers are queued.
  // Without a bound, all of them, long outdated, would be delivered once a connection is made.
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

  // The send queue is also bounded for a peer that accepts the connection but does not read.
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

  // A peer that detects a dead connection reconnects and repeats its request. If the response goes
  // to the old connection, responses are lost for seconds more.
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
    CPPUNIT_ASSERT_EQUAL(1, lost_count_);  // Tells the owner to repeat requests in transit.
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

  // A restarted gateway received no engine report from any of three agents for 25 s, until it
  // exited. Its first connection to an agent went dead within seconds and it connected again. The
  // agent read the second connection but wrote to the first; when the first closed, it wrote to
  // none, since agents do not know addresses of gateways, but still served the gateway's requests.
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

  /// Opens a connection, identifies itself as kPeerName and sends one request.
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
