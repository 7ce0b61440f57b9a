/// Names a request by what it asks for and for whom, so that repeats of it are known for the same.
///
/// A repeat arrives as a new request, with another id, at any gateway; what it asks for stays.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumicemast {

/// 128 bits of a SHA-256 digest. A caller that could make two bodies of one fingerprint could have
/// somebody else's request refused; with this many bits it can't.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;
  /// False for one that was not computed.
  bool known() const { return high != 0 || low != 0; }
};

/// For hashed containers: any part of a digest is as good as another.
struct RequestFingerprintHash {
  std::size_t operator()(const RequestFingerprint& fingerprint) const {
    return static_cast<std::size_t>(fingerprint.low);
  }
};

/// 32 hexadecimal digits, as in log lines and settings.
std::string to_string(const RequestFingerprint& fingerprint);

/// Reads what to_string() wrote; empty for anything else.
std::optional<RequestFingerprint> parse_fingerprint(std::string_view text);

/// Of what is asked for, whoever asks.
/// @param host    in any case, with or without a port: both name the same.
/// @param target  path and query.
RequestFingerprint fingerprint_content(std::string_view method, std::string_view host,
                                       std::string_view target, std::string_view body);

/// Of what is asked for by one tenant. Two tenants never share one.
RequestFingerprint fingerprint_for(const RequestFingerprint& content, std::string_view tenant);

}  // namespace pumicemast
