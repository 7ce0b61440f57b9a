/// Bounds on the bytes of an HTTP message that are neither its head nor its body.
///
/// Without them a peer can keep a reader busy with bytes that never become content, until a time
/// limit ends the message: chunk sizes, chunk extensions, trailers and interim responses.
#pragma once

#include <cstddef>
#include <string_view>

namespace pumicemast {

/// Of a response's head, and of all interim responses before it.
constexpr std::size_t kMaximumResponseHeadBytes = 64U * 1024U;
constexpr std::size_t kMaximumInterimResponses = 16;
/// Of one chunk's size with its extensions, or of all trailers.
constexpr std::size_t kMaximumFramingLineBytes = 8U * 1024U;

/// Counts the framing of one chunked body: sizes, extensions and line ends.
class FramingCounter {
 public:
  void add(std::size_t framing_bytes, std::size_t content_bytes) {
    framing_bytes_ += framing_bytes;
    content_bytes_ += content_bytes;
  }
  /// Whether there is more framing than a sender of small chunks needs.
  bool exceeded() const {
    return framing_bytes_ > kAllowedFramingBytes + kFramingBytesPerContentByte * content_bytes_;
  }

 private:
  /// Independent of the content: extensions of some chunks, and the last chunk.
  static constexpr std::size_t kAllowedFramingBytes = 64U * 1024U;
  /// A chunk of one byte has five bytes of framing.
  static constexpr std::size_t kFramingBytesPerContentByte = 16;

  std::size_t framing_bytes_ = 0;
  std::size_t content_bytes_ = 0;
};

}  // namespace pumicemast
