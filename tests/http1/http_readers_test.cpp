#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <utility>

#include "http1/request_reader.h"
#include "http1/response_reader.h"

namespace pumicemast {

/// Cases that a proxy must distinguish in the bytes of a connection.
class HttpReadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpReadersTest);
  CPPUNIT_TEST(reads_a_response_split_anywhere);
  CPPUNIT_TEST(returns_chunked_body_bytes_as_they_arrive);
  CPPUNIT_TEST(completes_a_response_without_length_only_at_end_of_stream);
  CPPUNIT_TEST(never_completes_a_truncated_response);
  CPPUNIT_TEST(tells_a_stated_end_from_one_inferred_from_the_close);
  CPPUNIT_TEST(rejects_a_response_with_conflicting_framing);
  CPPUNIT_TEST(detects_bytes_after_a_response);
  CPPUNIT_TEST(reports_invalid_bytes_as_malformed);
  CPPUNIT_TEST(reports_a_status_without_a_class_as_malformed);
  CPPUNIT_TEST(skips_interim_responses);
  CPPUNIT_TEST(reads_pipelined_requests);
  CPPUNIT_TEST(enforces_limits_and_rejects_malformed_requests);
  CPPUNIT_TEST(rejects_a_too_large_head_split_anywhere);
  CPPUNIT_TEST(rejects_a_request_with_two_lengths);
  CPPUNIT_TEST(rejects_a_request_with_an_unknown_transfer_coding);
  CPPUNIT_TEST(takes_no_trailer_for_a_field_of_the_head);
  CPPUNIT_TEST(removes_hop_by_hop_fields);
  CPPUNIT_TEST(removes_what_any_connection_field_names);
  CPPUNIT_TEST(forwarding_takes_time_in_proportion_to_the_head);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reads_a_response_split_anywhere() {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      ResponseReader reader;
      reader.begin(false);
      std::string body;
      ReadStatus status = ReadStatus::need_more;
      for (std::size_t at = 0; at < text.size(); at += piece) {
        CPPUNIT_ASSERT(status == ReadStatus::need_more);
        status = reader.consume(std::string_view(text).substr(at, piece));
        body += reader.take_body();
      }
      CPPUNIT_ASSERT(status == ReadStatus::complete);
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), body);
      CPPUNIT_ASSERT_EQUAL(200, reader.head().status);
      CPPUNIT_ASSERT(reader.keep_alive());
    }
  }

  void returns_chunked_body_bytes_as_they_arrive() {
    ResponseReader reader;
    reader.begin(false);
    reader.consume("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.take_body());
    CPPUNIT_ASSERT(reader.consume("2\r\nde\r\n") == ReadStatus::need_more);
    CPPUNIT_ASSERT_EQUAL(std::string("de"), reader.take_body());
    CPPUNIT_ASSERT(reader.consume("0\r\n\r\n") == ReadStatus::complete);
  }

  void completes_a_response_without_length_only_at_end_of_stream() {
    ResponseReader reader;
    reader.begin(false);
    CPPUNIT_ASSERT(reader.consume("HTTP/1.1 200 OK\r\n\r\nall") == ReadStatus::need_more);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), reader.take_body());
    CPPUNIT_ASSERT(reader.consume_end() == ReadStatus::complete);
    CPPUNIT_ASSERT(!reader.keep_alive());
  }

  void never_completes_a_truncated_response() {
    for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 200 O",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
      ResponseReader reader;
      reader.begin(false);
      CPPUNIT_ASSERT(reader.consume(text) == ReadStatus::need_more);
      CPPUNIT_ASSERT(reader.consume_end() != ReadStatus::complete);
    }
  }

  void tells_a_stated_end_from_one_inferred_from_the_close() {
    struct Row {
      const char* text;
      bool head_request;
      ResponseEnd end;
    };
    const auto stated = ResponseEnd::stated;
    const auto inferred = ResponseEnd::inferred_from_close;
    for (const Row& row : {
             Row{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, stated},
             Row{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, stated},
             Row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, stated},
             Row{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n", false,
                 stated},
             Row{"HTTP/1.1 204 No Content\r\n\r\n", false, stated},
             Row{"HTTP/1.1 304 Not Modified\r\n\r\n", false, stated},
             Row{"HTTP/1.1 200 OK\r\n\r\n", true, stated},
             Row{"HTTP/1.1 200 OK\r\n\r\n", false, inferred},
             Row{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", false, inferred},
             Row{"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nabc", false, inferred},
             Row{"HTTP/1.0 200 OK\r\n\r\nabc", false, inferred},
             Row{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc", false, inferred},
         }) {
      ResponseReader reader;
      reader.begin(row.head_request);
      ReadStatus status = reader.consume(row.text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.text, row.end == stated, status == ReadStatus::complete);
      if (status != ReadStatus::complete) status = reader.consume_end();
      CPPUNIT_ASSERT_MESSAGE(row.text, status == ReadStatus::complete);
      CPPUNIT_ASSERT_MESSAGE(row.text, reader.end() == row.end);
      CPPUNIT_ASSERT_MESSAGE(row.text, row.end == stated || !reader.keep_alive());
    }
  }

  void rejects_a_response_with_conflicting_framing() {
    for (const char* fields :
         {"Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: 1, 2\r\n",
          "Content-Length: -1\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"}) {
      ResponseReader reader;
      reader.begin(false);
      CPPUNIT_ASSERT_MESSAGE(fields, reader.consume(std::string("HTTP/1.1 200 OK\r\n") + fields +
                                                    "\r\nab") == ReadStatus::malformed);
    }
  }

  void detects_bytes_after_a_response() {
    ResponseReader reader;
    reader.begin(false);
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    CPPUNIT_ASSERT(reader.consume(response + response) == ReadStatus::complete);
    CPPUNIT_ASSERT(reader.has_surplus());
  }

  void reports_invalid_bytes_as_malformed() {
    ResponseReader reader;
    reader.begin(false);
    CPPUNIT_ASSERT(reader.consume("garbage garbage\r\n\r\n") == ReadStatus::malformed);
  }

  void reports_a_status_without_a_class_as_malformed() {
    for (const char* status : {"000", "001", "099", "600", "999"}) {
      const std::string head = std::string("HTTP/1.1 ") + status + " OK\r\n\r\n";
      for (const std::string& text : {head, "HTTP/1.1 100 Continue\r\n\r\n" + head}) {
        ResponseReader reader;
        reader.begin(false);
        CPPUNIT_ASSERT_MESSAGE(text, reader.consume(text) == ReadStatus::malformed);
        CPPUNIT_ASSERT(!reader.head_complete());
      }
    }
  }

  void skips_interim_responses() {
    ResponseReader reader;
    reader.begin(false);
    const auto status = reader.consume(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    CPPUNIT_ASSERT(status == ReadStatus::complete);
    CPPUNIT_ASSERT_EQUAL(200, reader.head().status);
  }

  void rejects_a_too_large_head_split_anywhere() {
    const std::string head = "GET /a HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(80, 'x');
    const std::string request = head + "\r\n\r\n";
    for (std::size_t limit = request.size() - 1; limit <= request.size(); ++limit) {
      const auto expected =
          limit < request.size() ? RequestStatus::head_too_large : RequestStatus::complete;
      for (std::size_t piece = 1; piece <= request.size(); ++piece) {
        RequestReader reader(RequestLimits{limit, 100});
        RequestStatus status = RequestStatus::need_more;
        for (std::size_t at = 0; at < request.size() && status == RequestStatus::need_more;
             at += piece) {
          status = reader.consume(std::string_view(request).substr(at, piece));
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(status));
      }
    }
  }

  void reads_pipelined_requests() {
    RequestReader reader{RequestLimits{}};
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy";
    const std::string second = "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    CPPUNIT_ASSERT(reader.consume(first + second) == RequestStatus::complete);
    ReceivedRequest request = reader.take_request();
    CPPUNIT_ASSERT_EQUAL(std::string("xy"), request.body);
    CPPUNIT_ASSERT(request.keep_alive);
    CPPUNIT_ASSERT(reader.resume() == RequestStatus::complete);
    request = reader.take_request();
    CPPUNIT_ASSERT_EQUAL(std::string("/b"), request.head.target);
    CPPUNIT_ASSERT(!request.keep_alive);
    CPPUNIT_ASSERT(!reader.has_partial());
  }

  void enforces_limits_and_rejects_malformed_requests() {
    const RequestLimits limits{200, 10};
    RequestReader body(limits);
    CPPUNIT_ASSERT(body.consume("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") ==
                   RequestStatus::body_too_large);
    RequestReader head(limits);
    CPPUNIT_ASSERT(head.consume("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n") ==
                   RequestStatus::head_too_large);
    RequestReader chunked(limits);
    CPPUNIT_ASSERT(chunked.consume("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "b\r\n12345678901\r\n0\r\n\r\n") ==
                   RequestStatus::body_too_large);
    RequestReader malformed(limits);
    CPPUNIT_ASSERT(malformed.consume("nonsense\r\n\r\n") == RequestStatus::malformed);
  }

  void rejects_a_request_with_two_lengths() {
    for (const char* fields : {"Content-Length: 1\r\nContent-Length: 2\r\n",
                               "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
                               "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"}) {
      RequestReader reader{RequestLimits{}};
      CPPUNIT_ASSERT(reader.consume(std::string("POST / HTTP/1.1\r\n") + fields + "\r\nab") ==
                     RequestStatus::malformed);
    }
  }

  // Its body would be taken for the next request.
  void rejects_a_request_with_an_unknown_transfer_coding() {
    for (const char* fields :
         {"Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding:\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n",
          "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n"}) {
      RequestReader reader{RequestLimits{}};
      CPPUNIT_ASSERT_MESSAGE(fields, reader.consume(std::string("POST / HTTP/1.1\r\n") + fields +
                                                    "\r\nab") == RequestStatus::malformed);
    }
  }

  void takes_no_trailer_for_a_field_of_the_head() {
    RequestReader reader{RequestLimits{}};
    CPPUNIT_ASSERT(reader.consume("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                  "1\r\na\r\n0\r\nX-Late: 1\r\n\r\n") == RequestStatus::complete);
    const ReceivedRequest request = reader.take_request();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), request.body);
    CPPUNIT_ASSERT(!request.head.fields.contains("X-Late"));
  }

  void removes_hop_by_hop_fields() {
    RequestReader reader{RequestLimits{}};
    reader.consume(
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\n"
        "Keep-Alive: timeout=7\r\nTE: trailers\r\nX-Kept: 2\r\n\r\n");
    const ReceivedRequest request = reader.take_request();
    std::string text;
    append_end_to_end_fields(text, request.head.fields);
    CPPUNIT_ASSERT_EQUAL(std::string("Host: h\r\nX-Kept: 2\r\n"), text);
    CPPUNIT_ASSERT_EQUAL(7, keep_alive_timeout_s(request.head.fields));
  }

  void removes_what_any_connection_field_names() {
    HttpFields fields;
    for (const auto& [name, value] : {std::pair{"Connection", "X-One"},
                                      {"X-One", "1"},
                                      {"connection", "close, x-tWO"},
                                      {"X-Two", "2"},
                                      {"X-Kept", "3"}}) {
      fields.append(name, value);
    }
    std::string text;
    append_end_to_end_fields(text, fields);
    CPPUNIT_ASSERT_EQUAL(std::string("X-Kept: 3\r\n"), text);
  }

  // Each field was compared with each option, which stopped the loop of a gateway.
  void forwarding_takes_time_in_proportion_to_the_head() {
    constexpr std::size_t kSmall = 1000;
    constexpr std::size_t kFactor = 16;
    const double small = forwarding_seconds(kSmall);
    // In proportion to the square it would be 256 times.
    CPPUNIT_ASSERT_LESS(4 * kFactor * small, forwarding_seconds(kFactor * kSmall));
  }

 private:
  /// Shortest processor time of several calls with this many fields and connection options.
  static double forwarding_seconds(std::size_t count) {
    std::string options = "a";
    for (std::size_t index = 1; index < count; ++index) options += ",a";
    HttpFields fields;
    fields.append("Connection", options);
    for (std::size_t index = 0; index < count; ++index) fields.append("b", "");
    double shortest = 1e9;
    for (int call = 0; call < 5; ++call) {
      std::string text;
      const std::clock_t begun = std::clock();
      append_end_to_end_fields(text, fields);
      shortest = std::min(shortest, static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC);
      CPPUNIT_ASSERT_EQUAL(5 * count, text.size());
    }
    return shortest;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpReadersTest);

}  // namespace pumicemast
