#include "agent/weight_transfer.h"

#include "common/hash.h"
#include "common/log.h"

namespace pumicemast {
namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kAnnounceInterval = milliseconds(20);
constexpr Duration kRestartDelay = seconds(1);
/// Delay before a chunk that the engine failed to store is fetched from the origin again.
constexpr Duration kChunkWriteRetryDelay = seconds(1);

PeerId peer_id(const std::string& machine) { return stable_hash(machine); }

}  // namespace

WeightTransfer::WeightTransfer(const AgentSettings& settings, EngineClient& engine,
                               Metrics& metrics, Callbacks callbacks)
    : settings_(settings),
      engine_(engine),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      origin_(settings.origin_url),
      links_(settings.machine, metrics,
             {[this](PeerId peer, const wire::Frame& frame) { on_frame(peer, frame); },
              [this](PeerId peer) { on_peer_lost(peer); },
              [this](PeerId peer) { uplink_.on_drained(peer); }}),
      messages_(links_),
      staged_(engine, settings.cache_bytes),
      manifests_(origin_, metrics,
                 [this](const ManifestFetcher::ManifestPointer& manifest, std::size_t bytes) {
                   on_manifest(manifest, bytes);
                 }),
      uplink_(settings.up_bytes_per_second, links_, metrics,
              [this](const ChunkUpload& upload) { finish_upload(upload.digest); }),
      downlink_(settings.down_bytes_per_second, links_) {
  tick_timer_.start_repeating(kTickInterval, [this] { tick(); });
}

leaf::result<void> WeightTransfer::listen() { return links_.listen(settings_.swarm_listen); }

WeightTransfer::Transfer* WeightTransfer::find(const std::string& digest) {
  const auto found = transfers_.find(digest);
  return found == transfers_.end() ? nullptr : &found->second;
}

void WeightTransfer::set_engine_contents(const std::map<std::string, ChunkSet>& held) {
  engine_contents_ = held;
  // Transfers in progress restart from the chunks that the engine holds.
  for (auto& [digest, transfer] : transfers_) {
    transfer.swarm.reset();
    transfer.opened = false;
    transfer.origin_calls.clear();
    if (transfer.manifest) start_swarm(transfer);
  }
}

void WeightTransfer::start(const std::string& digest) {
  Transfer& transfer = transfers_[digest];
  if (transfer.digest.empty()) {
    transfer.digest = digest;
    manifests_.fetch(digest);
    return;
  }
  if (!transfer.manifest) return;
  // start() is repeated after a failed activation; the delay prevents a busy loop.
  restart_timers_[digest].start_once(kRestartDelay, [this, digest] { restart(digest); });
}

void WeightTransfer::restart(const std::string& digest) {
  // The engine's own list is used, because chunks sent to it may not have been stored.
  engine_.read_state([this, digest](const EngineState& state) {
    Transfer* current = find(digest);
    if (current == nullptr || !state.answered) return;
    engine_contents_ = state.held;
    current->swarm.reset();
    current->opened = false;
    start_swarm(*current);
  });
}

void WeightTransfer::stop(const std::string& digest) {
  transfers_.erase(digest);
  manifests_.cancel(digest);
  restart_timers_.erase(digest);
  engine_contents_.erase(digest);
}

void WeightTransfer::on_manifest(const ManifestFetcher::ManifestPointer& manifest,
                                 std::size_t bytes) {
  totals_.origin_bytes += bytes;
  Transfer* transfer = find(manifest->digest());
  if (transfer == nullptr || transfer->manifest) return;
  transfer->manifest = manifest;
  start_swarm(*transfer);
}

void WeightTransfer::start_swarm(Transfer& transfer) {
  const std::string digest = transfer.digest;
  engine_.write_manifest(
      digest, transfer.manifest->serialize(), [this, digest](const EngineResult& result) {
        Transfer* opened = find(digest);
        if (opened == nullptr || opened->swarm) return;
        if (!result.done) {
          metrics_.count("pumicemast_agent_engine_failures_total", {{"order", "manifest"}});
          LOG(WARNING) << "engine order=manifest digest=" << digest.substr(0, 12)
                       << " failed: " << result.reason;
          return;
        }
        opened->opened = true;
        SwarmOptions options;
        options.self = peer_id(settings_.machine);
        options.seed = stable_hash(digest);
        options.window = settings_.window;
        options.upload_slots = settings_.upload_slots;
        options.announce_interval = kAnnounceInterval;
        apply_objective(
            opened->minimize_origin_bytes ? SwarmObjective::origin_bytes : SwarmObjective::time,
            options);
        const auto held = engine_contents_.find(digest);
        const ChunkIndex count = opened->manifest->chunk_count();
        ChunkSet have = held != engine_contents_.end() && held->second.size() == count
                            ? held->second
                            : ChunkSet(count);
        opened->swarm = std::make_unique<Swarm>(options, std::move(have));
        copy_shared_chunks(*opened);
        const auto early_joins = std::move(opened->early_joins);
        opened->early_joins.clear();
        SwarmActions actions;
        for (const auto& [peer, bitmap] : early_joins) {
          opened->swarm->on_peer_joined(
              peer, ChunkSet::from_bytes(count, bitmap.data(), bitmap.size()), loop_now(), actions);
        }
        execute_actions(digest, actions);
        Transfer* remaining = find(digest);
        if (remaining != nullptr) apply_membership(*remaining);
      });
}

