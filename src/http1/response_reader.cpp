#include "http1/response_reader.h"

#include <boost/asio/buffer.hpp>
#include <limits>

namespace pumicemast {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kMaximumHeadBytes = 64U * 1024U;
constexpr unsigned kContinueClass = 100;
constexpr unsigned kSuccessClass = 200;
/// A larger buffer is released when it is empty: a gateway has thousands of connections.
constexpr std::size_t kKeptBytes = 4U * 1024U;

}  // namespace

void ResponseReader::begin(bool to_head_request) {
  to_head_request_ = to_head_request;
  head_complete_ = false;
  ends_with_connection_ = false;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaximumHeadBytes);
  parser_->body_limit(boost::none);
  parser_->skip(to_head_request);
}

bool ResponseReader::is_interim() const {
  const unsigned status = parser_->get().result_int();
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

ReadStatus ResponseReader::parse() {
  std::size_t offset = 0;
  ReadStatus status = ReadStatus::need_more;
  while (offset < pending_.size()) {
    boost::system::error_code error;
    const std::size_t used = parser_->put(
        boost::asio::const_buffer(pending_.data() + offset, pending_.size() - offset), error);
    offset += used;
    if (error && error != http::error::need_more) {
      status = ReadStatus::malformed;
      break;
    }
    if (parser_->is_done()) {
      if (is_interim()) {
        begin(to_head_request_);
        continue;
      }
      status = ReadStatus::complete;
      break;
    }
    if (error || used == 0) break;
  }
  note_head();
  pending_.erase(0, offset);
  if (pending_.empty() && pending_.capacity() > kKeptBytes) pending_.shrink_to_fit();
  return status;
}

ReadStatus ResponseReader::consume_end() {
  if (!head_complete_ || !ends_with_connection_) return ReadStatus::need_more;
  boost::system::error_code error;
  parser_->put_eof(error);
  return error ? ReadStatus::need_more : ReadStatus::complete;
}

std::string ResponseReader::take_body() {
  std::string body = std::move(parser_->get().body());
  parser_->get().body().clear();
  return body;
}

}  // namespace pumicemast
