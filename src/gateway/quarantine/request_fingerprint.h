/// Identifies a request by its content and tenant, so that repeats of it are recognized.
///
/// A repeat arrives as a new request with another id, at any gateway, but with the same content.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumicemast {

/// 128 bits of a SHA-256 digest. That many bits prevent a caller from constructing two bodies with
/// the same fingerprint, which would let it have another caller's request refused.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;
  /// False if the fingerprint was not computed.
  bool known() const { return high != 0 || low != 0; }
};

/// Hash for unordered containers; any part of a digest is uniformly distributed.
struct RequestFingerprintHash {
  std::size_t operator()(const RequestFingerprint& fingerprint) const {
    return static_cast<std::size_t>(fingerprint.low);
  }
};

/// Returns 32 hexadecimal digits, the form used in log lines and settings.
std::string to_string(const RequestFingerprint& fingerprint);

/// Parses the form that to_string() returns; empty for any other text.
std::optional<RequestFingerprint> parse_fingerprint(std::string_view text);

/// Computes the fingerprint of a request's content, independent of the tenant.
/// @param host    upper or lower case, with or without a port, which are ignored.
/// @param target  path and query.
RequestFingerprint fingerprint_content(std::string_view method, std::string_view host,
                                       std::string_view target, std::string_view body);

/// Computes the fingerprint of a content for one tenant. Two tenants never share a fingerprint.
RequestFingerprint fingerprint_for(const RequestFingerprint& content, std::string_view tenant);

}  // namespace pumicemast
