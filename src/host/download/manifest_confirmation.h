/// Decides which manifest of the origin may be used.
///
/// A decision core: no I/O. Any byte of the origin's answer may be corrupt, and a manifest is what
/// all chunks are verified with. So a manifest is confirmed only when a second answer, to a request
/// that stated the version, equals it. Guards against a version that nobody named and against
/// digests that no chunk fits.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "host/engine_control.h"

namespace pumicemast {

/// Whether a manifest may belong to `model` at all.
bool plausible_manifest(const WeightManifest& manifest, const std::string& model);

class ManifestConfirmation {
 public:
  enum class Verdict {
    confirmed,
    unconfirmed,   ///< The first answer: a second request decides.
    contradicted,  ///< The answer is unusable or differs from each earlier one.
  };

  /// Forgets all answers. `version` is 0 for the newest.
  void begin(std::string model, std::uint64_t version);
  /// The version to state in the next request; 0 for none.
  std::uint64_t next_version() const;
  Verdict on_answer(const WeightManifest& manifest);
  /// The origin refused or failed. It may not have the version that its earlier answer stated.
  void on_failed();

 private:
  std::string model_;
  std::uint64_t version_ = 0;
  /// Answers that differ from one another, the latest last.
  std::deque<WeightManifest> answers_;
};

}  // namespace pumicemast
