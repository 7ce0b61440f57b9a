#include "host/staging/staging_marker.h"

#include <algorithm>
#include <span>

#include "host/download/manifest_codec.h"
#include "transport/frame_codec.h"

namespace pumicemast {
namespace {

/// A marker consists of this, the SHA-256 of the frame that follows, and a frame with the manifest.
constexpr std::string_view kMagic = "pumicemast staging marker 1\n";

std::string_view digest_bytes(const Sha256& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

std::string encode_staging_marker(const WeightManifest& manifest) {
  const EncodedFrame frame = encode_frame(encode_manifest(manifest));
  const std::string_view payload(reinterpret_cast<const char*>(frame.data()), frame.size());
  std::string marker(kMagic);
  marker += digest_bytes(sha256(payload));
  marker += payload;
  return marker;
}

std::optional<WeightManifest> decode_staging_marker(std::string_view bytes) {
  const std::size_t prefix_size = kMagic.size() + sizeof(Sha256);
  if (!bytes.starts_with(kMagic) || bytes.size() < prefix_size) return std::nullopt;
  const std::string_view payload = bytes.substr(prefix_size);
  if (digest_bytes(sha256(payload)) != bytes.substr(kMagic.size(), sizeof(Sha256))) {
    return std::nullopt;
  }
  std::optional<WeightManifest> manifest;
  FrameReader reader;
  const std::span octets(reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
  const FrameFault fault = reader.consume(octets, [&](const wire::Frame& frame) {
    const auto* document = frame.body_as_ManifestDocument();
    if (document != nullptr) manifest = decode_manifest(*document);
  });
  if (fault != FrameFault::none || !manifest || manifest->hashes.empty()) return std::nullopt;
  return manifest;
}

}  // namespace pumicemast
