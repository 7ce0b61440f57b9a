#include "host/download/manifest_confirmation.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// A corrupt answer is followed by a whole one within a few requests.
constexpr std::size_t kMaximumAnswers = 4;

}  // namespace

bool plausible_manifest(const WeightManifest& manifest, const std::string& model) {
  return manifest.model == model && manifest.version > 0 && manifest.layers > 0 &&
         manifest.chunk_bytes <= kMaximumChunkBytes && !manifest.hashes.empty() &&
         manifest.hashes.size() <= kMaximumChunkCount;
}

void ManifestConfirmation::begin(std::string model, std::uint64_t version) {
  model_ = std::move(model);
  version_ = version;
  answers_.clear();
}

std::uint64_t ManifestConfirmation::next_version() const {
  if (version_ != 0 || answers_.empty()) return version_;
  return answers_.back().version;
}

ManifestConfirmation::Verdict ManifestConfirmation::on_answer(const WeightManifest& manifest) {
  const std::uint64_t stated = next_version();
  const bool fits = stated == 0 || manifest.version == stated;
  if (!fits || !plausible_manifest(manifest, model_)) {
    on_failed();
    return Verdict::contradicted;
  }
  if (answers_.empty()) {
    answers_.push_back(manifest);
    return Verdict::unconfirmed;
  }
  if (std::find(answers_.begin(), answers_.end(), manifest) != answers_.end()) {
    return Verdict::confirmed;
  }
  on_failed();
  // Without a stated version this answer says nothing about which version is the newest.
  if (version_ != 0) answers_.push_back(manifest);
  if (answers_.size() > kMaximumAnswers) answers_.pop_front();
  return Verdict::contradicted;
}

void ManifestConfirmation::on_failed() {
  if (version_ == 0) answers_.clear();
}

}  // namespace pumicemast
