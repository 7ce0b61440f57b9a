#include "http/http_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "http1/socket_address.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

/// A caller that sends scripted bytes.
class RawCaller {
 public:
  explicit RawCaller(const Address& address) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in peer = to_socket_address(address);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(descriptor_, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)));
  }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  ~RawCaller() { ::close(descriptor_); }

  void send_request() { send_bytes("GET /x HTTP/1.1\r\nHost: here\r\n\r\n"); }
  void send_bytes(const std::string& bytes) {
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()),
                         send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  /// Reads the available bytes without blocking.
  void read_available() {
    char buffer[4096];
    while (!ended_) {
      const ssize_t count = recv(descriptor_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      reset_ = reset_ || count < 0;
      ended_ = count <= 0;
      if (count > 0) received_.append(buffer, static_cast<std::size_t>(count));
    }
  }
  bool has_complete_response() {
    read_available();
    return received_.starts_with("HTTP/1.1 200") && received_.ends_with("\r\n\r\nanswer");
  }
  bool received_connection_close() const {
    return received_.find("Connection: close") != std::string::npos;
  }
  const std::string& received() const { return received_; }
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }

 private:
  int descriptor_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

}  // namespace

/// Tests serving and draining: requests on existing connections are served, new ones are refused.
class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(delivers_a_response_sent_right_before_draining);
  CPPUNIT_TEST(delivers_a_response_sent_long_after_draining_began);
  CPPUNIT_TEST(serves_a_connection_in_the_accept_queue);
  CPPUNIT_TEST(serves_a_request_that_arrives_in_parts);
  CPPUNIT_TEST(serves_sequential_requests_on_one_connection);
  CPPUNIT_TEST(draining_ignores_idle_connections);
  CPPUNIT_TEST(draining_ignores_aborted_responses);
  CPPUNIT_TEST(draining_ignores_disconnected_callers);
  CPPUNIT_TEST(serves_one_more_request_on_an_idle_connection_and_closes_it);
  CPPUNIT_TEST(serves_requests_after_draining_until_destroyed);
  CPPUNIT_TEST(refuses_connections_while_draining);
  CPPUNIT_TEST(reports_an_address_in_use);
  CPPUNIT_TEST(splits_and_decodes_targets);
  CPPUNIT_TEST(refuses_a_request_that_its_memory_does_not_admit);
  CPPUNIT_TEST(drops_the_oldest_unfinished_request_for_another);
  CPPUNIT_TEST(closes_an_idle_connection_for_another);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    drained_ = false;
    requests_ = 0;
    respond_immediately_ = true;
    pending_exchanges_.clear();
    {
      const tests::ScriptedServer free_port;
      address_ = free_port.address();
    }
    server_ = listen(address_);
    CPPUNIT_ASSERT(server_);
  }

  void tearDown() override {
    pending_exchanges_.clear();
    server_.reset();
  }

  void delivers_a_response_sent_right_before_draining() {
    respond_immediately_ = false;
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return pending_exchanges_.size() == 1; });
    respond_to_last();
    drain();
    tests::run_until([&] { return drained_; });
    CPPUNIT_ASSERT(caller.has_complete_response());
  }

  void delivers_a_response_sent_long_after_draining_began() {
    respond_immediately_ = false;
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return pending_exchanges_.size() == 1; });
    drain();
    run_for(seconds(1));
    CPPUNIT_ASSERT(!drained_);
    respond_to_last();
    tests::run_until([&] { return drained_; });
    CPPUNIT_ASSERT(caller.has_complete_response());
  }

  void serves_a_connection_in_the_accept_queue() {
    RawCaller first(address_);
    RawCaller second(address_);
    first.send_request();
    drain();
    second.send_request();
    tests::run_until([&] { return drained_; });
    CPPUNIT_ASSERT(first.has_complete_response());
    CPPUNIT_ASSERT(second.has_complete_response());
  }

  void serves_a_request_that_arrives_in_parts() {
    RawCaller caller(address_);
    caller.send_bytes("GET /x HTTP/1.1\r\nHo");
    drain();
    run_for(milliseconds(200));
    caller.send_bytes("st: here\r\n\r\n");
    tests::run_until([&] { return drained_; });
    CPPUNIT_ASSERT(caller.has_complete_response());
  }

  void serves_sequential_requests_on_one_connection() {
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return caller.has_complete_response(); });
    caller.send_request();
    tests::run_until([&] { return requests_ == 2; });
    CPPUNIT_ASSERT(!caller.ended());
  }

  void draining_ignores_idle_connections() {
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return caller.has_complete_response(); });
    CPPUNIT_ASSERT(!caller.received_connection_close());
    drain();
    tests::run_until([&] { return drained_; });
    caller.read_available();
    CPPUNIT_ASSERT(!caller.reset());
  }

  void draining_ignores_aborted_responses() {
    respond_immediately_ = false;
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return pending_exchanges_.size() == 1; });
    pending_exchanges_.back()->abort();
    pending_exchanges_.clear();
    drain();
    tests::run_until([&] { return drained_; });
    caller.read_available();
    CPPUNIT_ASSERT(caller.ended());
  }

  void draining_ignores_disconnected_callers() {
    respond_immediately_ = false;
    {
      RawCaller early(address_);
      early.send_bytes("GET /x HTT");
      RawCaller late(address_);
      late.send_request();
      tests::run_until([&] { return pending_exchanges_.size() == 1; });
    }
    drain();
    run_for(milliseconds(100));
    respond_to_last();
    tests::run_until([&] { return drained_; });
  }

  void serves_one_more_request_on_an_idle_connection_and_closes_it() {
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return caller.has_complete_response(); });
    drain();
    caller.send_request();
    tests::run_until([&] {
      caller.read_available();
      return caller.ended();
    });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(caller.received(), 2, requests_);
    CPPUNIT_ASSERT(caller.has_complete_response());
    CPPUNIT_ASSERT_MESSAGE(caller.received(), caller.received_connection_close());
  }

  void serves_requests_after_draining_until_destroyed() {
    RawCaller caller(address_);
    caller.send_request();
    tests::run_until([&] { return caller.has_complete_response(); });
    drain();
    tests::run_until([&] { return drained_; });
    drained_ = false;
    caller.send_request();
    tests::run_until([&] {
      caller.read_available();
      return caller.ended();
    });
    CPPUNIT_ASSERT(caller.received_connection_close());
    run_for(seconds(1));
    CPPUNIT_ASSERT(!drained_);  // on_drained is called only once.
  }

  void refuses_connections_while_draining() {
    drain();
    const int late = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const sockaddr_in peer = to_socket_address(address_);
    CPPUNIT_ASSERT_EQUAL(-1, connect(late, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)));
    CPPUNIT_ASSERT_EQUAL(EINPROGRESS, errno);
    tests::run_until([&] { return drained_; });
    server_.reset();
    int error = 0;
    socklen_t size = sizeof(error);
    tests::run_until([&] {
      CPPUNIT_ASSERT_EQUAL(0, getsockopt(late, SOL_SOCKET, SO_ERROR, &error, &size));
      return error != 0;
    });
    CPPUNIT_ASSERT_EQUAL(ECONNREFUSED, error);
    ::close(late);
  }

  void reports_an_address_in_use() { CPPUNIT_ASSERT(!listen(address_)); }

  void splits_and_decodes_targets() {
    respond_immediately_ = false;
    const char* targets[] = {"/a%20b?x=1%2B2+3%26&y=", "http://here:80/a%20b?x=1%2B2+3%26"};
    for (const char* target : targets) {
      RawCaller caller(address_);
      caller.send_bytes(std::string("GET ") + target + " HTTP/1.1\r\nHost: here\r\nX-A: b\r\n\r\n");
      tests::run_until([&] { return pending_exchanges_.size() == 1; });
      const HttpExchangePointer exchange = pending_exchanges_.back();
      CPPUNIT_ASSERT_EQUAL(std::string("/a%20b"), exchange->path());
      CPPUNIT_ASSERT_EQUAL(std::string("1+2 3&"), exchange->query("x"));
      CPPUNIT_ASSERT_EQUAL(std::string(), exchange->query("y"));
      CPPUNIT_ASSERT_EQUAL(std::string("b"), exchange->header("x-a"));
      respond_to_last();
      tests::run_until([&] { return caller.has_complete_response(); });
    }
  }

  void refuses_a_request_that_its_memory_does_not_admit() {
    restart({.held_bytes = 64U * 1024U});
    RawCaller caller(address_);
    caller.send_bytes("POST /x HTTP/1.1\r\nHost: here\r\nContent-Length: 100000\r\n\r\n");
    tests::run_until([&] {
      caller.read_available();
      return caller.received().starts_with("HTTP/1.1 503");
    });
    CPPUNIT_ASSERT(caller.received().find("Retry-After: 1\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, requests_);
  }

  void drops_the_oldest_unfinished_request_for_another() {
    restart({.held_bytes = 64U * 1024U});
    const std::string part = "GET /x HTTP/1.1\r\nX-Long: " + std::string(14000, 'x');
    RawCaller first(address_);
    first.send_bytes(part);
    run_for(milliseconds(50));
    RawCaller second(address_);
    second.send_bytes(part);
    tests::run_until([&] {
      first.read_available();
      return first.received().starts_with("HTTP/1.1 503");
    });
    second.send_bytes("\r\n\r\n");
    tests::run_until([&] { return second.has_complete_response(); });
  }

  void closes_an_idle_connection_for_another() {
    restart({.connections = 1});
    RawCaller idle(address_);
    idle.send_request();
    tests::run_until([&] { return idle.has_complete_response(); });
    RawCaller next(address_);
    next.send_request();
    tests::run_until([&] { return next.has_complete_response(); });
    idle.read_available();
    CPPUNIT_ASSERT(idle.ended());
  }

 private:
  void restart(const HttpServerLimits& limits) {
    server_.reset();
    server_ = listen(address_, limits);
    CPPUNIT_ASSERT(server_);
  }

  /// Returns null if the address cannot be bound.
  std::unique_ptr<HttpServer> listen(const Address& address, const HttpServerLimits& limits = {}) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::unique_ptr<HttpServer>> {
          return HttpServer::listen(
              address,
              [this](const HttpExchangePointer& exchange) {
                ++requests_;
                pending_exchanges_.push_back(exchange);
                if (respond_immediately_) respond_to_last();
              },
              limits);
        },
        [](const Error& error) {
          CPPUNIT_ASSERT(error.code == ErrorCode::unavailable);
          return std::unique_ptr<HttpServer>();
        },
        [] { return std::unique_ptr<HttpServer>(); });
  }

  void respond_to_last() {
    pending_exchanges_.back()->respond(200, "text/plain", "answer");
    pending_exchanges_.pop_back();
  }

  void drain() {
    server_->drain([this] { drained_ = true; });
  }

  static void run_for(Duration duration) {
    const TimePoint end = loop_now() + duration;
    tests::run_until([&] { return loop_now() >= end; });
  }

  Address address_;
  std::unique_ptr<HttpServer> server_;
  std::vector<HttpExchangePointer> pending_exchanges_;
  bool respond_immediately_ = true;
  bool drained_ = false;
  int requests_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace pumicemast