void WeightTransfer::copy_shared_chunks(Transfer& transfer) {
  std::vector<HeldVersion> others;
  for (const auto& [digest, held] : engine_contents_) {
    const ManifestFetcher::ManifestPointer manifest = manifests_.find(digest);
    if (digest == transfer.digest || !manifest) continue;
    others.push_back({digest, manifest->chunk_hashes(), held});
  }
  const auto copies =
      plan_local_copies(transfer.manifest->chunk_hashes(), transfer.swarm->have(), others);
  for (const LocalCopy& copy : copies) {
    transfer.swarm->on_local_copy_started(copy.chunk);
    copy_chunk(transfer.digest, copy);
  }
}

void WeightTransfer::copy_chunk(const std::string& digest, const LocalCopy& copy) {
  engine_.read_chunk(copy.source_digest, copy.source_chunk,
                     [this, digest, chunk = copy.chunk](bool found, const std::string& bytes) {
                       Transfer* transfer = find(digest);
                       if (transfer == nullptr || !transfer->swarm) return;
                       if (!found || !transfer->manifest->verify(chunk, bytes)) {
                         transfer->swarm->on_local_copy_failed(chunk);
                         return;
                       }
                       engine_.write_chunk(
                           digest, chunk, bytes, [this, digest, chunk](const EngineResult& result) {
                             Transfer* written = find(digest);
                             if (written == nullptr || !written->swarm) return;
                             if (!result.done) {
                               written->swarm->on_local_copy_failed(chunk);
                               return;
                             }
                             metrics_.count("pumicemast_agent_chunks_total", {{"source", "local"}});
                             engine_contents_[digest] = written->swarm->have();
                             SwarmActions actions;
                             written->swarm->on_local_copy_done(chunk, loop_now(), actions);
                             execute_actions(digest, actions);
                           });
                     });
}

void WeightTransfer::set_participants(const std::string& digest,
                                      const std::set<TransferPeer>& peers) {
  Transfer* transfer = find(digest);
  if (transfer == nullptr || transfer->peers == peers) return;
  transfer->peers = peers;
  for (const TransferPeer& peer : peers) links_.set_address(peer_id(peer.machine), peer.address);
  if (transfer->swarm) apply_membership(*transfer);
}

void WeightTransfer::apply_membership(Transfer& transfer) {
  if (transfer.peers.empty()) return;
  std::vector<SwarmParticipant> participants;
  for (const TransferPeer& peer : transfer.peers) {
    participants.push_back({peer_id(peer.machine),
                            static_cast<std::uint32_t>(stable_hash(peer.region)),
                            static_cast<std::uint32_t>(stable_hash(peer.zone))});
  }
  SwarmActions actions;
  transfer.swarm->on_membership(
      std::make_shared<SwarmMembership>(std::move(participants), stable_hash(transfer.digest)),
      loop_now(), actions);
  execute_actions(transfer.digest, actions);
}

void WeightTransfer::set_paused(const std::string& digest, bool paused) {
  Transfer* transfer = find(digest);
  if (transfer == nullptr || transfer->paused == paused) return;
  transfer->paused = paused;
  if (!transfer->swarm) return;
  SwarmActions actions;
  transfer->swarm->set_paused(paused, loop_now(), actions);
  execute_actions(digest, actions);
}

void WeightTransfer::set_objective(const std::string& digest, bool minimize_origin_bytes) {
  Transfer* transfer = find(digest);
  if (transfer != nullptr) transfer->minimize_origin_bytes = minimize_origin_bytes;
}

void WeightTransfer::set_priority(const std::string& digest, int priority) {
  Transfer* transfer = find(digest);
  if (transfer != nullptr) transfer->priority = priority;
}

