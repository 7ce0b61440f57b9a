/// SHA-256 digests, computed by OpenSSL.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pumicemast {

/// Binary digest; compares bytewise.
using Sha256 = std::array<std::uint8_t, 32>;

/// Digest of one buffer.
Sha256 sha256(std::string_view bytes);

/// Lower-case hexadecimal form.
std::string to_hex(const Sha256& digest);

/// Parses 64 hexadecimal characters; nullopt for anything else.
std::optional<Sha256> parse_sha256(std::string_view hex);

/// Digest of a stream of buffers.
class Sha256Stream {
 public:
  Sha256Stream();
  ~Sha256Stream();
  Sha256Stream(const Sha256Stream&) = delete;
  Sha256Stream& operator=(const Sha256Stream&) = delete;

  void update(std::string_view bytes);
  /// Ends the stream; call once.
  Sha256 finish();

 private:
  struct Context;
  std::unique_ptr<Context> context_;
};

}  // namespace pumicemast
