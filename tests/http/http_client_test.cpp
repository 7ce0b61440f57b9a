#include "http/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace pumicemast {

/// Tests streamed calls against a server that sends scripted bytes.
class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(completes_a_chunked_response);
  CPPUNIT_TEST(fails_when_the_connection_closes_between_chunks);
  CPPUNIT_TEST(fails_when_the_connection_closes_within_a_chunk);
  CPPUNIT_TEST(fails_a_response_shorter_than_its_length);
  CPPUNIT_TEST(fails_a_stream_that_ends_inside_an_event);
  CPPUNIT_TEST(fails_a_stream_without_framing_that_has_no_event);
  CPPUNIT_TEST(completes_responses_without_framing);
  CPPUNIT_TEST(reports_never_sent_when_nothing_listens);
  CPPUNIT_TEST(runs_no_callback_after_cancellation);
  CPPUNIT_TEST(reports_no_response_with_a_status_without_a_class);
  CPPUNIT_TEST(reports_no_response_with_an_invalid_field_name);
  CPPUNIT_TEST(reports_no_response_with_an_unknown_transfer_coding);
  CPPUNIT_TEST_SUITE_END();

  static constexpr char kChunkedHead[] =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  static constexpr char kUnframedHead[] =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

 public:
  void completes_a_chunked_response() {
    CPPUNIT_ASSERT(complete(std::string(kChunkedHead) + "7\r\ndata: a\r\n2\r\n\n\n\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, status_);
    CPPUNIT_ASSERT_EQUAL(std::string("data: a\n\n"), body_);
  }

  void fails_when_the_connection_closes_between_chunks() {
    CPPUNIT_ASSERT(!complete(std::string(kChunkedHead) + "3\r\nabc\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), body_);
  }

  void fails_when_the_connection_closes_within_a_chunk() {
    CPPUNIT_ASSERT(!complete(std::string(kChunkedHead) + "9\r\nabc"));
  }

  void fails_a_response_shorter_than_its_length() {
    CPPUNIT_ASSERT(!complete("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"));
  }

  void fails_a_stream_that_ends_inside_an_event() {
    CPPUNIT_ASSERT(!complete(std::string(kUnframedHead) + "data: a\n\ndata: b\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("data: a\n\ndata: b\n"), body_);
    ended_.reset();
    CPPUNIT_ASSERT(!complete(std::string(kChunkedHead) + "7\r\ndata: a\r\n0\r\n\r\n"));
  }

  void fails_a_stream_without_framing_that_has_no_event() {
    CPPUNIT_ASSERT(!complete(kUnframedHead));
  }

  void completes_responses_without_framing() {
    CPPUNIT_ASSERT(complete(std::string(kUnframedHead) + "data: a\n\n"));
    ended_.reset();
    CPPUNIT_ASSERT(complete("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nabc"));
  }

  void reports_never_sent_when_nothing_listens() {
    Address closed;
    {
      const tests::ScriptedServer closed_server;
      closed = closed_server.address();
    }
    begin(closed);
    tests::run_until([&] { return ended_.has_value(); });
    CPPUNIT_ASSERT(!*ended_);
    CPPUNIT_ASSERT(never_sent_);
    CPPUNIT_ASSERT_EQUAL(0U, status_);
  }

  void runs_no_callback_after_cancellation() {
    begin(server_.address());
    tests::run_until([&] { return server_.try_accept(); });
    server_.send_text(std::string(kChunkedHead) + "3\r\nabc\r\n");
    tests::run_until([&] { return body_ == "abc"; });
    call_.reset();
    // The server sees that its connection has been reset.
    tests::run_until([&] { return !server_.try_send_text("3\r\ndef\r\n"); });
    for (int iteration = 0; iteration < 50; ++iteration) g_main_context_iteration(nullptr, FALSE);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), body_);
    CPPUNIT_ASSERT(!ended_.has_value());
  }

  void reports_no_response_with_a_status_without_a_class() {
    for (const char* status : {"000", "001", "099", "600", "999"}) {
      check_not_reported(std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 3\r\n\r\nabc");
    }
  }

  void reports_no_response_with_an_invalid_field_name() {
    for (const std::string& line :
         {std::string("X Odd: 1"), std::string("X\tOdd: 1"), std::string("X\x01Odd: 1"),
          std::string("X\x7fOdd: 1"), std::string("X-Odd : 1"), std::string(": 1"),
          std::string("Content Length: 1"), std::string("Content-Length\x01: 1")}) {
      check_not_reported("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + line + "\r\n\r\nabc");
    }
  }

  void reports_no_response_with_an_unknown_transfer_coding() {
    for (const char* line : {"Transfer-Encoding: xchunked", "Transfer-Encoding: gzip, chunked",
                             "Transfer-Encoding: chunked, gzip"}) {
      check_not_reported(std::string("HTTP/1.1 200 OK\r\n") + line + "\r\n\r\n0\r\n\r\n");
    }
  }

 private:
  /// Both kinds of calls fail.
  void check_not_reported(const std::string& response) {
    ended_.reset();
    status_ = 0;
    CPPUNIT_ASSERT_MESSAGE(response, !complete(response));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0U, status_);
    std::optional<HttpResponse> fetched;
    HttpRequest request;
    request.url = "http://" + server_.address().to_string() + "/x";
    call_ = client_.fetch(request, [&](const HttpResponse& result) { fetched = result; });
    tests::run_until([&] { return server_.try_accept(); });
    tests::run_until([&] { return server_.try_read_request("\r\n\r\n"); });
    server_.take_request_target();
    server_.send_text(response);
    server_.close_connection();
    tests::run_until([&] { return fetched.has_value(); });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0U, fetched->status);
    CPPUNIT_ASSERT_MESSAGE(response, !fetched->failure.empty() && !fetched->never_sent);
  }

  void begin(const Address& address) {
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + address.to_string() + "/x";
    request.content_type = "application/json";
    request.body = "{}";
    call_ = client_.stream(request, {[this](const HttpResponse& head) {
                                       status_ = head.status;
                                       never_sent_ = head.never_sent;
                                     },
                                     [this](const std::string& bytes) { body_ += bytes; },
                                     [this](bool complete) { ended_ = complete; }});
  }
  /// Whether a response of these bytes, followed by an orderly close, counts as complete.
  bool complete(const std::string& response) {
    begin(server_.address());
    tests::run_until([&] { return server_.try_accept(); });
    tests::run_until([&] { return server_.try_read_request("{}"); });
    server_.send_text(response);
    server_.close_connection();
    tests::run_until([&] { return ended_.has_value(); });
    return *ended_;
  }

  tests::ScriptedServer server_;
  HttpClient client_{seconds(5)};
  HttpCallPointer call_;
  unsigned status_ = 0;
  bool never_sent_ = false;
  std::string body_;
  std::optional<bool> ended_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace pumicemast
