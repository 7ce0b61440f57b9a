#include "transport/wire_connection.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pumicemast {
namespace {

/// Returns a port of the loopback address that is free now.
std::uint16_t free_port() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  CPPUNIT_ASSERT_EQUAL(0, bind(descriptor, reinterpret_cast<const sockaddr*>(&address), length));
  CPPUNIT_ASSERT_EQUAL(0, getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length));
  close(descriptor);
  return ntohs(address.sin_port);
}

wire::ChunkRequestT request(std::uint32_t chunk) {
  wire::ChunkRequestT message;
  message.digest = "d";
  message.chunk = chunk;
  return message;
}

}  // namespace

/// Uses real sockets on the default main context; waits for conditions, not for fixed times.
class WireConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireConnectionTest);
  CPPUNIT_TEST(stays_open_when_another_connection_pauses_reading);
  CPPUNIT_TEST(delivers_data_sent_before_close);
  CPPUNIT_TEST(enables_keepalive_on_both_ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    port_ = free_port();
    const Address address{"127.0.0.1", port_};
    listener_ = handle_error(
        [&]() -> leaf::result<std::unique_ptr<WireListener>> {
          return WireListener::listen(address, [this](std::unique_ptr<WireConnection> incoming) {
            servers_.push_back(std::move(incoming));
          });
        },
        [](const Error&) { return std::unique_ptr<WireListener>(); });
    CPPUNIT_ASSERT(listener_ != nullptr);
    for (int count = 0; count < 2; ++count) {
      connect_wire(address, seconds(5), [this](std::unique_ptr<WireConnection> connection) {
        clients_.push_back(std::move(connection));
      });
    }
    run_until([this] { return servers_.size() == 2 && clients_.size() == 2; });
    for (auto& client : clients_) client->start({[](const wire::Frame&) {}, {}, {}});
  }

  void tearDown() override {
    clients_.clear();
    servers_.clear();
    listener_.reset();
  }

  /// Both sockets become ready in one loop iteration, and the first frame pauses reading on the
  /// other connection. The event of the other is still delivered and must not be treated as a
  /// failure.
  void stays_open_when_another_connection_pauses_reading() {
    std::vector<std::uint32_t> received;
    std::uint32_t closed = 0;
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      servers_[index]->start({[this, index, &received](const wire::Frame& frame) {
                                received.push_back(frame.body_as_ChunkRequest()->chunk());
                                servers_[1 - index]->set_reading(false);
                              },
                              [&closed](const std::string&) { ++closed; },
                              {}});
    }
    for (auto& client : clients_) client->send(request(7));
    run_until([&] { return received.size() == 1; });
    for (int iteration = 0; iteration < 20; ++iteration) g_main_context_iteration(nullptr, FALSE);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
    for (auto& server : servers_) server->set_reading(true);
    run_until([&] { return received.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, closed);
  }

  void delivers_data_sent_before_close() {
    std::uint32_t received = 0;
    std::string reason;
    servers_[0]->start({[&](const wire::Frame&) { ++received; },
                        [&](const std::string& close_reason) { reason = close_reason; },
                        {}});
    servers_[1]->start({[&](const wire::Frame&) { ++received; },
                        [&](const std::string& close_reason) { reason = close_reason; },
                        {}});
    for (std::uint32_t chunk = 0; chunk < 100; ++chunk) clients_[0]->send(request(chunk));
    clients_[0]->close("done");
    run_until([&] { return !reason.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, received);
    CPPUNIT_ASSERT_EQUAL(std::string("end of stream"), reason);
  }

  // Without probes, a dead connection on which nothing is sent would stay in use.
  void enables_keepalive_on_both_ends() {
    const std::vector<int> descriptors = connected_descriptors();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, descriptors.size());
    for (const int descriptor : descriptors) {
      CPPUNIT_ASSERT_EQUAL(1, option(descriptor, SOL_SOCKET, SO_KEEPALIVE));
      CPPUNIT_ASSERT(option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE) <= 4);
      CPPUNIT_ASSERT_EQUAL(1, option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL));
    }
  }

 private:
  static int option(int descriptor, int level, int name) {
    int value = -1;
    socklen_t size = sizeof(value);
    CPPUNIT_ASSERT_EQUAL(0, getsockopt(descriptor, level, name, &value, &size));
    return value;
  }

  /// Descriptors of both ends of the connections made by the fixture.
  std::vector<int> connected_descriptors() const {
    constexpr int kMaximumDescriptors = 1024;
    std::vector<int> result;
    for (int descriptor = 0; descriptor < kMaximumDescriptors; ++descriptor) {
      const bool either_end =
          port_of(descriptor, &getsockname) == port_ || port_of(descriptor, &getpeername) == port_;
      if (either_end && port_of(descriptor, &getpeername) != 0) result.push_back(descriptor);
    }
    return result;
  }

  /// Returns 0 if `descriptor` has no such address.
  static std::uint16_t port_of(int descriptor, decltype(&getsockname) name_of) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const int status = name_of(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return status == 0 ? ntohs(address.sin_port) : std::uint16_t{0};
  }

  template <class Condition>
  static void run_until(Condition condition) {
    while (!condition()) g_main_context_iteration(nullptr, TRUE);
  }

  std::uint16_t port_ = 0;
  std::unique_ptr<WireListener> listener_;
  std::vector<std::unique_ptr<WireConnection>> servers_;
  std::vector<std::unique_ptr<WireConnection>> clients_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireConnectionTest);

}  // namespace pumicemast
