/// Parses HTTP/1.1 requests from the bytes of one connection with Boost.Beast.
///
/// Does no I/O. Requests are returned complete, so that they can be retried on another back end.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/request_limits.h"
#include "http1/framing_limits.h"
#include "http1/message_parser.h"

namespace pumicemast {

enum class RequestStatus {
  need_more,
  complete,
  malformed,
  head_too_large,
  body_too_large,
};

class RequestReader {
 public:
  explicit RequestReader(RequestLimits limits) : limits_(limits) { begin(); }

  /// Adds received bytes; after `complete`, call take_request() and then resume().
  RequestStatus consume(std::string_view bytes);
  /// Buffers bytes received after the current request, without parsing them.
  void append_pending(std::string_view bytes) { pending_.append(bytes); }
  /// Continues with bytes that were received after the last request.
  RequestStatus resume() { return parse(); }
  ReceivedRequest take_request();
  /// Returns the head of a request whose body is not complete, and drops the bytes of its body. The
  /// rest of the connection cannot be parsed any more.
  ReceivedRequest take_head();

  /// Whether part of a request, or bytes after the current request, have been received.
  bool has_partial() const { return !pending_.empty() || started_; }
  std::size_t pending_bytes() const { return pending_.size(); }
  /// Bytes of memory that the current request and further input take.
  std::size_t allocated_bytes() const {
    return parser_->allocated_bytes() + pending_.allocated_bytes();
  }
  /// Drops all input. The rest of the connection cannot be parsed any more.
  void discard();
  /// Bytes of the current body received so far, and the length that its head states, if any.
  std::size_t body_bytes() const { return parser_->body().size(); }
  std::size_t stated_body_bytes() const;
  /// Whether the caller waits for "100 Continue" before it sends the body.
  bool expects_continue() const;
  void set_limits(RequestLimits limits) { limits_ = limits; }

 private:
  void begin();
  RequestStatus parse();

  RequestLimits limits_;
  std::optional<MessageParser<true>> parser_;
  InputBuffer pending_;
  FramingCounter framing_;
  std::size_t head_bytes_ = 0;  ///< Bytes of the current head parsed so far.
  bool started_ = false;
};

}  // namespace pumicemast
