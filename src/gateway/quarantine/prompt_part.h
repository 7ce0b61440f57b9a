/// Parts of prompts that several requests share.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

struct PromptPart {
  std::string id;  ///< As callers state it.
  RequestFingerprint fingerprint;

  bool operator==(const PromptPart&) const = default;
};
using PromptParts = std::vector<PromptPart>;

/// A shared part of a request that was running in a crash.
struct SuspectedPart {
  std::string id;
  RequestFingerprint fingerprint;
  /// Hash of the request that had the part; the lowest one if there were several.
  std::uint64_t carrier = 0;
};
using SuspectedParts = std::vector<SuspectedPart>;

/// Identifies what engines of a service read for a part: the same part of another service or model
/// is something else. All tenants share it, because they may share the part.
RequestFingerprint fingerprint_prompt_part(std::string_view service, std::string_view model,
                                           std::string_view part_id);

}  // namespace pumicemast
