#include "transport/frame_codec.h"

#include <cstring>

namespace pumicemast {
namespace {

constexpr std::size_t kPrefixBytes = sizeof(std::uint32_t);

std::uint32_t read_length(const std::uint8_t* bytes) {
  return flatbuffers::ReadScalar<std::uint32_t>(bytes);
}

}  // namespace

namespace detail {

std::vector<std::uint8_t> finish_frame(flatbuffers::FlatBufferBuilder& builder, wire::Body type,
                                       flatbuffers::Offset<void> body) {
  builder.Finish(wire::CreateFrame(builder, type, body));
  const auto size = static_cast<std::uint32_t>(builder.GetSize());
  std::vector<std::uint8_t> frame(kPrefixBytes + size);
  flatbuffers::WriteScalar(frame.data(), size);
  std::memcpy(frame.data() + kPrefixBytes, builder.GetBufferPointer(), size);
  return frame;
}

}  // namespace detail

FrameFault FrameReader::consume(std::span<const std::uint8_t> bytes, const OnFrame& on_frame) {
  pending_.insert(pending_.end(), bytes.begin(), bytes.end());
  std::size_t position = 0;
  FrameFault fault = FrameFault::none;
  while (pending_.size() - position >= kPrefixBytes) {
    const std::size_t length = read_length(pending_.data() + position);
    if (length > kMaximumFrameBytes) {
      fault = FrameFault::oversize;
      break;
    }
    if (pending_.size() - position - kPrefixBytes < length) break;
    // A copy at an aligned address: FlatBuffers reads scalars in place.
    const auto* begin = pending_.data() + position + kPrefixBytes;
    const std::vector<std::uint8_t> payload(begin, begin + length);
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!wire::VerifyFrameBuffer(verifier)) {
      fault = FrameFault::malformed;
      break;
    }
    position += kPrefixBytes + length;
    on_frame(*wire::GetFrame(payload.data()));
  }
  pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(position));
  return fault;
}

}  // namespace pumicemast
