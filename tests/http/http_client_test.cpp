#include "http/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/scripted_server.h"

namespace pumicemast {

/// A streamed call against a peer that is played byte by byte.
class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(a_whole_chunked_answer_is_whole);
  CPPUNIT_TEST(an_answer_that_ends_between_two_chunks_is_cut_off);
  CPPUNIT_TEST(an_answer_that_ends_within_a_chunk_is_cut_off);
  CPPUNIT_TEST(an_answer_shorter_than_its_length_is_cut_off);
  CPPUNIT_TEST(a_peer_that_is_not_there_was_never_sent_anything);
  CPPUNIT_TEST(a_cancelled_call_says_nothing_more);
  CPPUNIT_TEST_SUITE_END();

  static constexpr char kChunkedHead[] =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

 public:
  void a_whole_chunked_answer_is_whole() {
    CPPUNIT_ASSERT(whole(std::string(kChunkedHead) + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, status_);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), body_);
  }

  void an_answer_that_ends_between_two_chunks_is_cut_off() {
    CPPUNIT_ASSERT(!whole(std::string(kChunkedHead) + "3\r\nabc\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), body_);
  }

  void an_answer_that_ends_within_a_chunk_is_cut_off() {
    CPPUNIT_ASSERT(!whole(std::string(kChunkedHead) + "9\r\nabc"));
  }

  void an_answer_shorter_than_its_length_is_cut_off() {
    CPPUNIT_ASSERT(!whole("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"));
  }

  void a_peer_that_is_not_there_was_never_sent_anything() {
    Address closed;
    {
      const tests::ScriptedServer gone;
      closed = gone.address();
    }
    begin(closed);
    tests::run_until([&] { return ended_.has_value(); });
    CPPUNIT_ASSERT(!*ended_);
    CPPUNIT_ASSERT(never_sent_);
    CPPUNIT_ASSERT_EQUAL(0U, status_);
  }

  void a_cancelled_call_says_nothing_more() {
    begin(server_.address());
    tests::run_until([&] { return server_.try_accept(); });
    server_.send_text(std::string(kChunkedHead) + "3\r\nabc\r\n");
    tests::run_until([&] { return body_ == "abc"; });
    call_.reset();
    // The peer finds its connection broken, and stops.
    tests::run_until([&] { return !server_.try_send_text("3\r\ndef\r\n"); });
    for (int turn = 0; turn < 50; ++turn) g_main_context_iteration(nullptr, FALSE);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), body_);
    CPPUNIT_ASSERT(!ended_.has_value());
  }

 private:
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
                                     [this](bool whole) { ended_ = whole; }});
  }
  /// Whether an answer of these bytes, after which the peer ends in order, counts as whole.
  bool whole(const std::string& answer) {
    begin(server_.address());
    tests::run_until([&] { return server_.try_accept(); });
    tests::run_until([&] { return server_.try_read_request("{}"); });
    server_.send_text(answer);
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
