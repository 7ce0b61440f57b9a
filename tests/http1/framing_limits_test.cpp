#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "http1/client_connection.h"
#include "http1/request_reader.h"
#include "http1/response_reader.h"
#include "support/scripted_server.h"

namespace pumicemast {
namespace {

constexpr std::size_t kMegabyte = 1024U * 1024U;
const std::string kChunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kChunkedRequest = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Bytes of a message that is followed by `repeated` without end, until the reader refuses it.
template <class Reader, class Status>
std::size_t bytes_until_refused(Reader& reader, const std::string& begin,
                                const std::string& repeated, Status need_more, Status malformed) {
  Status status = reader.consume(begin);
  std::size_t bytes = 0;
  while (status == need_more && bytes < kMegabyte) {
    bytes += repeated.size();
    status = reader.consume(repeated);
  }
  return status == malformed ? bytes : kMegabyte;
}

std::size_t response_bytes(const std::string& begin, const std::string& repeated) {
  ResponseReader reader;
  reader.begin(false);
  return bytes_until_refused(reader, begin, repeated, ReadStatus::need_more, ReadStatus::malformed);
}

std::size_t request_bytes(const std::string& begin, const std::string& repeated) {
  RequestReader reader(RequestLimits{});
  return bytes_until_refused(reader, begin, repeated, RequestStatus::need_more,
                             RequestStatus::malformed);
}

class Recorder : public ExchangeObserver, public ClientConnection::Owner {
 public:
  bool on_response_head(const ResponseHead& head) override {
    return field_value(head.fields, "Id") != "other";
  }
  void on_response_body(std::string_view) override {}
  void on_response_complete(ResponseEnd) override { complete = true; }
  void on_exchange_failed(ExchangeFailure failed) override { failure = failed; }
  void on_idle_connection_ended(ClientConnection&) override {}

