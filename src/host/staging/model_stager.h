/// Keeps the target version of one model's weights on the engine of this agent.
///
/// Decides which versions are downloaded and which one is staged. One version is staged at a time;
/// the next is downloaded while the engine waits for its scheduled start of the one before.
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
    /// The time at which the engine leaves service has become known, or it leaves now: gateways
    /// should be informed.
    std::function<void()> on_leaving;
    /// Whether any requests that gateways sent to the engine have not begun yet.
    std::function<bool()> prompts_waiting;
    /// Logs a decision; lines are limited per kind.
    std::function<void(const std::string& kind, const std::string& line)> log_line;
  };

  ModelStager(std::string model, const HostSettings& settings, const StateChart& chart,
              EngineControl& engine, WeightOrigin& origin, PeerLinks& links, Metrics& metrics,
              Callbacks callbacks);

  /// `version` was named as the version to serve.
  void on_version_named(std::uint64_t version);
  void set_peers(const std::set<StagingPeer>& peers);
  /// Nothing is downloaded until peers are known: without peers each agent would fetch a complete
  /// copy from the origin.
  void wait_for_peers() { waiting_for_peers_ = peers_.empty(); }
  void stop_waiting_for_peers() { waiting_for_peers_ = false; }
  void on_load(const LoadReport& report);
  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_peer_lost(PeerId peer);
  void on_peer_drained(PeerId peer) { uplink_.on_drained(peer); }
  /// Must be called every few tens of milliseconds.
  void on_tick();

  const std::string& model() const { return model_; }
  /// Version that is being downloaded and staged; 0 while it is not known.
  std::uint64_t staged_version() const { return current_ ? current_->version() : 0; }
  /// The engine is leaving service, is about to, or may do so at any moment.
  bool starting() const { return engine_stager_.starting(); }
  /// A start order may still be carried out by the engine.
  bool order_pending() const { return engine_stager_.order_pending(); }
  /// The engine serves the staged version.
  bool serving() const { return engine_stager_.serving(); }
  /// When the engine leaves service to change weights, once that is scheduled or can be estimated.
  std::optional<TimePoint> leaves_at(TimePoint now);
  /// A download, activation or recovery is in progress.
  bool needs_frequent_ticks() const;

 private:
  using DownloadPointer = std::unique_ptr<VersionDownload>;

  DownloadPointer make_download(std::uint64_t version, TimePoint named_at);
  std::uint64_t newest() const;
  void start_next_download(TimePoint now);
  void promote_next();
  bool can_replace_current(TimePoint now) const;
  /// Whether the incomplete current version is to be completed before the next one.
  bool worth_finishing(TimePoint now) const;
  /// Time that a link needs for one copy of the current version.
  Duration copy_time() const;
  void start_transfers(TimePoint now);
  VersionDownload::KnownBytes all_known_bytes() const;
  /// Finds out whether an earlier process may have ordered the version staged at the engine. If so,
  /// reissues that order before anything is written.
  void recover_staging(TimePoint now);
  /// Continues with the version that an earlier process was writing, as the marker identifies it.
  void adopt_marked_version();
  void fetch_earlier_manifests(TimePoint now);
  void on_earlier_manifest(const WeightManifest& manifest);
  void record_manifest(const WeightManifest& manifest);
  /// The version that the engine serves; 0 for none or while it changes weights.
  std::uint64_t serving_version() const;
  /// Orders `version`, which is completely staged at the engine, before any other.
  void reissue_order(std::uint64_t version);
  /// From now on the engine's staging memory may be overwritten.
  void finish_recovery();
  /// The version to stage now; null while nothing may be written or its transfer has not begun.
  const VersionDownload* engine_source() const;
  /// When the engine may leave service if the version is complete at `ready_at`.
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
  /// Content of the engine's staging memory when this process started.
  StagedInventory inventory_;
  /// Decides whether an order of an earlier process may still be pending.
  StagingRecovery recovery_;
  /// Fetchers of the manifests of earlier versions, by version.
  std::map<std::uint64_t, std::unique_ptr<SwarmManifestFetcher>> earlier_fetchers_;
  /// By version; manifests of the versions that may be staged, until recovery is done.
  std::map<std::uint64_t, WeightManifest> known_manifests_;
  enum class RecoveryState {
    undecided,      ///< Nothing may be written yet.
    reissue_order,  ///< A completely staged version has to be activated first.
    done            ///< Only orders of this process can be pending.
  };
  RecoveryState recovery_state_ = RecoveryState::undecided;
  /// The version to activate first, if it is not the current one.
  DownloadPointer recovery_download_;
  DownloadPointer previous_;  ///< Peers may still need it.
  DownloadPointer current_;   ///< Staged at the engine; never null.
  DownloadPointer next_;      ///< Downloaded after, or beside, the current one.
  /// Latest version that was named and whose download has not started yet; 0 for none.
  std::uint64_t pending_version_ = 0;
  TimePoint pending_since_{};
  LoadReport load_;
  /// When each version newer than the served one was named.
  std::map<std::uint64_t, TimePoint> named_at_;
  /// The version whose start time gateways were first informed of, and when.
  std::uint64_t notified_version_ = 0;
  TimePoint notified_at_{};
};

}  // namespace pumicemast
