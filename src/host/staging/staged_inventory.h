/// Reads the engine's staging memory when an agent starts.
///
/// Chunks found there need not be fetched again, and show which version an earlier process of this
/// agent may have ordered (host/staging/staging_recovery.h).
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "host/engine_control.h"

namespace pumicemast {

class StagedInventory {
 public:
  using Bytes = std::shared_ptr<const std::string>;

  StagedInventory(std::string model, EngineControl& engine)
      : model_(std::move(model)), engine_(engine) {}

  /// Starts reading unless that is in progress or done. A failed call does not show that a chunk is
  /// missing, so the next read() starts again from the first chunk.
  void read();
  bool reading() const { return reading_; }
  bool complete() const { return complete_; }

  /// By chunk; empty for chunks that were not staged.
  const std::vector<std::optional<Sha256>>& hashes() const { return hashes_; }
  /// The bytes of the chunks by their computed hashes, not checked against any manifest.
  const std::map<Sha256, Bytes>& bytes() const { return bytes_; }
  void drop_bytes() { bytes_.clear(); }
  /// Manifest of the version that was being written, if there is a marker.
  const std::optional<WeightManifest>& marker_manifest() const { return marker_manifest_; }

 private:
  void read_next(std::vector<ChunkIndex> chunks, std::size_t position);
  void record(ChunkIndex chunk, std::string bytes);

  std::string model_;
  EngineControl& engine_;
  bool reading_ = false;
  bool complete_ = false;
  std::vector<std::optional<Sha256>> hashes_;
  std::map<Sha256, Bytes> bytes_;
  std::optional<WeightManifest> marker_manifest_;
};

}  // namespace pumicemast
