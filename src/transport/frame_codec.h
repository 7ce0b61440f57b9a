/// Framing of FlatBuffers messages on a byte stream.
///
/// A frame is a 32-bit little-endian payload length followed by a wire::Frame.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "generated/wire_generated.h"

namespace pumicemast {

/// Largest accepted payload in bytes: one weight chunk and the table around it.
constexpr std::size_t kMaximumFrameBytes = 40U * 1024U * 1024U;

/// Why a byte stream was rejected.
enum class FrameFault { none, oversize, malformed };

/// An encoded frame that owns the buffer of its builder, without a copy.
using EncodedFrame = flatbuffers::DetachedBuffer;

/// Encodes `body` with its length prefix.
template <class Table>
EncodedFrame encode_frame(const Table& body);

/// Reassembles frames from a byte stream that arrives in pieces of any size.
class FrameReader {
 public:
  using OnFrame = std::function<void(const wire::Frame&)>;

  /// Consumes `bytes` and calls `on_frame` for each complete, verified frame. The frame is
  /// valid only during the call. After a fault the reader must not be used again.
  FrameFault consume(std::span<const std::uint8_t> bytes, const OnFrame& on_frame);

 private:
  std::vector<std::uint8_t> pending_;
};

template <class Table>
EncodedFrame encode_frame(const Table& body) {
  flatbuffers::FlatBufferBuilder builder;
  const auto offset = Table::TableType::Pack(builder, &body);
  const auto type = wire::BodyTraits<typename Table::TableType>::enum_value;
  // The size prefix of FlatBuffers serves as the length prefix: 32 bits, little-endian.
  builder.FinishSizePrefixed(wire::CreateFrame(builder, type, offset.Union()));
  return builder.Release();
}

}  // namespace pumicemast
