/// Reads HTTP/1.1 requests from the bytes of one connection, by Boost.Beast's parser.
///
/// Free of I/O. A request is handed on whole, so that it can be sent again elsewhere.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/request_limits.h"
#include "http1/http_message.h"

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

  /// Adds received bytes; after `complete` take the request, then call resume().
  RequestStatus consume(std::string_view bytes);
  /// Keeps bytes that were received beyond the present request.
  void append_pending(std::string_view bytes) { pending_.append(bytes); }
  /// Reads on in what was received beyond the last request.
  RequestStatus resume() { return parse(); }
  ReceivedRequest take_request();

  /// Part of a request, or of one after the present one, has been received.
  bool has_partial() const { return !pending_.empty() || started_; }
  std::size_t pending_bytes() const { return pending_.size(); }
  /// The caller waits for "100 Continue" before it sends the body.
  bool expects_continue() const;
  void set_limits(RequestLimits limits) { limits_ = limits; }

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  void begin();
  RequestStatus parse();

  RequestLimits limits_;
  std::optional<Parser> parser_;
  std::string pending_;
  std::size_t head_bytes_ = 0;  ///< Of the present request's head, as far as it was read.
  bool started_ = false;
};

}  // namespace pumicemast
