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
  CPPUNIT_TEST(what_waits_for_a_connection_is_bounded);
  CPPUNIT_TEST(a_peer_that_does_not_read_is_given_up);
  CPPUNIT_TEST(a_peer_that_connects_anew_is_answered_there);
  CPPUNIT_TEST(two_that_connect_at_once_keep_what_they_said);
  CPPUNIT_TEST(a_peer_is_answered_on_its_second_connection_once_the_first_ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  // While machines could not reach each other, whatever was to be told to them gathered for each
  // of up to a hundred peers, and all of it came, long untrue, when a connection was made.
  void what_waits_for_a_connection_is_bounded() {
    constexpr std::uint32_t kMessages = 5000;
    constexpr std::size_t kMostWaiting = 256;
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
    CPPUNIT_ASSERT(received.size() <= kMostWaiting);
  }

  // The same with a peer that takes the connection and stands still.
  void a_peer_that_does_not_read_is_given_up() {
    constexpr std::size_t kChunkBytes = 32U << 10U;
    constexpr std::size_t kMostQueued = 5U << 20U;
    ScriptedServer peer;
    links_.set_address(kPeer, peer.address());
    links_.set_queue_limit(kMostQueued - kChunkBytes * 2);
    links_.send(kPeer, numbered(0));
    run_until([&] { return links_.connected(kPeer); });
    wire::ChunkDataT chunk;
    chunk.digest = "d";
    chunk.bytes.resize(kChunkBytes);
    for (int count = 0; count < 1000; ++count) {
      links_.send(kPeer, chunk);
      CPPUNIT_ASSERT(links_.queued_bytes(kPeer) <= kMostQueued);
    }
    run_until([&] { return lost_ == 1; });
  }

  // Answers were lost for seconds more: who had noticed that its link was silent connected anew
  // and asked, and was answered over the old connection.
  void a_peer_that_connects_anew_is_answered_there() {
    const Address address = free_address();
    listen(address);
    auto old_connection = connect(address);
    run_until([&] { return links_.connected(kNamedPeer); });
    pass(kLongerThanConnecting);
    CPPUNIT_ASSERT_EQUAL(0, lost_);
    auto new_connection = connect(address);
    std::uint32_t answered = 0;
    new_connection->start(
        {[&](const wire::Frame& frame) { answered = frame.body_as_ChunkRequest()->chunk(); },
         [](const std::string&) {},
         {}});
    run_until([&] { return asked_ == 2; });
    links_.send(kNamedPeer, numbered(7));
    run_until([&] { return answered == 7; });
    CPPUNIT_ASSERT_EQUAL(1, lost_);  // What was on its way is to be asked for again.
    CPPUNIT_ASSERT(links_.connected(kNamedPeer));
  }

  void two_that_connect_at_once_keep_what_they_said() {
    const Address address = free_address();
    listen(address);
    auto first = connect(address);
    auto second = connect(address);
    run_until([&] { return asked_ == 2; });
    pass(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, lost_);
    CPPUNIT_ASSERT(first->is_open() && second->is_open());
  }

  // A gateway that had been started anew heard of no engine for 25 s, until its end: its first
  // connection to an agent went silent within seconds and it connected again. The agent read the
  // second connection and wrote to the first; when that ended it wrote to none, as it knows no
  // address of gateways. All three agents told nothing, while they took what the gateway asked.
  void a_peer_is_answered_on_its_second_connection_once_the_first_ends() {
    const Address address = free_address();
    listen(address);
    auto first = connect(address);
    auto second = connect(address);
    std::uint32_t answered = 0;
    second->start(
        {[&](const wire::Frame& frame) { answered = frame.body_as_ChunkRequest()->chunk(); },
         [](const std::string&) {},
         {}});
    run_until([&] { return asked_ == 2; });
    first->close("silent");
    run_until([&] { return lost_ == 1; });
    links_.send(kNamedPeer, numbered(7));
    run_until([&] { return answered == 7; });
  }

 private:
  static constexpr Duration kLongerThanConnecting = milliseconds(3200);

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

  static void pass(Duration duration) {
    const TimePoint end = loop_now() + duration;
    run_until([&] { return loop_now() >= end; });
  }

  static Address free_address() {
    const ScriptedServer gone;
    return gone.address();
  }

  Metrics metrics_;
  int lost_ = 0;
  int asked_ = 0;
  PeerLinks links_{"self",
                   metrics_,
                   {[this](PeerId, const wire::Frame&) { ++asked_; }, [this](PeerId) { ++lost_; },
                    [](PeerId) {}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);

}  // namespace pumicemast