  bool complete = false;
  std::optional<ExchangeFailure> failure;
};

}  // namespace

/// Bytes that never become content end a message early, and do not occupy the reader.
class FramingLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FramingLimitsTest);
  CPPUNIT_TEST(a_status_line_without_end_is_refused);
  CPPUNIT_TEST(a_field_without_end_is_refused);
  CPPUNIT_TEST(fields_without_end_are_refused);
  CPPUNIT_TEST(interim_responses_without_end_are_refused);
  CPPUNIT_TEST(large_interim_responses_are_refused);
  CPPUNIT_TEST(a_chunk_size_without_end_is_refused);
  CPPUNIT_TEST(a_chunk_extension_without_end_is_refused);
  CPPUNIT_TEST(chunks_with_large_extensions_are_refused);
  CPPUNIT_TEST(a_trailer_without_end_is_refused);
  CPPUNIT_TEST(trailers_without_end_are_refused);
  CPPUNIT_TEST(responses_to_other_requests_without_end_are_refused);
  CPPUNIT_TEST(a_body_without_end_of_another_request_is_refused);
  CPPUNIT_TEST(a_stated_length_takes_no_memory);
  CPPUNIT_TEST(framing_of_requests_without_end_is_refused);
  CPPUNIT_TEST(small_chunks_interim_responses_and_trailers_are_accepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_status_line_without_end_is_refused() {
    CPPUNIT_ASSERT(response_bytes("HTTP/1.1 200 ", std::string(1000, 'O')) <= 70'000);
  }

  void a_field_without_end_is_refused() {
    CPPUNIT_ASSERT(response_bytes("HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'y')) <= 70'000);
  }

  void fields_without_end_are_refused() {
    CPPUNIT_ASSERT(response_bytes("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n") <= 70'000);
  }

  void interim_responses_without_end_are_refused() {
    CPPUNIT_ASSERT(response_bytes("", "HTTP/1.1 100 Continue\r\n\r\n") <= 1000);
  }

  void large_interim_responses_are_refused() {
    const std::string interim =
        "HTTP/1.1 103 Early Hints\r\nX: " + std::string(20'000, 'y') + "\r\n\r\n";
    CPPUNIT_ASSERT(response_bytes("", interim) <= 100'000);
  }

  void a_chunk_size_without_end_is_refused() {
    CPPUNIT_ASSERT(response_bytes(kChunkedResponse, std::string(1000, '0')) <= 10'000);
  }

  void a_chunk_extension_without_end_is_refused() {
    CPPUNIT_ASSERT(response_bytes(kChunkedResponse + "5;x=", std::string(1000, 'y')) <= 10'000);
  }

  void chunks_with_large_extensions_are_refused() {
    const std::string chunk = "1;x=" + std::string(2000, 'y') + "\r\nz\r\n";
    CPPUNIT_ASSERT(response_bytes(kChunkedResponse, chunk) <= 100'000);
  }

  void a_trailer_without_end_is_refused() {
    const std::string begin = kChunkedResponse + "0\r\nX-Trailer: ";
    CPPUNIT_ASSERT(response_bytes(begin, std::string(1000, 'y')) <= 10'000);
  }

  void trailers_without_end_are_refused() {
    CPPUNIT_ASSERT(response_bytes(kChunkedResponse + "0\r\n", "X-Trailer: value\r\n") <= 10'000);
  }

  void responses_to_other_requests_without_end_are_refused() {
    flood("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno", 100);
  }

  void a_body_without_end_of_another_request_is_refused() {
    begin();
    server_.send_text("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n");
    flood(std::string(10'000, 'x'), 1000);
  }

  void a_stated_length_takes_no_memory() {
    ResponseReader reader;
    reader.begin(false);
    CPPUNIT_ASSERT(
        reader.consume("HTTP/1.1 200 OK\r\nContent-Length: 100000000000000\r\n\r\nabc") ==
        ReadStatus::need_more);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), reader.take_body());
  }

  void framing_of_requests_without_end_is_refused() {
    CPPUNIT_ASSERT(request_bytes(kChunkedRequest, std::string(1000, '0')) <= 10'000);
    CPPUNIT_ASSERT(request_bytes(kChunkedRequest + "5;x=", std::string(1000, 'y')) <= 10'000);
    CPPUNIT_ASSERT(request_bytes(kChunkedRequest + "0\r\n", "X-Trailer: value\r\n") <= 10'000);
    const std::string chunk = "1;x=" + std::string(2000, 'y') + "\r\nz\r\n";
    CPPUNIT_ASSERT(request_bytes(kChunkedRequest, chunk) <= 100'000);
    CPPUNIT_ASSERT(request_bytes("", "\r\n") <= 100'000);
  }

  void small_chunks_interim_responses_and_trailers_are_accepted() {
    ResponseReader reader;
    reader.begin(false);
    for (int count = 0; count < 4; ++count) {
      CPPUNIT_ASSERT(reader.consume("HTTP/1.1 102 Processing\r\nX: y\r\n\r\n") ==
                     ReadStatus::need_more);
    }
    CPPUNIT_ASSERT(reader.consume(kChunkedResponse) == ReadStatus::need_more);
    for (int count = 0; count < 100'000; ++count) {
      CPPUNIT_ASSERT(reader.consume("1;part=1\r\nz\r\n") == ReadStatus::need_more);
      reader.take_body();
    }
    CPPUNIT_ASSERT(reader.consume("0\r\nX-Checksum: abc\r\n\r\n") == ReadStatus::complete);
  }

 private:
  void begin() {
    if (connection_) return;
    connection_ = std::make_unique<ClientConnection>(server_.address(), seconds(1), recorder_);
    connection_->send_request("GET / HTTP/1.1\r\n\r\n", false, recorder_);
    server_.accept_one();
    tests::run_until([&] { return connection_->connected(); });
  }

  /// Sends `text` up to `times` times, until the request fails.
  void flood(const std::string& text, int times) {
    begin();
    int sent = 0;
    tests::run_until([&] {
      if (sent < times && server_.try_send_text(text)) ++sent;
      return recorder_.failure.has_value();
    });
    CPPUNIT_ASSERT(recorder_.failure == ExchangeFailure::malformed);
  }

  tests::ScriptedServer server_;
  Recorder recorder_;
  std::unique_ptr<ClientConnection> connection_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FramingLimitsTest);

}  // namespace pumicemast