void WeightTransfer::allocate_request_windows() {
  std::vector<Transfer*> with_swarm;
  std::vector<TransferDemand> demands;
  for (auto& [digest, transfer] : transfers_) {
    if (!transfer.swarm) continue;
    with_swarm.push_back(&transfer);
    demands.push_back({transfer.priority, !transfer.swarm->complete() && !transfer.paused});
  }
  const std::vector<std::uint32_t> shares = allocate_request_window(demands, settings_.window);
  for (std::size_t index = 0; index < with_swarm.size(); ++index) {
    with_swarm[index]->swarm->set_limits(shares[index], settings_.upload_slots);
  }
}

void WeightTransfer::tick() {
  allocate_request_windows();
  std::vector<std::string> digests;
  for (const auto& [digest, transfer] : transfers_) {
    if (transfer.swarm) digests.push_back(digest);
  }
  for (const std::string& digest : digests) {
    Transfer* transfer = find(digest);
    if (transfer == nullptr || !transfer->swarm) continue;
    SwarmActions actions;
    transfer->swarm->on_tick(loop_now(), actions);
    execute_actions(digest, actions);
  }
}

void WeightTransfer::on_frame(PeerId peer, const wire::Frame& frame) {
  const auto digest = swarm_frame_digest(frame);
  if (!digest) return;
  if (frame.body_type() == wire::Body::SwarmJoin) {
    on_join(peer, *frame.body_as_SwarmJoin());
    return;
  }
  if (frame.body_type() == wire::Body::ChunkData) {
    on_chunk_data(peer, *frame.body_as_ChunkData());
    return;
  }
  const std::string version(*digest);
  Transfer* transfer = find(version);
  if (transfer == nullptr || !transfer->swarm) {
    const auto* request = frame.body_as_ChunkRequest();
    if (request != nullptr) messages_.send(version, RefuseChunk{peer, request->chunk()});
    return;
  }
  SwarmActions actions;
  apply_swarm_frame(*transfer->swarm, peer, frame, loop_now(), actions);
  execute_actions(version, actions);
}

void WeightTransfer::on_join(PeerId peer, const wire::SwarmJoin& join) {
  const std::string digest = join.digest()->str();
  Transfer* transfer = find(digest);
  if (transfer == nullptr) return;
  std::vector<std::uint8_t> bitmap = join_bitmap(join);
  if (!transfer->swarm) {
    transfer->early_joins[peer] = std::move(bitmap);
    return;
  }
  SwarmActions actions;
  transfer->swarm->on_peer_joined(
      peer, ChunkSet::from_bytes(transfer->manifest->chunk_count(), bitmap.data(), bitmap.size()),
      loop_now(), actions);
  if (!join.reply()) send_join(*transfer, peer, true);
  execute_actions(digest, actions);
}

void WeightTransfer::on_chunk_data(PeerId peer, const wire::ChunkData& data) {
  if (data.bytes() == nullptr) return;
  std::string bytes(reinterpret_cast<const char*>(data.bytes()->data()), data.bytes()->size());
  downlink_.charge(bytes.size());
  receive_chunk(data.digest()->str(), peer, data.chunk(), std::move(bytes));
}

void WeightTransfer::receive_chunk(const std::string& digest, std::optional<PeerId> source,
                                   ChunkIndex chunk, std::string bytes) {
  Transfer* transfer = find(digest);
  if (transfer == nullptr || !transfer->swarm) return;
  (source ? totals_.peer_bytes : totals_.origin_bytes) += bytes.size();
  SwarmActions actions;
  if (!transfer->manifest->verify(chunk, bytes)) {
    metrics_.count("pumicemast_agent_corrupt_chunks_total",
                   {{"source", source ? "peer" : "origin"}});
    transfer->swarm->on_chunk(source, chunk, ChunkArrival::corrupt, loop_now(), actions);
    execute_actions(digest, actions);
    return;
  }
  if (transfer->swarm->have().contains(chunk)) {
    totals_.duplicate_bytes += bytes.size();
    transfer->swarm->on_chunk(source, chunk, ChunkArrival::verified, loop_now(), actions);
    execute_actions(digest, actions);
    return;
  }
  staged_.write(
      digest, chunk, std::make_shared<const std::string>(std::move(bytes)),
      [this, digest, source, chunk](bool written) { on_written(digest, source, chunk, written); });
}

