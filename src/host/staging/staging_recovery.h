/// Decides whether an earlier process of this agent may have ordered the staged version.
///
/// A decision core: no I/O. An engine may carry out an unanswered start order seconds after the
/// agent that sent it was killed, and the restarted agent does not know of that order. But an agent
/// never overwrites a version that it has ordered. So such an order can only name a version that is
/// completely staged, and it becomes void once the engine's order sequence has risen: the restarted
/// agent orders that version again before it writes anything. An incomplete version was never
/// ordered, and a marker shows that without the manifest of any version.
/// Guards against responses with tokens of two versions after an agent was killed while an order
/// was unanswered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "host/engine_control.h"

namespace pumicemast {

/// What a process may do with the engine's staging memory after its start.
struct StagingRecoveryDecision {
  enum class Kind {
    undecided,     ///< Nothing may be written yet.
    writable,      ///< No earlier order can be pending.
    reissue_order  ///< `version` is completely staged: order it before anything is written.
  };
  Kind kind = Kind::undecided;
  std::uint64_t version = 0;
};

class StagingRecovery {
 public:
  /// @param started_at  when this process started.
  explicit StagingRecovery(TimePoint started_at) : started_at_(started_at) {}

  /// The engine's staging memory was read: hashes by chunk, empty for chunks that are not staged.
  void on_inventory(std::vector<std::optional<Sha256>> staged) { staged_ = std::move(staged); }
  /// The staging memory holds a marker (host/staging/staging_marker.h).
  void on_marker_found() { has_marker_ = true; }
  void on_manifest(const WeightManifest& manifest);

  /// Versions that may be completely staged and whose manifests are not known yet.
  /// @param newest   the version that this process is to stage.
  /// @param serving  the version that the engine serves; 0 for none.
  std::vector<std::uint64_t> missing_manifests(std::uint64_t newest, std::uint64_t serving) const;
  StagingRecoveryDecision decide(std::uint64_t newest, std::uint64_t serving, TimePoint now) const;
  /// Orders sent before this process started have been carried out or never will be.
  bool earlier_orders_expired(TimePoint now) const;

 private:
  using Hashes = std::vector<Sha256>;

  /// Versions before `newest` that may have been ordered, with or without a known manifest.
  static std::vector<std::uint64_t> earlier_versions(std::uint64_t newest, std::uint64_t serving);
  bool all_chunks_staged(std::size_t count) const;
  bool holds_complete(const Hashes& hashes) const;

  TimePoint started_at_;
  bool has_marker_ = false;
  /// Empty until the engine's staging memory was read.
  std::optional<std::vector<std::optional<Sha256>>> staged_;
  std::map<std::uint64_t, Hashes> manifests_;
};

}  // namespace pumicemast
