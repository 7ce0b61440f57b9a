#include <cppunit/extensions/HelperMacros.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>

#include "http1/caller_connection.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

using tests::run_until;

constexpr int kSmallBufferBytes = 8 * 1024;
constexpr std::size_t kLargeResponseBytes = 600U * 1024U;
constexpr Duration kIdleTimeout = seconds(10);
constexpr Duration kHeadTimeout = seconds(3);

/// Both ends of a TCP connection with small buffers, so that a large response stays queued.
struct ConnectedSockets {
  ConnectedSockets() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), length));
    CPPUNIT_ASSERT_EQUAL(0, listen(listener, 1));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length));
    caller = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &kSmallBufferBytes, sizeof(kSmallBufferBytes));
    CPPUNIT_ASSERT_EQUAL(0, connect(caller, reinterpret_cast<sockaddr*>(&address), length));
    const int on = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    gateway = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    ::close(listener);
  }
  ~ConnectedSockets() { ::close(caller); }
  ConnectedSockets(const ConnectedSockets&) = delete;
  ConnectedSockets& operator=(const ConnectedSockets&) = delete;

  int caller = -1;
  int gateway = -1;  ///< Owned by the connection under test.
};

/// Answers every request with a body of `response_bytes`.
class RespondingObserver : public CallerConnectionObserver {
 public:
  void on_caller_request(CallerConnection& connection, ReceivedRequest request) override {
    ++requests;
    targets += request.head.target;
    if (hold || requests == hold_request) return;
    connection.respond(200, {}, std::string(response_bytes, 'r'));
  }
  void on_caller_disconnected(CallerConnection&) override { disconnected = true; }
  void on_caller_connection_closed(CallerConnection&) override { closed = true; }

  std::size_t response_bytes = kLargeResponseBytes;
  bool hold = false;     ///< Leaves requests unanswered.
  int hold_request = 0;  ///< Leaves this request unanswered; the first one is 1.
  int requests = 0;
  std::string targets;
  bool disconnected = false;
  bool closed = false;
};

}  // namespace

