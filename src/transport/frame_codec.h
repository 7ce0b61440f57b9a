/// Framing of FlatBuffers messages on a byte stream.
///
/// A frame is a 32-bit little-endian payload length and a verified wire::Frame.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "generated/wire_generated.h"

namespace pumicemast {

/// Largest accepted payload: one weight chunk and its table.
constexpr std::size_t kMaximumFrameBytes = 40U * 1024U * 1024U;

/// Why a byte stream was refused.
enum class FrameFault { none, oversize, malformed };

/// Encodes `body` with its length prefix.
template <class Table>
std::vector<std::uint8_t> encode_frame(const Table& body);

/// Reassembles frames from arbitrary pieces of a stream.
class FrameReader {
 public:
  using OnFrame = std::function<void(const wire::Frame&)>;

  /// Consumes `bytes` and calls `on_frame` for each whole, verified frame. The frame is
  /// valid only during the call. After a fault the reader must not be used again.
  FrameFault consume(std::span<const std::uint8_t> bytes, const OnFrame& on_frame);

 private:
  std::vector<std::uint8_t> pending_;
};

namespace detail {
std::vector<std::uint8_t> finish_frame(flatbuffers::FlatBufferBuilder& builder, wire::Body type,
                                       flatbuffers::Offset<void> body);
}  // namespace detail

template <class Table>
std::vector<std::uint8_t> encode_frame(const Table& body) {
  flatbuffers::FlatBufferBuilder builder;
  const auto offset = Table::TableType::Pack(builder, &body);
  return detail::finish_frame(builder, wire::BodyTraits<typename Table::TableType>::enum_value,
                              offset.Union());
}

}  // namespace pumicemast
