#include "http1/request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace pumicemast {
namespace {

namespace http = boost::beast::http;

}  // namespace

void RequestReader::begin() {
  parser_.emplace();
  // Parses one element at a time, so that the end of the head is known and its size can be checked
  // here: the parser does not apply its own limit to a head that arrives in one piece.
  parser_->eager(false);
  parser_->header_limit(std::numeric_limits<std::uint32_t>::max());
  parser_->body_limit(limits_.maximum_body_bytes);
  head_bytes_ = 0;
  framing_ = {};
  started_ = false;
}

RequestStatus RequestReader::consume(std::string_view bytes) {
  pending_.append(bytes);
  return parse();
}

RequestStatus RequestReader::parse() {
  const std::string_view input = pending_.view();
  std::size_t offset = 0;
  RequestStatus status = RequestStatus::need_more;
  while (offset < input.size()) {
    boost::system::error_code error;
    const bool in_head = !parser_->is_header_done();
    const std::size_t body_before = parser_->body().size();
    const std::size_t used = parser_->put(
        boost::asio::const_buffer(input.data() + offset, input.size() - offset), error);
    offset += used;
    started_ = started_ || used > 0;
    if (in_head) head_bytes_ += used;
    const std::size_t content = parser_->body().size() - body_before;
    if (!in_head && parser_->chunked()) framing_.add(used - content, content);
    const std::size_t unread_head = parser_->is_header_done() ? 0 : input.size() - offset;
    if (in_head && head_bytes_ + unread_head > limits_.maximum_head_bytes) {
      status = RequestStatus::head_too_large;
      break;
    }
    if (error == http::error::body_limit) {
      status = RequestStatus::body_too_large;
      break;
    }
    if (error && error != http::error::need_more) {
      status = RequestStatus::malformed;
      break;
    }
    if (parser_->is_done()) {
      status = RequestStatus::complete;
      break;
    }
    if (error || used == 0) break;
  }
  pending_.consume(offset);
  const bool in_body = status == RequestStatus::need_more && parser_->is_header_done();
  if (in_body && (pending_.size() > kMaximumFramingLineBytes || framing_.exceeded())) {
    return RequestStatus::malformed;
  }
  return status;
}

bool RequestReader::expects_continue() const {
  return parser_->is_header_done() && !parser_->is_done() &&
         equal_names(field_value(parser_->head().fields, "Expect"), "100-continue");
}

std::size_t RequestReader::stated_body_bytes() const {
  if (!parser_->is_header_done()) return 0;
  const auto length = parser_->content_length();
  return length ? static_cast<std::size_t>(*length) : 0;
}

ReceivedRequest RequestReader::take_head() {
  ReceivedRequest request;
  request.body_refused = true;
  request.head = parser_->take_head();
  discard();
  return request;
}

void RequestReader::discard() {
  begin();
  pending_.clear();
}

ReceivedRequest RequestReader::take_request() {
  ReceivedRequest request;
  request.keep_alive = parser_->keep_alive();
  request.body = std::move(parser_->body());
  request.head = parser_->take_head();
  begin();
  return request;
}

}  // namespace pumicemast
