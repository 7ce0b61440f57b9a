/// Whether a process before this one may have ordered the engine to take what lies there.
///
/// A decision core: no I/O. An order that got no answer may be carried out seconds later, when the
/// process that gave it has long been killed; nothing tells its successor of it. But a process
/// writes over nothing that it has ordered. So such an order can only name a version that lies
/// there whole, and it is void once the engine's count of orders has risen: the successor orders
/// that version again before it writes anything. What lies there in part was ordered by nobody, and
/// a marker tells so without any version's manifest.
/// Guards against callers getting tokens of two versions after an agent was killed with an order
/// unanswered.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "host/engine_control.h"

namespace pumicemast {

/// What a process may do with the engine's one staging place when it begins.
struct StagingRecoveryDecision {
  enum class Kind {
    undecided,     ///< Nothing may be written yet.
    writable,      ///< No order can be pending.
    reissue_order  ///< `version` lies there whole: it is ordered before anything is written.
  };
  Kind kind = Kind::undecided;
  std::uint64_t version = 0;
};

class StagingRecovery {
 public:
  /// @param began  when this process began.
  explicit StagingRecovery(TimePoint started_at) : started_at_(started_at) {}

  /// Everything that lay at the engine was read: its hashes by place, empty where nothing lay.
  void on_inventory(std::vector<std::optional<Sha256>> staged) { staged_ = std::move(staged); }
  /// A marker lies there (host/staging/staging_marker.h).
  void on_marker_found() { has_marker_ = true; }
  /// What a version consists of became known.
  void on_manifest(const WeightManifest& manifest);

  /// Versions of which one may lie there whole, and whose manifests are not known yet.
  /// @param newest   the version that this process is to bring to the engine.
  /// @param serving  what the engine serves; 0 for nothing.
  std::vector<std::uint64_t> missing_manifests(std::uint64_t newest, std::uint64_t serving) const;
  StagingRecoveryDecision decide(std::uint64_t newest, std::uint64_t serving, TimePoint now) const;
  /// Whatever was ordered before this process began has been carried out, or never will be.
  bool earlier_orders_expired(TimePoint now) const;

 private:
  using Hashes = std::vector<Sha256>;

  /// Versions before `newest` that may have been ordered, whatever is known of them.
  static std::vector<std::uint64_t> earlier_versions(std::uint64_t newest, std::uint64_t serving);
  bool all_chunks_staged(std::size_t count) const;
  bool holds_complete(const Hashes& hashes) const;

  TimePoint started_at_;
  bool has_marker_ = false;
  /// Empty until the engine's staging place was read.
  std::optional<std::vector<std::optional<Sha256>>> staged_;
  std::map<std::uint64_t, Hashes> manifests_;
};

}  // namespace pumicemast
