#include <cppunit/extensions/HelperMacros.h>

#include "http1/caller_connection.h"
#include "http1/client_connection.h"
#include "http1/http_fetcher.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

using tests::run_until;
using tests::ScriptedServer;

class Recorder : public ExchangeObserver, public ClientConnection::Owner {
 public:
  bool on_response_head(const ResponseHead& head) override {
    const bool own = field_value(head.fields, "Id") != "other";
    if (own) status = head.status;
    return own;
  }
  void on_response_body(std::string_view bytes) override {
    body += bytes;
    if (on_body) on_body();
  }
  void on_response_complete(ResponseEnd response_end) override {
    complete = true;
    end = response_end;
  }
  void on_exchange_failed(ExchangeFailure failed) override { failure = failed; }
  void on_idle_connection_ended(ClientConnection&) override { idle_ended = true; }
  bool finished() const { return complete || failure.has_value(); }

  int status = 0;
  std::string body;
  std::function<void()> on_body;
  bool complete = false;
  std::optional<ResponseEnd> end;
  bool idle_ended = false;
  std::optional<ExchangeFailure> failure;
};

}  // namespace

/// Uses real sockets; waits for conditions, not for fixed times.
class ConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionsTest);
  CPPUNIT_TEST(reports_connection_lost_when_a_response_without_length_is_reset);
  CPPUNIT_TEST(completes_a_response_without_length_at_an_orderly_close);
  CPPUNIT_TEST(reports_not_sent_when_the_connection_is_refused);
  CPPUNIT_TEST(reports_connection_lost_when_closed_before_a_response);
  CPPUNIT_TEST(drops_a_late_response_to_an_earlier_request);
  CPPUNIT_TEST(closes_an_idle_connection_that_receives_bytes);
  CPPUNIT_TEST(does_not_reuse_a_connection_with_bytes_after_the_response);
  CPPUNIT_TEST(closes_an_idle_connection_that_goes_silent);
  CPPUNIT_TEST(fails_a_pending_call_on_a_silent_connection_before_its_timeout);
  CPPUNIT_TEST(enables_keepalive_on_accepted_connections);
  CPPUNIT_TEST(reads_nothing_while_paused_and_all_after_resuming);
  CPPUNIT_TEST(reads_on_an_idle_connection_after_a_pause);
  CPPUNIT_TEST(answers_a_refused_body_and_discards_the_rest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reports_connection_lost_when_a_response_without_length_is_reset() {
    begin("HTTP/1.1 200 OK\r\n\r\nhalf");
    run_until([&] { return recorder_.body == "half"; });
    server_.reset_connection();
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::connection_lost);
  }

  void completes_a_response_without_length_at_an_orderly_close() {
    begin("HTTP/1.1 200 OK\r\n\r\nall");
    server_.close_connection();
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT(recorder_.end == ResponseEnd::inferred_from_close);
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  void reports_not_sent_when_the_connection_is_refused() {
    Address closed;
    {
      const ScriptedServer closed_server;
      closed = closed_server.address();
    }
    connection_ = std::make_unique<ClientConnection>(closed, seconds(1), recorder_);
    connection_->send_request("GET / HTTP/1.1\r\n\r\n", false, recorder_);
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::not_sent);
  }

  void reports_connection_lost_when_closed_before_a_response() {
    begin("");
    run_until([&] { return connection_->connected(); });
    server_.close_connection();
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::connection_lost);
  }

  void drops_a_late_response_to_an_earlier_request() {
    begin(
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
        "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nright");
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT_EQUAL(201, recorder_.status);
    CPPUNIT_ASSERT_EQUAL(std::string("right"), recorder_.body);
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  void closes_an_idle_connection_that_receives_bytes() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(connection_->reusable());
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
    run_until([&] { return recorder_.idle_ended; });
    CPPUNIT_ASSERT(!connection_->reusable());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), recorder_.body);
  }

  void does_not_reuse_a_connection_with_bytes_after_the_response() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), recorder_.body);
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  // Non-repeatable requests are lost on idle connections that have gone dead without a reset:
  // nothing is sent on an idle connection, so that no unacknowledged bytes reveal that it is dead.
  void closes_an_idle_connection_that_goes_silent() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(connection_->reusable());
    server_.drop_incoming();
    run_until([&] { return recorder_.idle_ended; });
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  // Updates arrive late if the connection of a long poll goes dead after its request has been
  // acknowledged, and only the timeout of the call reveals it.
  void fails_a_pending_call_on_a_silent_connection_before_its_timeout() {
    HttpFetcher fetcher(server_.address());
    std::optional<FetchResult> result;
    FetchRequest request;
    request.target = "/objects";
    request.timeout = seconds(9);
    fetcher.fetch(request, [&](const FetchResult& fetched) { result = fetched; });
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    server_.drop_incoming();
    run_until([&] { return result.has_value(); });
    CPPUNIT_ASSERT(!result->answered());
  }

  // Without probes, a caller that vanishes without closing its connection occupies the place of its
  // request until the deadline of the route.
  void enables_keepalive_on_accepted_connections() {
    const int accepted = socket(AF_INET, SOCK_STREAM, 0);
    TcpStream stream(accepted, observer_);
    int keepalive = 0;
    socklen_t size = sizeof(keepalive);
    CPPUNIT_ASSERT_EQUAL(0, getsockopt(accepted, SOL_SOCKET, SO_KEEPALIVE, &keepalive, &size));
    CPPUNIT_ASSERT_EQUAL(1, keepalive);
  }

  void reads_nothing_while_paused_and_all_after_resuming() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
    run_until([&] { return recorder_.body == "half"; });
    connection_->set_reading(false);
    server_.send_text("rest");
    server_.close_connection();
    // The probe on another connection arrives later than the rest would.
    ScriptedServer probe;
    Recorder probed;
    ClientConnection other(probe.address(), seconds(1), probed);
    other.send_request("GET / HTTP/1.1\r\n\r\n", false, probed);
    probe.accept_one();
    probe.send_text("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    run_until([&] { return probed.complete; });
    CPPUNIT_ASSERT_EQUAL(std::string("half"), recorder_.body);
    connection_->set_reading(true);
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("halfrest"), recorder_.body);
  }

  // A connection that stays paused would never notice that its peer closed it.
  void reads_on_an_idle_connection_after_a_pause() {
    recorder_.on_body = [&] { connection_->set_reading(false); };
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return recorder_.finished(); });
    CPPUNIT_ASSERT(connection_->reusable());
    server_.close_connection();
    run_until([&] { return recorder_.idle_ended; });
  }

  // Closing the connection at once would reset it, and the caller would lose the response.
  void answers_a_refused_body_and_discards_the_rest() {
    int sockets[2];
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets));
    RefusingObserver observer;
    CallerConnection caller(sockets[0], RequestLimits{}, observer);
    const auto send_text = [&](const std::string& text) {
      return send(sockets[1], text.data(), text.size(), MSG_NOSIGNAL) > 0;
    };
    CPPUNIT_ASSERT(send_text("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\nbegin"));
    run_until([&] { return observer.refused; });
    CPPUNIT_ASSERT(send_text(std::string(50000, 'x')));
    CPPUNIT_ASSERT(send_text("GET /must-not-be-read HTTP/1.1\r\n\r\n"));
    shutdown(sockets[1], SHUT_WR);
    run_until([&] { return observer.closed; });
    CPPUNIT_ASSERT_EQUAL(1, observer.requests);
    char response[512];
    const ssize_t count = recv(sockets[1], response, sizeof(response), 0);
    CPPUNIT_ASSERT(count > 0);
    CPPUNIT_ASSERT(
        std::string_view(response, static_cast<std::size_t>(count)).starts_with("HTTP/1.1 503"));
    ::close(sockets[1]);
  }

 private:
  /// Refuses all bodies.
  class RefusingObserver : public CallerConnectionObserver {
   public:
    bool admits_body(CallerConnection&, std::size_t) override { return false; }
    void on_caller_request(CallerConnection& connection, ReceivedRequest request) override {
      ++requests;
      refused = request.body_refused;
      connection.respond(503, {}, "memory");
    }
    void on_caller_disconnected(CallerConnection&) override {}
    void on_caller_connection_closed(CallerConnection&) override { closed = true; }

    int requests = 0;
    bool refused = false;
    bool closed = false;
  };

  class IgnoringObserver : public StreamObserver {
    void on_stream_data(std::string_view) override {}
    void on_stream_end(StreamEnd) override {}
  };

  void begin(const std::string& response) {
    connection_ = std::make_unique<ClientConnection>(server_.address(), seconds(1), recorder_);
    connection_->send_request("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, recorder_);
    server_.accept_one();
    run_until([&] { return connection_->connected(); });  // The request has been written as well.
    server_.read_request();
    if (!response.empty()) server_.send_text(response);
  }

  ScriptedServer server_;
  IgnoringObserver observer_;
  Recorder recorder_;
  std::unique_ptr<ClientConnection> connection_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionsTest);

}  // namespace pumicemast
