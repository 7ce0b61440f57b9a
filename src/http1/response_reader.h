/// Parses HTTP/1.1 responses from the bytes of one connection with Boost.Beast.
///
/// Does no I/O. Distinguishes what a proxy must: complete responses, truncated responses, bytes
/// that are not a response, and bytes after the response.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http1/framing_limits.h"
#include "http1/message_parser.h"

namespace pumicemast {

enum class ReadStatus {
  need_more,
  complete,
  malformed,  ///< The bytes are not a valid HTTP message, or exceed the limits of its framing.
};

/// How the end of a response was recognized.
enum class ResponseEnd {
  stated,               ///< By its length, its last chunk, or because it has no body.
  inferred_from_close,  ///< By an orderly close alone: the peer may have cut the response off.
};

class ResponseReader {
 public:
  /// Expects the response to a request; bytes received after the last response are kept.
  /// @param to_head_request  the response has no body, whatever its fields say.
  void begin(bool to_head_request);
  /// Adds received bytes. After `complete`, call begin() before the next.
  ReadStatus consume(std::string_view bytes);
  /// The peer closed the connection in an orderly way.
  /// @return complete if that ends a response without a length or chunks, in which case end() is
  ///         `inferred_from_close`; need_more if it was truncated.
  ReadStatus consume_end();

  bool head_complete() const { return head_complete_; }
  const ResponseHead& head() const { return parser_->head(); }
  /// Body bytes decoded since the last call.
  std::string take_body();
  /// How the end of a complete response was recognized.
  ResponseEnd end() const {
    return ends_with_connection_ ? ResponseEnd::inferred_from_close : ResponseEnd::stated;
  }
  /// Whether the connection can carry another request once the response is complete.
  bool keep_alive() const { return parser_->keep_alive() && !ends_with_connection_; }
  /// Whether bytes have been received that are not part of the response.
  bool has_surplus() const { return !pending_.empty(); }
  /// Bytes of memory that the response and unparsed input take.
  std::size_t allocated_bytes() const {
    return pending_.allocated_bytes() + (parser_ ? parser_->allocated_bytes() : 0);
  }

 private:
  ReadStatus parse();
  /// Expects the final head after an interim response, or the first head.
  void begin_message();
  void note_head();
  bool is_interim() const;
  /// Counts an interim response of `bytes`.
  /// @return false if there are too many, or too large ones.
  bool admit_interim(std::size_t bytes);
  /// Whether the received bytes that cannot be parsed yet are too many for what they begin.
  bool exceeds_limits() const;

  std::optional<MessageParser<false>> parser_;
  InputBuffer pending_;
  FramingCounter framing_;
  std::size_t interim_responses_ = 0;
  std::size_t interim_bytes_ = 0;
  bool to_head_request_ = false;
  bool head_complete_ = false;
  bool ends_with_connection_ = false;
};

}  // namespace pumicemast
