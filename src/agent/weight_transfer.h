/// Transfers weights: runs one Swarm core per version with peer connections, the origin and the
/// engine's staging memory.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "adapters/engine_client.h"
#include "adapters/weight_store_client.h"
#include "agent/agent_settings.h"
#include "agent/local_copies.h"
#include "agent/manifest_fetcher.h"
#include "agent/request_window.h"
#include "agent/staged_chunks.h"
#include "common/metrics.h"
#include "swarm/swarm.h"
#include "transfer/downlink_pacer.h"
#include "transfer/swarm_messages.h"
#include "transfer/uplink_pacer.h"
#include "transport/peer_links.h"

namespace pumicemast {

/// A machine that participates in distributing a version.
struct TransferPeer {
  std::string machine;
  std::string region;
  std::string zone;
  Address address;
  auto operator<=>(const TransferPeer&) const = default;
};

struct TransferProgress {
  std::uint32_t chunks_verified = 0;
  std::uint32_t chunk_count = 0;
};

struct TransferTotals {
  std::uint64_t origin_bytes = 0;
  std::uint64_t peer_bytes = 0;
  std::uint64_t duplicate_bytes = 0;
};

class WeightTransfer {
 public:
  struct Callbacks {
    /// All chunks of `digest` are verified and in the engine's staging memory.
    std::function<void(const std::string& digest)> on_verified;
    /// The progress changed, so a status report is due.
    std::function<void()> on_progress;
  };

  WeightTransfer(const AgentSettings& settings, EngineClient& engine, Metrics& metrics,
                 Callbacks callbacks);
  leaf::result<void> listen();

  /// Starts the transfer of `digest` into the engine, or restarts it after a delay.
  void start(const std::string& digest);
  /// Stops requesting and uploading chunks of `digest`.
  void stop(const std::string& digest);
  void set_participants(const std::string& digest, const std::set<TransferPeer>& peers);
  void set_paused(const std::string& digest, bool paused);
  void set_objective(const std::string& digest, bool minimize_origin_bytes);
  /// Among concurrent transfers, the highest priority gets nearly all chunk requests.
  void set_priority(const std::string& digest, int priority);
  /// Sets the chunks that the engine held when it became ready, and restarts all transfers.
  void set_engine_contents(const std::map<std::string, ChunkSet>& held);

  TransferProgress progress(const std::string& digest) const;
  const TransferTotals& totals() const { return totals_; }

 private:
  /// A version being transferred or held.
  struct Transfer {
    std::string digest;
    ManifestFetcher::ManifestPointer manifest;
    std::unique_ptr<Swarm> swarm;
    bool opened = false;  ///< The engine has allocated staging memory.
    bool paused = false;
    bool minimize_origin_bytes = false;
    int priority = 0;
    std::set<TransferPeer> peers;
    std::map<ChunkIndex, HttpCallPointer> origin_calls;
    /// Bitmaps of peers that joined before the swarm was started.
    std::map<PeerId, std::vector<std::uint8_t>> early_joins;
  };
  Transfer* find(const std::string& digest);
  void restart(const std::string& digest);
  void on_manifest(const ManifestFetcher::ManifestPointer& manifest, std::size_t bytes);
  void start_swarm(Transfer& transfer);
  void apply_membership(Transfer& transfer);
  void copy_shared_chunks(Transfer& transfer);
  void copy_chunk(const std::string& digest, const LocalCopy& copy);
  void tick();

  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_join(PeerId peer, const wire::SwarmJoin& join);
  void send_join(const Transfer& transfer, PeerId peer, bool reply);
  void on_chunk_data(PeerId peer, const wire::ChunkData& data);
  void on_peer_lost(PeerId peer);

  void execute_actions(const std::string& digest, const SwarmActions& actions);
  void execute(Transfer& transfer, const RequestFromPeer& action) {
    messages_.send(transfer.digest, action);
  }
  void execute(Transfer& transfer, const CancelFromPeer& action) {
    messages_.send(transfer.digest, action);
  }
  void execute(Transfer& transfer, const RefuseChunk& action) {
    messages_.send(transfer.digest, action);
  }
  void execute(Transfer& transfer, const AnnounceChunks& action) {
    messages_.send(transfer.digest, action);
  }
  void execute(Transfer& transfer, const RequestFromOrigin& action);
  void execute(Transfer& transfer, const CancelFromOrigin& action);
  void execute(Transfer& transfer, const SendChunk& action);
  void execute(Transfer& transfer, const JoinPeer& action);
  void execute(Transfer& transfer, const SwarmComplete& action);
  void execute(Transfer& transfer, const PeerAvoided& action);

  /// Verifies `bytes`, writes them to the engine, then notifies the swarm core.
  void receive_chunk(const std::string& digest, std::optional<PeerId> source, ChunkIndex chunk,
                     std::string bytes);
  /// Handles the engine's result of writing a verified chunk.
  void on_written(const std::string& digest, std::optional<PeerId> source, ChunkIndex chunk,
                  bool written);
  void allocate_request_windows();
  void finish_upload(const std::string& digest);

  const AgentSettings& settings_;
  EngineClient& engine_;
  Metrics& metrics_;
  Callbacks callbacks_;
  WeightStoreClient origin_;
  PeerLinks links_;
  SwarmMessages messages_;
  StagedChunks staged_;
  std::map<std::string, Transfer> transfers_;
  std::map<std::string, ChunkSet> engine_contents_;
  ManifestFetcher manifests_;
  UplinkPacer uplink_;
  DownlinkPacer downlink_;
  std::map<std::string, Timer> restart_timers_;
  Timer tick_timer_;
  TransferTotals totals_;
};

}  // namespace pumicemast