/// A response counts as delivered when its caller has it, not when it has been queued.
class CallerDeliveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerDeliveryTest);
  CPPUNIT_TEST(a_queued_response_is_not_cut_off_by_the_idle_timeout);
  CPPUNIT_TEST(a_response_that_the_system_still_holds_is_not_cut_off_by_the_idle_timeout);
  CPPUNIT_TEST(the_last_response_is_not_reset_by_input_that_follows_it);
  CPPUNIT_TEST(the_last_response_is_not_reset_by_input_that_arrives_after_it);
  CPPUNIT_TEST(a_refused_head_is_answered_while_its_caller_sends_on);
  CPPUNIT_TEST(a_caller_that_closes_its_direction_gets_the_rest_of_a_queued_response);
  CPPUNIT_TEST(pipelined_requests_are_answered_while_the_gateway_stops);
  CPPUNIT_TEST(a_pipelined_request_waits_until_the_response_before_it_is_written);
  CPPUNIT_TEST(a_stop_after_the_head_of_a_response_keeps_the_connection_for_the_next_request);
  CPPUNIT_TEST(a_response_before_one_that_breaks_off_arrives_whole);
  CPPUNIT_TEST(a_half_closed_caller_gets_the_responses_to_all_its_requests);
  CPPUNIT_TEST(a_caller_that_stops_reading_for_good_is_closed);
  CPPUNIT_TEST(a_connection_with_unread_input_is_not_idle);
  CPPUNIT_TEST(a_caller_that_never_closes_is_closed_after_its_last_response);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { connection_.limit_send_buffer(2 * kSmallBufferBytes); }

  void a_queued_response_is_not_cut_off_by_the_idle_timeout() {
    send_text("GET /1 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    CPPUNIT_ASSERT(connection_.queued_bytes() > 0);
    read_while_time_passes(kLargeResponseBytes);
    CPPUNIT_ASSERT_EQUAL(kLargeResponseBytes, body_bytes());
    expire_after(kIdleTimeout);
    CPPUNIT_ASSERT(observer_.closed);
  }

  void a_response_that_the_system_still_holds_is_not_cut_off_by_the_idle_timeout() {
    observer_.response_bytes = kSmallBufferBytes * 2;
    send_text("GET /1 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connection_.queued_bytes());
    CPPUNIT_ASSERT(connection_.undelivered_bytes() > 0);
    expire_after(kIdleTimeout);
    CPPUNIT_ASSERT(!observer_.closed);
    read_while_time_passes(observer_.response_bytes);
    CPPUNIT_ASSERT_EQUAL(observer_.response_bytes, body_bytes());
  }

  void the_last_response_is_not_reset_by_input_that_follows_it() {
    send_text("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    send_text("GET /3 HTTP/1.1\r\n\r\n");
    read_until_end();
    CPPUNIT_ASSERT_EQUAL(kLargeResponseBytes, body_bytes());
    CPPUNIT_ASSERT(ended_in_order_);
    CPPUNIT_ASSERT_EQUAL(1, observer_.requests);
  }

  void the_last_response_is_not_reset_by_input_that_arrives_after_it() {
    observer_.response_bytes = kSmallBufferBytes * 2;
    send_text("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    for (int round = 0; round < 100; ++round) g_main_context_iteration(nullptr, FALSE);
    send_text("GET /2 HTTP/1.1\r\n\r\n");
    read_until_end();
    CPPUNIT_ASSERT_EQUAL(observer_.response_bytes, body_bytes());
    CPPUNIT_ASSERT(ended_in_order_);
  }

  void a_refused_head_is_answered_while_its_caller_sends_on() {
    send_text("GET /" + std::string(RequestLimits{}.maximum_head_bytes, 'x'));
    run_until([&] { return connection_.bytes_sent() > 0; });
    send_text(std::string(20000, 'x'));
    read_until_end();
    CPPUNIT_ASSERT(received_.starts_with("HTTP/1.1 431"));
    CPPUNIT_ASSERT(ended_in_order_);
  }

  void a_caller_that_closes_its_direction_gets_the_rest_of_a_queued_response() {
    send_text("GET /1 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    CPPUNIT_ASSERT(connection_.queued_bytes() > 0);
    shutdown(sockets_.caller, SHUT_WR);
    read_until_end();
    CPPUNIT_ASSERT_EQUAL(kLargeResponseBytes, body_bytes());
    CPPUNIT_ASSERT(!observer_.disconnected);
    CPPUNIT_ASSERT(observer_.closed);
  }

  void pipelined_requests_are_answered_while_the_gateway_stops() {
    observer_.hold = true;
    observer_.response_bytes = 10;
    send_text("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1 && connection_.has_pipelined(); });
    connection_.set_closing();
    observer_.hold = false;
    connection_.respond(200, {}, "first");
    CPPUNIT_ASSERT_EQUAL(std::string("/1/2"), observer_.targets);
    read_until_end();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_of("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of("Connection: close"));
    CPPUNIT_ASSERT(ended_in_order_);
  }

  void a_pipelined_request_waits_until_the_response_before_it_is_written() {
    send_text("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    for (int round = 0; round < 100; ++round) g_main_context_iteration(nullptr, FALSE);
    CPPUNIT_ASSERT_EQUAL(1, observer_.requests);
    read_while_time_passes(3 * kLargeResponseBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count_of("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::string("/1/2/3"), observer_.targets);
  }

  void a_stop_after_the_head_of_a_response_keeps_the_connection_for_the_next_request() {
    observer_.hold = true;
    send_text("GET /1 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    connection_.begin_response(200, "OK", {}, ResponseFraming::chunked);
    connection_.set_closing();
    connection_.write_body("event");
    connection_.end_response();
    CPPUNIT_ASSERT(!observer_.closed);
    observer_.hold = false;
    observer_.response_bytes = 5;
    send_text("GET /2 HTTP/1.1\r\n\r\n");
    read_until_end();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_of("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of("Connection: close"));
  }

  void a_response_before_one_that_breaks_off_arrives_whole() {
    observer_.response_bytes = kSmallBufferBytes * 2;
    send_text("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    observer_.hold_request = 2;
    run_until([&] { return observer_.requests == 2; });
    CPPUNIT_ASSERT(connection_.undelivered_bytes() > 0);
    connection_.begin_response(200, "OK", {}, ResponseFraming::chunked);
    connection_.write_body(std::string(kLargeResponseBytes, 'e'));
    connection_.flush();
    CPPUNIT_ASSERT(connection_.queued_bytes() > 0);
    send_text(std::string(1000, 'x'));
    connection_.abort_response();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connection_.queued_bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connection_.input_memory_bytes());
    run_until([&] {
      if (connection_.is_open()) expire_after(milliseconds(1));
      return !read_some();
    });
    CPPUNIT_ASSERT(received_.find(std::string(observer_.response_bytes, 'r')) != std::string::npos);
    CPPUNIT_ASSERT(!ended_in_order_);
  }

  void a_half_closed_caller_gets_the_responses_to_all_its_requests() {
    send_text("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    shutdown(sockets_.caller, SHUT_WR);
    read_while_time_passes(2 * kLargeResponseBytes);
    CPPUNIT_ASSERT_EQUAL(2 * kLargeResponseBytes, body_bytes());
    CPPUNIT_ASSERT_EQUAL(std::string("/1/2"), observer_.targets);
  }

  // Guards against timers that fire after a stall of the process before its sockets are read.
  void a_connection_with_unread_input_is_not_idle() {
    send_text("GET /1 HTTP/1.1\r\n\r\n");
    expire_after(2 * kIdleTimeout);
    CPPUNIT_ASSERT(!observer_.closed);
    observer_.response_bytes = 10;
    run_until([&] { return observer_.requests == 1; });
    read_while_time_passes(10);
    send_text("GET /2 HTTP/1.1\r\n");
    for (int round = 0; round < 100; ++round) g_main_context_iteration(nullptr, FALSE);
    send_text("\r\n");
    expire_after(2 * kHeadTimeout);
    run_until([&] { return observer_.requests == 2; });
    read_while_time_passes(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_of("HTTP/1.1 200"));
  }

  void a_caller_that_stops_reading_for_good_is_closed() {
    send_text("GET /1 HTTP/1.1\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    expire_after(kIdleTimeout);
    expire_after(seconds(60));
    expire_after(seconds(120));
    CPPUNIT_ASSERT(observer_.closed);
    CPPUNIT_ASSERT(connection_.remains().undelivered_bytes > 0);
  }

  void a_caller_that_never_closes_is_closed_after_its_last_response() {
    observer_.response_bytes = 10;
    send_text("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    run_until([&] { return observer_.requests == 1; });
    read_while_time_passes(10);
    run_until([&] { return connection_.undelivered_bytes() == 0; });
    expire_after(seconds(20));
    CPPUNIT_ASSERT(observer_.closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, connection_.remains().undelivered_bytes);
  }

 private:
  void send_text(const std::string& text) {
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                         send(sockets_.caller, text.data(), text.size(), MSG_NOSIGNAL));
  }

  /// The time at which expire() is called runs ahead of the loop's.
  void expire_after(Duration waited) {
    ahead_ += waited;
    connection_.expire(loop_now() + ahead_, kIdleTimeout, kHeadTimeout);
  }

  /// @return false at the end of the connection.
  bool read_some() {
    char buffer[4096];
    const ssize_t count = recv(sockets_.caller, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count > 0) received_.append(buffer, static_cast<std::size_t>(count));
    ended_in_order_ = count == 0;
    return count > 0 || (count < 0 && errno == EAGAIN);
  }

  /// Reads like a slow caller: much time passes between reads, but less than the idle timeout.
  void read_while_time_passes(std::size_t bytes) {
    run_until([&] {
      const std::size_t before = received_.size();
      const bool more = read_some();
      const bool progress = received_.size() > before;
      if (progress && connection_.is_open() && body_bytes() < bytes) expire_after(kIdleTimeout / 2);
      return !more || body_bytes() >= bytes;
    });
  }

  void read_until_end() {
    run_until([&] {
      if (connection_.is_open()) expire_after(milliseconds(1));
      const bool more = read_some();
      if (!more) ::shutdown(sockets_.caller, SHUT_RDWR);
      return !more;
    });
    run_until([&] {
      if (connection_.is_open()) expire_after(milliseconds(1));
      return observer_.closed;
    });
  }

  std::size_t count_of(const std::string& text) const {
    std::size_t count = 0;
    for (std::size_t at = received_.find(text); at != std::string::npos;
         at = received_.find(text, at + 1)) {
      ++count;
    }
    return count;
  }

  std::size_t body_bytes() const {
    return static_cast<std::size_t>(std::count(received_.begin(), received_.end(), 'r'));
  }

  ConnectedSockets sockets_;
  RespondingObserver observer_;
  CallerConnection connection_{sockets_.gateway, RequestLimits{}, observer_};
  std::string received_;
  bool ended_in_order_ = false;
  Duration ahead_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerDeliveryTest);

}  // namespace pumicemast