void WeightTransfer::on_written(const std::string& digest, std::optional<PeerId> source,
                                ChunkIndex chunk, bool written) {
  Transfer* transfer = find(digest);
  if (transfer == nullptr || !transfer->swarm) return;
  SwarmActions actions;
  if (written) {
    metrics_.count("pumicemast_agent_chunks_total", {{"source", source ? "peer" : "origin"}});
    transfer->swarm->on_chunk(source, chunk, ChunkArrival::verified, loop_now(), actions);
    engine_contents_[digest] = transfer->swarm->have();
  } else {
    metrics_.count("pumicemast_agent_engine_failures_total", {{"order", "chunk"}});
    if (source) {
      transfer->swarm->on_refused(*source, chunk, loop_now(), actions);
    } else {
      transfer->swarm->on_origin_failed(chunk, kChunkWriteRetryDelay, loop_now(), actions);
    }
  }
  execute_actions(digest, actions);
  if (written) callbacks_.on_progress();
}

void WeightTransfer::on_peer_lost(PeerId peer) {
  uplink_.on_peer_lost(peer);
  std::vector<std::string> digests;
  for (const auto& [digest, transfer] : transfers_) digests.push_back(digest);
  for (const std::string& digest : digests) {
    Transfer* transfer = find(digest);
    if (transfer == nullptr || !transfer->swarm) continue;
    SwarmActions actions;
    transfer->swarm->on_peer_lost(peer, loop_now(), actions);
    execute_actions(digest, actions);
  }
}

void WeightTransfer::execute_actions(const std::string& digest, const SwarmActions& actions) {
  for (const SwarmAction& action : actions) {
    Transfer* transfer = find(digest);  // An action may have ended the transfer.
    if (transfer == nullptr) return;
    std::visit([&](const auto& typed) { execute(*transfer, typed); }, action);
  }
}

void WeightTransfer::execute(Transfer& transfer, const RequestFromOrigin& action) {
  const std::string digest = transfer.digest;
  const ChunkIndex chunk = action.chunk;
  const std::string hash = to_hex(transfer.manifest->chunk_hashes()[chunk]);
  transfer.origin_calls[chunk] =
      origin_.read_chunk(hash, [this, digest, chunk](const WeightReadResult& result) {
        Transfer* waiting = find(digest);
        if (waiting == nullptr || !waiting->swarm) return;
        if (result.found) {
          downlink_.charge(result.bytes.size());
          receive_chunk(digest, std::nullopt, chunk, result.bytes);
          return;
        }
        metrics_.count("pumicemast_agent_origin_failures_total");
        SwarmActions actions;
        waiting->swarm->on_origin_failed(chunk, result.retry_after, loop_now(), actions);
        execute_actions(digest, actions);
      });
}

void WeightTransfer::execute(Transfer& transfer, const CancelFromOrigin& action) {
  transfer.origin_calls.erase(action.chunk);
}

void WeightTransfer::execute(Transfer& transfer, const SendChunk& action) {
  const std::string digest = transfer.digest;
  staged_.read(digest, action.chunk,
               [this, digest, peer = action.peer, chunk = action.chunk,
                priority = transfer.priority](StagedChunks::Content content) {
                 if (content) {
                   uplink_.push({digest, peer, chunk, std::move(content), priority});
                 } else {
                   finish_upload(digest);
                 }
               });
}

void WeightTransfer::execute(Transfer& transfer, const JoinPeer& action) {
  send_join(transfer, action.peer, false);
}

void WeightTransfer::send_join(const Transfer& transfer, PeerId peer, bool reply) {
  messages_.send_join(transfer.digest, peer, transfer.swarm->have(), reply);
}

void WeightTransfer::execute(Transfer& transfer, const SwarmComplete&) {
  callbacks_.on_verified(transfer.digest);
}

void WeightTransfer::execute(Transfer& transfer, const PeerAvoided& action) {
  metrics_.count("pumicemast_agent_peers_avoided_total");
  LOG(WARNING) << "peer id=" << action.peer << " digest=" << transfer.digest.substr(0, 12)
               << " state=TRUSTED->AVOIDED reason=corrupt chunks";
}

void WeightTransfer::finish_upload(const std::string& digest) {
  Transfer* transfer = find(digest);
  if (transfer == nullptr || !transfer->swarm) return;
  SwarmActions actions;
  transfer->swarm->on_sent(loop_now(), actions);
  execute_actions(digest, actions);
}

TransferProgress WeightTransfer::progress(const std::string& digest) const {
  const auto found = transfers_.find(digest);
  if (found == transfers_.end() || !found->second.manifest) return {};
  const Transfer& transfer = found->second;
  return {transfer.swarm ? transfer.swarm->have().count() : 0, transfer.manifest->chunk_count()};
}

}  // namespace pumicemast
