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
struct InheritedStagingVerdict {
  enum class Kind {
    undecided,   ///< Nothing may be written yet.
    free,        ///< No order can be pending.
    order_again  ///< `version` lies there whole: it is ordered before anything is written.
  };
  Kind kind = Kind::undecided;
  std::uint64_t version = 0;
};

class InheritedStaging {
 public:
  /// @param began  when this process began.
  explicit InheritedStaging(TimePoint began) : began_(began) {}

  /// Everything that lay at the engine was read: its hashes by place, empty where nothing lay.
  void on_read(std::vector<std::optional<Sha256>> held) { held_ = std::move(held); }
  /// A marker lies there (host/staging/staging_marker.h).
  void on_marked() { marked_ = true; }
  /// What a version consists of became known.
  void on_manifest(const WeightManifest& manifest);

  /// Versions of which one may lie there whole, and whose manifests are not known yet.
  /// @param newest   the version that this process is to bring to the engine.
  /// @param serving  what the engine serves; 0 for nothing.
  std::vector<std::uint64_t> wanted_manifests(std::uint64_t newest, std::uint64_t serving) const;
  InheritedStagingVerdict decide(std::uint64_t newest, std::uint64_t serving, TimePoint now) const;
  /// Whatever was ordered before this process began has been carried out, or never will be.
  bool too_long_ago(TimePoint now) const;

 private:
  using Hashes = std::vector<Sha256>;

  /// Versions before `newest` that may have been ordered, whatever is known of them.
  static std::vector<std::uint64_t> earlier_versions(std::uint64_t newest, std::uint64_t serving);
  bool fills_all_places(std::size_t count) const;
  bool holds_whole(const Hashes& hashes) const;

  TimePoint began_;
  bool marked_ = false;
  /// Empty until the engine's staging place was read.
  std::optional<std::vector<std::optional<Sha256>>> held_;
  std::map<std::uint64_t, Hashes> manifests_;
};

}  // namespace pumicemast
