#include "http1/input_buffer.h"

namespace pumicemast {
namespace {

/// Smaller buffers are not worth a copy of what is left.
constexpr std::size_t kSmallBytes = 4U * 1024U;

}  // namespace

void release_unused(std::string& text) {
  if (text.capacity() > kSmallBytes && text.capacity() > 2 * text.size()) text.shrink_to_fit();
}

void InputBuffer::consume(std::size_t count) {
  consumed_ += count;
  if (consumed_ == bytes_.size()) {
    clear();
    return;
  }
  // Bytes are moved only when at least as many have been consumed.
  if (2 * consumed_ < bytes_.size()) return;
  bytes_.erase(0, consumed_);
  consumed_ = 0;
  release_unused(bytes_);
}

void InputBuffer::clear() {
  std::string().swap(bytes_);  // An assignment would keep the allocated memory.
  consumed_ = 0;
}

}  // namespace pumicemast
