/// Brings the wanted version of one model's weights to the engine beside this agent.
///
/// Interprets charts/staging.ini. Chunks come from other agents and the origin by the swarm
/// core, are verified, kept in memory for others, and written to the engine. Before the engine
/// is told to take them, all that lies there is read back and verified.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/event_loop.h"
#include "common/metrics.h"
#include "common/state_chart.h"
#include "host/engine_control.h"
#include "host/host_settings.h"
#include "host/link_gauge.h"
#include "host/manifest_seeker.h"
#include "swarm/swarm.h"
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

class ModelStager {
 public:
  struct Callbacks {
    /// The engine is about to leave service: gateways should know before it does.
    std::function<void()> on_before_start;
    /// A decision worth a line.
    std::function<void(const std::string& kind, const std::string& line)> on_line;
  };

  ModelStager(std::string model, const HostSettings& settings, const StateChart& chart,
              EngineControl& engine, WeightOrigin& origin, PeerLinks& links, Metrics& metrics,
              Callbacks callbacks);

  /// `version` was named. One on its way that is nearly here is brought to the engine first:
  /// its own bound would pass before the newer one can serve.
  void on_named(std::uint64_t version);
  void set_peers(const std::set<StagingPeer>& peers);
  void on_load(const LoadReport& report);
  void on_frame(PeerId peer, const wire::Frame& frame);
  void on_peer_lost(PeerId peer);
  void on_peer_drained(PeerId peer) { uplink_.on_drained(peer); }
  /// Call every few hundredths of a second.
  void on_tick();

  const std::string& state() const { return state_; }
  const std::string& model() const { return model_; }
  std::uint64_t target() const { return target_; }
  /// An order to start is under way.
  bool starting() const { return state_ == "STARTING"; }

 private:
  using Bytes = ChunkCache::Bytes;

  void step(const char* event);
  std::string key() const;
  bool is_own_key(const flatbuffers::String* text) const;

  bool worth_finishing() const;
  void hurry_turn(TimePoint now);
  void change_target(std::uint64_t version);
  void end_deferral(TimePoint now);
  void serve_previous(PeerId peer, const wire::ChunkRequest& request);
  void take_manifest(WeightManifest manifest, const char* source);
  void read_staged_chunks();
  void read_next_staged(std::vector<ChunkIndex> chunks, std::size_t position);
  void note_staged_bytes(ChunkIndex chunk, std::string bytes);
  void begin_swarm();
  void apply_membership();

  void carry_out(const SwarmActions& actions);
  void act(const RequestFromPeer& action);
  void act(const CancelFromPeer& action);
  void act(const RequestFromOrigin& action);
  void act(const CancelFromOrigin& action);
  void act(const SendChunk& action);
  void act(const RefuseChunk& action);
  void act(const AnnounceChunks& action);
  void act(const JoinPeer& action);
  void act(const SwarmComplete& action);
  void act(const PeerAvoided& action);
  void on_upload_ended(PeerId peer, ChunkIndex chunk);
  void expire_uploads(TimePoint now);
  void free_upload_slot();
  void take_in(std::optional<PeerId> source, ChunkIndex chunk, std::string bytes);
  void on_join(PeerId peer, const wire::SwarmJoin& join);
  void send_join(PeerId peer, bool reply);

  void write_missing();
  void check_staged(ChunkIndex chunk);
  void on_checked(ChunkIndex chunk, bool intact);
  void plan_turn();
  void begin_start();
  void order_start();
  void on_start_outcome(StartOutcome outcome);

  std::string model_;
  const HostSettings& settings_;
  const StateChart& chart_;
  EngineControl& engine_;
  WeightOrigin& origin_;
  PeerLinks& links_;
  Metrics& metrics_;
  Callbacks callbacks_;
  PeerId self_;
  ManifestSeeker seeker_;
  std::string state_;
  std::uint64_t target_ = 0;           ///< 0: whichever the origin has as its newest.
  std::uint64_t deferred_target_ = 0;  ///< Named, but not begun yet; 0 for none.
  TimePoint deferred_at_{};
  std::string previous_key_;  ///< Of the target before; others may still want its chunks.
  std::vector<Bytes> previous_chunks_;
  std::uint64_t generation_ = 0;  ///< Answers to calls of an older target are dropped.
  TimePoint began_{};
  TimePoint named_at_{};
  std::set<StagingPeer> peers_;
  std::optional<WeightManifest> manifest_;
  std::vector<Bytes> chunks_;         ///< Verified bytes of the target.
  std::vector<Sha256> chunk_hashes_;  ///< Of chunks_, also while the next manifest is sought.
  /// Verified bytes by hash, of the target and of the version before it.
  std::map<Sha256, Bytes> bytes_by_hash_;
  ChunkSet staged_;  ///< Written to the engine, as far as is known.
  bool read_from_engine_ = false;
  bool reading_from_engine_ = false;
  bool writing_ = false;
  std::unique_ptr<Swarm> swarm_;
  std::map<PeerId, std::vector<std::uint8_t>> early_joins_;
  UplinkPacer uplink_;
  LinkGauge upload_gauge_;
  LinkGauge download_gauge_;
  /// Chunks on their way to others, and since when.
  std::map<std::pair<PeerId, ChunkIndex>, TimePoint> uploads_;
  /// Chunks asked for, and since when.
  std::map<ChunkIndex, TimePoint> requested_;
  TimePoint manifest_at_{};
  TimePoint checked_at_{};
  std::optional<TimePoint> turn_;
  std::uint32_t turn_rank_ = 0;
  TimePoint order_due_{};
  bool ordered_ = false;  ///< Within STARTING.
  TimePoint started_at_{};
  LoadReport load_;
};

}  // namespace pumicemast
