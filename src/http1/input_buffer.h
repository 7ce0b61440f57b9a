/// Received bytes that have not been parsed yet.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pumicemast {

/// Bytes that `text` has allocated; short texts are kept within the object.
inline std::size_t allocated_bytes(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

/// Frees the memory that `text` has allocated, if its content takes less than half of it.
void release_unused(std::string& text);

/// Appends at the end and consumes at the front, both in constant time per byte. Gives memory back
/// as bytes are consumed: a process has thousands of connections.
class InputBuffer {
 public:
  void append(std::string_view bytes) { bytes_.append(bytes); }
  /// Drops the first `count` bytes.
  void consume(std::size_t count);
  void clear();

  std::string_view view() const { return std::string_view(bytes_).substr(consumed_); }
  std::size_t size() const { return bytes_.size() - consumed_; }
  bool empty() const { return size() == 0; }
  std::size_t allocated_bytes() const { return pumicemast::allocated_bytes(bytes_); }

 private:
  std::string bytes_;
  std::size_t consumed_ = 0;  ///< Bytes at the front that are not needed any more.
};

}  // namespace pumicemast
