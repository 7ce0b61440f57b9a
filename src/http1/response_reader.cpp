#include "http1/response_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace pumicemast {
namespace {

namespace http = boost::beast::http;

constexpr int kContinueClass = 100;
constexpr int kSuccessClass = 200;

}  // namespace

void ResponseReader::begin(bool to_head_request) {
  to_head_request_ = to_head_request;
  interim_responses_ = 0;
  interim_bytes_ = 0;
  begin_message();
}

void ResponseReader::begin_message() {
  head_complete_ = false;
  ends_with_connection_ = false;
  framing_ = {};
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaximumResponseHeadBytes);
  parser_->body_limit(boost::none);
  parser_->skip(to_head_request_);
}

bool ResponseReader::is_interim() const {
  const int status = parser_->head().status;
  return status >= kContinueClass && status < kSuccessClass;
}

void ResponseReader::note_head() {
  if (head_complete_ || !parser_->is_header_done()) return;
  head_complete_ = true;
  ends_with_connection_ = parser_->need_eof();
}

ReadStatus ResponseReader::consume(std::string_view bytes) {
  pending_.append(bytes);
  return parse();
}

bool ResponseReader::admit_interim(std::size_t bytes) {
  ++interim_responses_;
  interim_bytes_ += bytes;
  return interim_responses_ <= kMaximumInterimResponses &&
         interim_bytes_ <= kMaximumResponseHeadBytes;
}

bool ResponseReader::exceeds_limits() const {
  if (!parser_->is_header_done()) return pending_.size() > kMaximumResponseHeadBytes;
  return pending_.size() > kMaximumFramingLineBytes || framing_.exceeded();
}

ReadStatus ResponseReader::parse() {
  const std::string_view input = pending_.view();
  std::size_t offset = 0;
  ReadStatus status = ReadStatus::need_more;
  while (offset < input.size()) {
    boost::system::error_code error;
    const bool in_body = parser_->is_header_done();
    const std::size_t body_before = parser_->body().size();
    const std::size_t used = parser_->put(
        boost::asio::const_buffer(input.data() + offset, input.size() - offset), error);
    offset += used;
    const std::size_t content = parser_->body().size() - body_before;
    if (in_body && parser_->chunked()) framing_.add(used - content, content);
    if (error && error != http::error::need_more) {
      status = ReadStatus::malformed;
      break;
    }
    if (parser_->is_done()) {
      if (is_interim()) {
        if (admit_interim(used)) {
          begin_message();
          continue;
        }
        status = ReadStatus::malformed;
        break;
      }
      status = ReadStatus::complete;
      break;
    }
    if (error || used == 0) break;
  }
  note_head();
  pending_.consume(offset);
  if (status == ReadStatus::need_more && exceeds_limits()) status = ReadStatus::malformed;
  return status;
}

ReadStatus ResponseReader::consume_end() {
  if (!head_complete_ || !ends_with_connection_) return ReadStatus::need_more;
  boost::system::error_code error;
  parser_->put_eof(error);
  return error ? ReadStatus::need_more : ReadStatus::complete;
}

std::string ResponseReader::take_body() {
  std::string body = std::move(parser_->body());
  parser_->body().clear();
  return body;
}

}  // namespace pumicemast
