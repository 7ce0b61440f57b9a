/// Brings the wanted version of one model's weights to the engine beside this agent.
///
/// Decides which versions are downloaded and which one is staged. One is staged at a time; the
/// next is downloaded while the engine waits for its turn to take the one before.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "host/download/version_download.h"
#include "host/staging/engine_stager.h"
#include "host/staging/staged_inventory.h"
#include "host/staging/staging_recovery.h"

namespace pumicemast {

class ModelStager {
 public:
  struct Callbacks {
    /// When the engine leaves service has become known, or it is about to: gateways should know.
    std::function<void()> on_leaving;
    /// Whether requests that gateways sent to the engine have not begun yet.
    std::function<bool()> prompts_waiting;
    /// A decision worth a line.
    std::function<void(const std::string& kind, const std::string& line)> log_line;
  };

  ModelStager(std::string model, const HostSettings& settings, const StateChart& chart,
              EngineControl& engine, WeightOrigin& origin, PeerLinks& links, Metrics& metrics,
              Callbacks callbacks);

  /// `version` was named.
  void on_version_named(std::uint64_t version);
  void set_peers(const std::set<StagingPeer>& peers);
  /// Nothing is drawn until peers are known: alone, each agent would draw whole copies from the
  /// origin.
  void wait_for_peers() { waiting_for_peers_ = peers_.empty(); }
  void stop_waiting_for_peers() { waiting_for_peers_ = false; }
  void on_load(const LoadReport& report);
  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_peer_lost(PeerId peer);
  void on_peer_drained(PeerId peer) { uplink_.on_drained(peer); }
  /// Call every few hundredths of a second.
  void on_tick();

  const std::string& model() const { return model_; }
  /// Version that is being brought to the engine; 0 while it is not known.
  std::uint64_t staged_version() const { return current_ ? current_->version() : 0; }
  /// The engine leaves service, or is about to, or may do so at any moment.
  bool starting() const { return engine_stager_.starting(); }
  /// An order may still be carried out by the engine.
  bool order_pending() const { return engine_stager_.order_pending(); }
  /// The engine serves the staged version.
  bool serving() const { return engine_stager_.serving(); }
  /// When the engine leaves service to change weights, once that is planned.
  std::optional<TimePoint> leaves_at(TimePoint now);
  /// Something is under way that wants frequent ticks.
  bool needs_frequent_ticks() const;

 private:
  using DownloadPointer = std::unique_ptr<VersionDownload>;

  DownloadPointer make_download(std::uint64_t version, TimePoint named_at);
  std::uint64_t newest() const;
  void start_next_download(TimePoint now);
  void promote_next();
  bool can_replace_current(TimePoint now) const;
  /// Whether a version that is not complete goes before the one named after it.
  bool worth_finishing(TimePoint now) const;
  /// That the current version needs on one link.
  Duration copy_time() const;
  void start_transfers(TimePoint now);
  VersionDownload::KnownBytes all_known_bytes() const;
  /// Finds out whether an earlier process may have ordered what lies at the engine, and has it
  /// ordered again before anything is written.
  void recover_staging(TimePoint now);
  /// Goes on with a version that an earlier process was writing.
  void adopt_marked_version();
  void fetch_earlier_manifests(TimePoint now);
  void on_earlier_manifest(const WeightManifest& manifest);
  void record_manifest(const WeightManifest& manifest);
  /// The version that the engine serves and is not about to leave; 0 for none.
  std::uint64_t serving_version() const;
  /// `version`, which lies at the engine whole, is ordered first.
  void reissue_order(std::uint64_t version);
  /// What lies at the engine may be written over.
  void finish_recovery();
  /// The version that is brought to the engine now; null while nothing may be written.
  const VersionDownload* engine_source() const;
  /// When the engine may leave service, if all of the version is ready at `ready_at`.
  TimePoint schedule_start(TimePoint ready_at, TimePoint now);
  void on_manifest_request(PeerId peer, const wire::ManifestRequest& request);
  void on_manifest_document(const wire::ManifestDocument& document);
  template <class Visit>
  void for_each_download(Visit visit);

  std::string model_;
  const HostSettings& settings_;
  EngineControl& engine_;
  PeerId self_;
  Callbacks callbacks_;
  UplinkPacer uplink_;
  DownloadContext context_;
  EngineStager engine_stager_;
  TimePoint started_at_{};
  std::set<StagingPeer> peers_;
  bool waiting_for_peers_ = false;
  std::vector<PeerId> agents_;  ///< Ids of `peers_`.
  /// What lay at the engine when this process began, and what may be pending there since before.
  StagedInventory inventory_;
  StagingRecovery recovery_;
  std::map<std::uint64_t, std::unique_ptr<ManifestSeeker>> earlier_fetchers_;  ///< Sought.
  /// By version; of all that may lie at the engine, until that is settled.
  std::map<std::uint64_t, WeightManifest> known_manifests_;
  enum class RecoveryState {
    undecided,      ///< Nothing may be written.
    reissue_order,  ///< A version that lies there whole is to be taken first.
    done            ///< Nothing is pending but this process's own orders.
  };
  RecoveryState recovery_state_ = RecoveryState::undecided;
  /// The version to be taken first, where it is not the current one.
  DownloadPointer recovery_download_;
  DownloadPointer previous_;  ///< Others may still want it.
  DownloadPointer current_;   ///< Brought to the engine; never null.
  DownloadPointer next_;      ///< Begun when the current one is complete.
  /// Named after the current one, and not begun yet; 0 for none.
  std::uint64_t pending_version_ = 0;
  TimePoint pending_since_{};
  LoadReport load_;
  /// When versions newer than what the engine serves were named.
  std::map<std::uint64_t, TimePoint> named_at_;
  /// The version of which gateways have been told when the engine leaves for it, and since when.
  std::uint64_t notified_version_ = 0;
  TimePoint notified_at_{};
};

}  // namespace pumicemast
