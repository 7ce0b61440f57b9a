#include "transport/frame_codec.h"

namespace pumicemast {
namespace {

constexpr std::size_t kPrefixBytes = sizeof(std::uint32_t);

std::uint32_t read_length(const std::uint8_t* bytes) {
  return flatbuffers::ReadScalar<std::uint32_t>(bytes);
}

}  // namespace

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
    // Copies the frame, with its prefix, to an aligned address: FlatBuffers reads scalars in place
    // and aligns them relative to the prefix.
    const auto* begin = pending_.data() + position;
    const std::vector<std::uint8_t> frame(begin, begin + kPrefixBytes + length);
    flatbuffers::Verifier verifier(frame.data(), frame.size());
    if (!wire::VerifySizePrefixedFrameBuffer(verifier)) {
      fault = FrameFault::malformed;
      break;
    }
    position += kPrefixBytes + length;
    on_frame(*wire::GetSizePrefixedFrame(frame.data()));
  }
  pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(position));
  return fault;
}

}  // namespace pumicemast
