/// Downloads one version of a model's weights into this agent's memory and uploads it to peers.
///
/// Connects one swarm core to the peer links and the origin. A chunk is accepted only if it matches
/// its hash. A complete version is still uploaded to peers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/metrics.h"
#include "host/download/chunk_uploads.h"
#include "host/download/link_window.h"
#include "host/download/swarm_manifest_fetcher.h"
#include "host/engine_control.h"
#include "host/host_settings.h"
#include "swarm/swarm.h"
#include "transfer/swarm_messages.h"
#include "transfer/uplink_pacer.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// Another agent of the service.
struct StagingPeer {
  Address address;
  std::string zone;
  std::string region;
  auto operator<=>(const StagingPeer&) const = default;
};

/// Id of an agent in the swarm.
PeerId staging_peer_id(const Address& address);

/// Shared by the downloads of one agent: its links and their measured limits, and the origin.
struct DownloadContext {
  const HostSettings& settings;
  WeightOrigin& origin;
  PeerLinks& links;
  SwarmMessages messages;
  UplinkPacer& uplink;
  Metrics& metrics;
  LinkWindow upload_window;
  LinkWindow download_window;
  /// Logs a decision; lines are limited per kind.
  std::function<void(const std::string& kind, const std::string& line)> log_line;
};

class VersionDownload {
 public:
  using Bytes = ChunkCache::Bytes;
  using KnownBytes = std::map<Sha256, Bytes>;

  /// @param version     0 for the newest at the origin.
  /// @param named_at    when the version was named, as far as it is known.
  /// @param joins_late  whether peers may already have much of it.
  VersionDownload(std::string model, std::uint64_t version, TimePoint named_at, bool joins_late,
                  DownloadContext& context);

  /// Starts to fetch all chunks that are not in `known`. Does nothing without the manifest.
  void begin_transfer(const KnownBytes& known);
  /// Requests no more chunks; those already here are still uploaded to peers.
  void stop_fetching();
  bool transferring() const { return swarm_ != nullptr; }
  void set_peers(const std::set<StagingPeer>& peers);
  /// Priority of this agent's requests at its peers: the lowest rank is served first.
  void set_request_rank(std::uint32_t request_rank) { request_rank_ = request_rank; }
  /// Number of downloads among which the window of each link is divided; this one uses one part.
  void set_concurrent_downloads(std::uint32_t concurrent_downloads) {
    concurrent_downloads_ = concurrent_downloads;
  }
  /// Must be called every few tens of milliseconds.
  void on_tick(TimePoint now);

  /// Handles frames of this version and ignores others.
  /// @return whether the frame was handled.
  bool on_frame(PeerId peer, const wire::Frame& frame);
  void on_manifest_request(PeerId peer);
  void accept_manifest(WeightManifest manifest, const char* source);
  void on_peer_lost(PeerId peer);
  /// The pacer passed a chunk to the link. Uploads of other versions are ignored.
  void on_transmission_started(const ChunkUpload& upload);

  std::uint64_t version() const { return version_; }
  TimePoint named_at() const { return named_at_; }
  const std::optional<WeightManifest>& manifest() const { return manifest_; }
  TimePoint manifest_received_at() const { return manifest_received_at_; }
  const std::vector<Bytes>& chunks() const { return chunks_; }
  bool complete() const { return swarm_ && swarm_->complete(); }
  /// Fraction of the chunks that are here, 0 to 1.
  double progress() const;
  /// Estimated time of completion at the average rate so far; nothing while there is no estimate.
  std::optional<TimePoint> expected_completion(TimePoint now) const;
  /// The verified chunks by their hashes, for versions that share some of them.
  KnownBytes known_bytes() const;

 private:
  std::string key() const;
  void forward_manifest();
  void apply_membership();
  void on_join(PeerId peer, const wire::SwarmJoin& join);
  void on_chunk_data(PeerId peer, const wire::ChunkData& data);
  void send_join(PeerId peer, bool reply);
  void accept_chunk(std::optional<PeerId> source, ChunkIndex chunk, std::string bytes);

  void execute_actions(const SwarmActions& actions);
  void execute(const RequestFromPeer& action);
  void execute(const CancelFromPeer& action);
  void execute(const RequestFromOrigin& action);
  void execute(const CancelFromOrigin& action);
  void execute(const SendChunk& action);
  void execute(const RefuseChunk& action);
  void execute(const AnnounceChunks& action);
  void execute(const JoinPeer& action) { send_join(action.peer, false); }
  void execute(const SwarmComplete& action);
  void execute(const PeerAvoided& action);
  void on_upload_ended(PeerChunk upload);
  /// Longest time that a requested chunk has waited without any arrival; zero without requests.
  Duration receive_stall(TimePoint now) const;
  void free_upload_slot();

  std::string model_;
  std::uint64_t version_;
  TimePoint named_at_;
  bool joins_late_;
  DownloadContext& context_;
  PeerId self_;
  SwarmManifestFetcher manifest_fetcher_;
  std::set<StagingPeer> peers_;
  std::optional<WeightManifest> manifest_;
  TimePoint manifest_received_at_{};
  std::vector<Bytes> chunks_;
  std::unique_ptr<Swarm> swarm_;
  TimePoint transfer_begun_{};
  std::map<PeerId, std::vector<std::uint8_t>> early_joins_;
  std::uint32_t origin_failures_ = 0;  ///< Consecutive.
  std::uint32_t request_rank_ = 0;
  std::uint32_t concurrent_downloads_ = 1;
  ChunkUploads uploads_;
  /// Chunks requested from peers, and when.
  std::map<ChunkIndex, TimePoint> requested_;
  TimePoint last_arrival_{};
  /// Expires with this object, so that later responses of the origin are ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pumicemast
