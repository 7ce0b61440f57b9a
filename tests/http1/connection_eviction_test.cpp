#include "http1/connection_eviction.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/event_loop.h"
#include "http1/deferred_deleter.h"
#include "support/scripted_server.h"

namespace pumicemast {

/// Guards against closing the connections of ordinary callers before those that wait longest for a
/// request or for their caller's close.
class ConnectionEvictionTest : public CppUnit::TestFixture, public CallerConnectionObserver {
  CPPUNIT_TEST_SUITE(ConnectionEvictionTest);
  CPPUNIT_TEST(closes_by_kind_then_by_age);
  CPPUNIT_TEST(leaves_callers_time_to_send);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    open("handling", "GET /held HTTP/1.1\r\n\r\n");
    open("idle", "GET / HTTP/1.1\r\n\r\n");
    open("older part", "GET / HTTP/1.1\r\n");
    open("silent", "");
    open("newer part", "GET / HTTP/1.1\r\n");
    open("lingering", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    tests::run_until([&] { return requests_ == 3; });
    for (const int caller : callers_) {
      char buffer[4096];
      while (recv(caller, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
      }
    }
    closed_.clear();
  }

  void tearDown() override {
    connections_.clear();
    for (const int caller : callers_) close(caller);
  }

  void closes_by_kind_then_by_age() {
    const TimePoint later = loop_now() + seconds(1);
    for (std::size_t round = 0; round < names_.size(); ++round) evict(connections_, 1, later);
    const std::vector<std::string> expected{"lingering", "older part", "silent", "newer part",
                                            "idle"};
    CPPUNIT_ASSERT(closed_ == expected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, connections_.size());
  }

  void leaves_callers_time_to_send() {
    evict(connections_, names_.size(), last_opened_);
    CPPUNIT_ASSERT(closed_ == std::vector<std::string>{"lingering"});
  }

 private:
  void open(const std::string& name, const std::string& text) {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends));
    callers_.push_back(ends[0]);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                         send(ends[0], text.data(), text.size(), 0));
    auto connection = std::make_unique<CallerConnection>(ends[1], RequestLimits{}, *this);
    const CallerConnection* key = connection.get();
    connections_[key] = std::move(connection);
    names_[key] = name;
    last_opened_ = loop_now();
    // Connections that began to wait at the same time would have no order.
    tests::run_until([&] { return loop_now() > last_opened_ + milliseconds(2); });
  }

  void on_caller_request(CallerConnection& connection, ReceivedRequest request) override {
    ++requests_;
    if (request.head.target != "/held") connection.respond(200, {}, "ok");
  }
  void on_caller_disconnected(CallerConnection&) override {}
  void on_caller_connection_closed(CallerConnection& connection) override {
    closed_.push_back(names_.at(&connection));
    auto node = connections_.extract(&connection);
    if (!node.empty()) deleter_.defer(std::move(node.mapped()));
  }

  CallerConnections connections_;
  std::map<const CallerConnection*, std::string> names_;
  std::vector<int> callers_;
  std::vector<std::string> closed_;
  TimePoint last_opened_{};
  int requests_ = 0;
  DeferredDeleter deleter_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEvictionTest);

}  // namespace pumicemast
