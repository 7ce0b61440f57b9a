/// Brings one version of a model's weights into this agent's memory and passes it on.
///
/// Drives one swarm core with real sockets and the origin. A chunk counts only once it is
/// verified by its hash. A version that is complete goes on serving others.
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

/// Name of an agent in the swarm.
PeerId staging_peer_id(const Address& address);

/// What the downloads of one agent share: its links to others and what is known of them.
struct DownloadContext {
  const HostSettings& settings;
  WeightOrigin& origin;
  PeerLinks& links;
  SwarmMessages messages;
  UplinkPacer& uplink;
  Metrics& metrics;
  LinkWindow upload_window;
  LinkWindow download_window;
  /// A decision worth a line.
  std::function<void(const std::string& kind, const std::string& line)> log_line;
};

class VersionDownload {
 public:
  using Bytes = ChunkCache::Bytes;
  using KnownBytes = std::map<Sha256, Bytes>;

  /// @param version    0 for the newest that the origin has.
  /// @param named_at   when it was named, as far as it is known.
  /// @param joins_late whether others may hold much of it already.
  VersionDownload(std::string model, std::uint64_t version, TimePoint named_at, bool joins_late,
                  DownloadContext& context);

  /// Begins to fetch chunks, but for those of `known`. Call once the manifest is there.
  void begin_transfer(const KnownBytes& known);
  /// Asks for nothing more; what is here is still passed on.
  void stop_fetching();
  bool transferring() const { return swarm_ != nullptr; }
  void set_peers(const std::set<StagingPeer>& peers);
  /// Position of this agent among those that ask for chunks: the lowest is served first.
  void set_request_rank(std::uint32_t request_rank) { request_rank_ = request_rank; }
  /// Share of the links that this download may use, as a number of versions under way.
  void set_concurrent_downloads(std::uint32_t concurrent_downloads) {
    concurrent_downloads_ = concurrent_downloads;
  }
  /// Call every few hundredths of a second.
  void on_tick(TimePoint now);

  /// Frames of this version; others are left alone.
  /// @return whether the frame was of this version.
  bool on_frame(PeerId peer, const wire::Frame& frame);
  void on_manifest_request(PeerId peer);
  void accept_manifest(WeightManifest manifest, const char* source);
  void on_peer_lost(PeerId peer);
  /// The uplink took a chunk. Uploads of other versions are left alone.
  void on_transmission_started(const ChunkUpload& upload);

  std::uint64_t version() const { return version_; }
  TimePoint named_at() const { return named_at_; }
  const std::optional<WeightManifest>& manifest() const { return manifest_; }
  TimePoint manifest_received_at() const { return manifest_received_at_; }
  const std::vector<Bytes>& chunks() const { return chunks_; }
  bool complete() const { return swarm_ && swarm_->complete(); }
  /// Share of the chunks that are here, 0 to 1.
  double progress() const;
  /// When it will be complete if it goes on as it did; nothing while that can't be told yet.
  std::optional<TimePoint> expected_completion(TimePoint now) const;
  /// The verified chunks by their hashes, for a version that shares some.
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
  /// How long nothing has arrived though something is asked for.
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
  std::uint32_t origin_failures_ = 0;  ///< In a row.
  std::uint32_t request_rank_ = 0;
  std::uint32_t concurrent_downloads_ = 1;
  ChunkUploads uploads_;
  /// Chunks asked for here, and since when.
  std::map<ChunkIndex, TimePoint> requested_;
  TimePoint last_arrival_{};
  /// Answers of the origin that come after this object are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pumicemast
