/// Reads HTTP/1.1 responses from the bytes of one connection, by Boost.Beast's parser.
///
/// Free of I/O. It tells apart what a proxying caller must: an answer that ended whole, one
/// that was cut off, bytes that are no answer, and bytes beyond the answer.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http1/http_message.h"

namespace pumicemast {

enum class ReadStatus {
  need_more,
  complete,
  malformed,  ///< The bytes are no message of the protocol.
};

class ResponseReader {
 public:
  /// Expects the answer to a request; bytes left over from the last one are kept.
  /// @param to_head_request  the answer has no body whatever its fields say.
  void begin(bool to_head_request);
  /// Adds received bytes. After `complete`, call begin() before the next.
  ReadStatus consume(std::string_view bytes);
  /// The peer ended the connection in order.
  /// @return complete when that ends an answer without length; need_more when it was cut off.
  ReadStatus consume_end();

  bool head_complete() const { return head_complete_; }
  const ResponseHead& head() const { return parser_->get().base(); }
  /// Body bytes decoded since the last call.
  std::string take_body();
  /// The connection can carry another request once the answer is complete.
  bool keep_alive() const { return parser_->get().keep_alive() && !ends_with_connection_; }
  /// Bytes that belong to no answer yet.
  bool has_surplus() const { return !pending_.empty(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  ReadStatus parse();
  void note_head();
  bool is_interim() const;

  std::optional<Parser> parser_;
  std::string pending_;
  bool to_head_request_ = false;
  bool head_complete_ = false;
  bool ends_with_connection_ = false;
};

}  // namespace pumicemast
