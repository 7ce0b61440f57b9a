/// Reads what lies in the engine's staging place when an agent begins.
///
/// What is found need not be fetched again, and tells what an earlier process of this agent may
/// have ordered (host/staging/staging_recovery.h).
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

  /// Begins to read, unless that is under way or done. A call without an answer says nothing of
  /// what lies there: all is read again with the next call of this.
  void read();
  bool reading() const { return reading_; }
  bool complete() const { return complete_; }

  /// By place; empty where nothing lay.
  const std::vector<std::optional<Sha256>>& hashes() const { return hashes_; }
  /// The chunks, unverified, by their hashes.
  const std::map<Sha256, Bytes>& bytes() const { return bytes_; }
  void drop_bytes() { bytes_.clear(); }
  /// The version that was being written there, when a marker says so.
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
