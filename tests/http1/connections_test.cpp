#include <cppunit/extensions/HelperMacros.h>

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
    const bool own = field_value(head, "Id") != "other";
    if (own) status = static_cast<int>(head.result_int());
    return own;
  }
  void on_response_body(std::string_view bytes) override { body += bytes; }
  void on_response_complete() override { complete = true; }
  void on_exchange_failed(ExchangeFailure failed) override { failure = failed; }
  void on_idle_connection_ended(ClientConnection&) override { idle_ended = true; }
  bool over() const { return complete || failure.has_value(); }

  int status = 0;
  std::string body;
  bool complete = false;
  bool idle_ended = false;
  std::optional<ExchangeFailure> failure;
};

}  // namespace

/// Real sockets; every wait is for a condition.
class ConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionsTest);
  CPPUNIT_TEST(an_answer_without_length_that_is_reset_is_cut_off);
  CPPUNIT_TEST(an_answer_without_length_that_ends_is_whole);
  CPPUNIT_TEST(a_refused_connection_sent_nothing);
  CPPUNIT_TEST(a_connection_closed_before_an_answer_may_have_run_it);
  CPPUNIT_TEST(a_late_answer_to_an_older_request_is_dropped);
  CPPUNIT_TEST(bytes_on_an_idle_connection_end_it);
  CPPUNIT_TEST(an_answer_with_bytes_after_it_is_whole_but_ends_the_connection);
  CPPUNIT_TEST(a_resting_connection_that_goes_silent_ends);
  CPPUNIT_TEST(a_call_that_waits_on_a_silent_connection_ends_before_its_time);
  CPPUNIT_TEST(an_accepted_connection_is_probed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void an_answer_without_length_that_is_reset_is_cut_off() {
    begin("HTTP/1.1 200 OK\r\n\r\nhalf");
    run_until([&] { return recorder_.body == "half"; });
    server_.reset_connection();
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::cut_off);
  }

  void an_answer_without_length_that_ends_is_whole() {
    begin("HTTP/1.1 200 OK\r\n\r\nall");
    server_.close_connection();
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  void a_refused_connection_sent_nothing() {
    Address closed;
    {
      const ScriptedServer gone;
      closed = gone.address();
    }
    connection_ = std::make_unique<ClientConnection>(closed, seconds(1), recorder_);
    connection_->send_request("GET / HTTP/1.1\r\n\r\n", false, recorder_);
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::not_sent);
  }

  void a_connection_closed_before_an_answer_may_have_run_it() {
    begin("");
    run_until([&] { return connection_->connected(); });
    server_.close_connection();
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::cut_off);
  }

  void a_late_answer_to_an_older_request_is_dropped() {
    begin(
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
        "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nright");
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT_EQUAL(201, recorder_.status);
    CPPUNIT_ASSERT_EQUAL(std::string("right"), recorder_.body);
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  void bytes_on_an_idle_connection_end_it() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(connection_->reusable());
    server_.send_text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
    run_until([&] { return recorder_.idle_ended; });
    CPPUNIT_ASSERT(!connection_->reusable());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), recorder_.body);
  }

  void an_answer_with_bytes_after_it_is_whole_but_ends_the_connection() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(recorder_.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), recorder_.body);
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  // Requests that can't be repeated were lost on kept connections that had gone silent without a
  // reset: nothing was sent on them while they rested, so that nothing stayed unacknowledged.
  void a_resting_connection_that_goes_silent_ends() {
    begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    run_until([&] { return recorder_.over(); });
    CPPUNIT_ASSERT(connection_->reusable());
    server_.drop_incoming();
    run_until([&] { return recorder_.idle_ended; });
    CPPUNIT_ASSERT(!connection_->reusable());
  }

  // News came late: the call that waited for it had been acknowledged before its connection went
  // silent, and only the end of the call's time showed it.
  void a_call_that_waits_on_a_silent_connection_ends_before_its_time() {
    HttpFetcher fetcher(server_.address());
    std::optional<FetchResult> result;
    FetchRequest request;
    request.target = "/objects";
    request.timeout = seconds(9);
    fetcher.fetch(request, [&](const FetchResult& told) { result = told; });
    run_until([&] { return server_.try_accept(); });
    run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    server_.drop_incoming();
    run_until([&] { return result.has_value(); });
    CPPUNIT_ASSERT(!result->answered());
  }

  // A caller that vanished without a word held its request's place until the route's time ended.
  void an_accepted_connection_is_probed() {
    const int accepted = socket(AF_INET, SOCK_STREAM, 0);
    TcpStream stream(accepted, observer_);
    int probed = 0;
    socklen_t size = sizeof(probed);
    CPPUNIT_ASSERT_EQUAL(0, getsockopt(accepted, SOL_SOCKET, SO_KEEPALIVE, &probed, &size));
    CPPUNIT_ASSERT_EQUAL(1, probed);
  }

 private:
  class Silent : public StreamObserver {
    void on_stream_data(std::string_view) override {}
    void on_stream_end(StreamEnd) override {}
  };

  void begin(const std::string& answer) {
    connection_ = std::make_unique<ClientConnection>(server_.address(), seconds(1), recorder_);
    connection_->send_request("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, recorder_);
    server_.accept_one();
    run_until([&] { return connection_->connected(); });  // The request is out as well.
    server_.read_request();
    if (!answer.empty()) server_.send_text(answer);
  }

  ScriptedServer server_;
  Silent observer_;
  Recorder recorder_;
  std::unique_ptr<ClientConnection> connection_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionsTest);

}  // namespace pumicemast
