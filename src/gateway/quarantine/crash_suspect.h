/// What may be the cause of crashes: a request, or a property that different requests share.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

/// The values are sent to other gateways.
enum class SuspectKind : std::uint8_t {
  request = 0,      ///< All requests with the same content and tenant.
  prompt_part = 1,  ///< All requests with this shared part in their prompts.
};
const char* to_string(SuspectKind kind);

struct CrashSuspect {
  RequestFingerprint fingerprint;
  SuspectKind kind = SuspectKind::request;

  CrashSuspect() = default;
  /// Implicit: most suspects are requests.
  CrashSuspect(const RequestFingerprint& identity, SuspectKind of = SuspectKind::request)
      : fingerprint(identity), kind(of) {}
  auto operator<=>(const CrashSuspect&) const = default;
};
using CrashSuspects = std::vector<CrashSuspect>;

struct CrashSuspectHash {
  std::size_t operator()(const CrashSuspect& suspect) const {
    return RequestFingerprintHash{}(suspect.fingerprint) + static_cast<std::size_t>(suspect.kind);
  }
};

}  // namespace pumicemast
