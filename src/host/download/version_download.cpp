#include "host/download/version_download.h"

#include <algorithm>

#include "common/event_loop.h"
#include "common/hash.h"
#include "host/download/download_tuning.h"
#include "host/download/manifest_codec.h"

namespace pumicemast {
namespace {

/// Each agent forwards a manifest to this many others. That reaches nearly all agents of any fleet,
/// and the rest request it. Sending it to all others would occupy one agent's uplink for a second.
constexpr std::size_t kManifestFanOut = 6;
/// Within this time after connecting, neighbours have announced which chunks they have.
constexpr Duration kLateJoinDelay = milliseconds(80);
/// With less progress than this the time of completion cannot be estimated.
constexpr double kMinimumEstimateProgress = 0.4;

}  // namespace

PeerId staging_peer_id(const Address& address) { return stable_hash(address.to_string()); }

VersionDownload::VersionDownload(std::string model, std::uint64_t version, TimePoint named_at,
                                 bool joins_late, DownloadContext& context)
    : model_(std::move(model)),
      version_(version),
      named_at_(named_at),
      joins_late_(joins_late),
      context_(context),
      self_(staging_peer_id(context.settings.internal_address)),
      manifest_fetcher_(model_, self_, context.origin, context.links,
                        [this](WeightManifest manifest, const char* source) {
                          accept_manifest(std::move(manifest), source);
                        }) {
  manifest_fetcher_.begin(version_, loop_now());
}

std::string VersionDownload::key() const { return model_ + "@" + std::to_string(version_); }

double VersionDownload::progress() const {
  if (!swarm_ || chunks_.empty()) return 0;
  return static_cast<double>(swarm_->have().count()) / static_cast<double>(chunks_.size());
}

std::optional<TimePoint> VersionDownload::expected_completion(TimePoint now) const {
  const double done = progress();
  if (done < kMinimumEstimateProgress) return std::nullopt;
  const double elapsed = static_cast<double>((now - transfer_begun_).count());
  return now + Duration(static_cast<Duration::rep>(elapsed * (1 - done) / done));
}

VersionDownload::KnownBytes VersionDownload::known_bytes() const {
  KnownBytes known;
  for (ChunkIndex chunk = 0; chunk < chunks_.size(); ++chunk) {
    if (chunks_[chunk]) known.emplace(manifest_->hashes[chunk], chunks_[chunk]);
  }
  return known;
}

// ---- manifest ----

void VersionDownload::on_manifest_request(PeerId peer) {
  if (manifest_) context_.links.send(peer, encode_manifest(*manifest_));
}

void VersionDownload::accept_manifest(WeightManifest manifest, const char* source) {
  const bool wanted = version_ == 0 || manifest.version == version_;
  if (manifest_ || !wanted || !plausible_manifest(manifest, model_)) return;
  version_ = manifest.version;
  manifest_ = std::move(manifest);
  manifest_received_at_ = loop_now();
  manifest_fetcher_.stop();
  chunks_.assign(manifest_->hashes.size(), nullptr);
  context_.log_line("manifest",
                    "manifest model=" + model_ + " version=" + std::to_string(version_) +
                        " chunks=" + std::to_string(chunks_.size()) + " source=" + source);
  forward_manifest();
}

void VersionDownload::forward_manifest() {
  std::vector<PeerId> others;
  for (const StagingPeer& peer : peers_) {
    const PeerId id = staging_peer_id(peer.address);
    if (id != self_) others.push_back(id);
  }
  std::sort(others.begin(), others.end(), [this](PeerId left, PeerId right) {
    return stable_hash(self_ ^ left, version_) < stable_hash(self_ ^ right, version_);
  });
  others.resize(std::min(others.size(), kManifestFanOut));
  for (const PeerId other : others) on_manifest_request(other);
}

// ---- swarm ----

void VersionDownload::begin_transfer(const KnownBytes& known) {
  if (!manifest_ || swarm_) return;
  ChunkSet have(static_cast<ChunkIndex>(chunks_.size()));
  for (ChunkIndex chunk = 0; chunk < have.size(); ++chunk) {
    const auto bytes = known.find(manifest_->hashes[chunk]);
    if (bytes == known.end()) continue;
    chunks_[chunk] = bytes->second;
    have.insert(chunk);
  }
  context_.log_line("transfer",
                    "transfer model=" + model_ + " version=" + std::to_string(version_) + " held=" +
                        std::to_string(have.count()) + " of=" + std::to_string(chunks_.size()) +
                        " peers=" + std::to_string(peers_.size()));
  transfer_begun_ = loop_now();
  SwarmOptions options =
      download_options(self_, version_, peers_.size(), context_.origin.connection_limit());
  options.window = context_.download_window.limit(Duration::zero());
  options.upload_slots = context_.upload_window.limit(Duration::zero());
  if (joins_late_) options.external_fetch_delay = kLateJoinDelay;
  swarm_ = std::make_unique<Swarm>(options, std::move(have));
  SwarmActions actions;
  const auto joins = std::move(early_joins_);
  early_joins_.clear();
  for (const auto& [peer, bitmap] : joins) {
    const auto count = static_cast<ChunkIndex>(chunks_.size());
    swarm_->on_peer_joined(peer, ChunkSet::from_bytes(count, bitmap.data(), bitmap.size()),
                           loop_now(), actions);
  }
  execute_actions(actions);
  apply_membership();
}

void VersionDownload::stop_fetching() {
  manifest_fetcher_.stop();
  if (!swarm_) return;
  SwarmActions actions;
  swarm_->set_paused(true, loop_now(), actions);
  execute_actions(actions);
}

void VersionDownload::set_peers(const std::set<StagingPeer>& peers) {
  peers_ = peers;
  std::vector<PeerId> ids;
  ids.reserve(peers_.size());
  for (const StagingPeer& peer : peers_) ids.push_back(staging_peer_id(peer.address));
  manifest_fetcher_.set_peers(std::move(ids));
  if (swarm_) apply_membership();
}

void VersionDownload::apply_membership() {
  const auto participant = [](PeerId id, const std::string& region, const std::string& zone) {
    return SwarmParticipant{id, static_cast<std::uint32_t>(stable_hash(region)),
                            static_cast<std::uint32_t>(stable_hash(zone))};
  };
  // The list of peers may or may not contain this agent; duplicates have no effect.
  std::vector<SwarmParticipant> participants = {
      participant(self_, context_.settings.region, context_.settings.zone)};
  for (const StagingPeer& peer : peers_) {
    participants.push_back(participant(staging_peer_id(peer.address), peer.region, peer.zone));
  }
  SwarmActions actions;
  swarm_->on_membership(
      std::make_shared<SwarmMembership>(std::move(participants), stable_hash(key()),
                                        static_cast<ChunkIndex>(chunks_.size())),
      loop_now(), actions);
  execute_actions(actions);
}

void VersionDownload::on_tick(TimePoint now) {
  manifest_fetcher_.on_tick(now);
  if (!swarm_) return;
  const std::uint32_t window = context_.download_window.limit(receive_stall(now));
  const std::uint32_t slots = context_.upload_window.limit(uploads_.oldest_transmission_age(now));
  swarm_->set_limits(std::max(1U, window / concurrent_downloads_),
                     std::max(1U, slots / concurrent_downloads_));
  SwarmActions actions;
  swarm_->on_tick(now, actions);
  execute_actions(actions);
  for (const PeerChunk& upload : uploads_.expired(now)) on_upload_ended(upload);
}

void VersionDownload::execute_actions(const SwarmActions& actions) {
  for (const SwarmAction& action : actions) {
    std::visit([this](const auto& typed) { execute(typed); }, action);
  }
}

void VersionDownload::execute(const RequestFromPeer& action) {
  requested_[action.chunk] = loop_now();
  // The agent whose scheduled start is earliest is served first. Agents then complete in the order
  // of the schedule, and the fleet does not change over all at once.
  context_.messages.send(key(), RequestFromPeer{action.peer, action.chunk, request_rank_});
}

void VersionDownload::execute(const CancelFromPeer& action) {
  context_.messages.send(key(), action);
}

void VersionDownload::execute(const RequestFromOrigin& action) {
  const ChunkIndex chunk = action.chunk;
  const std::weak_ptr<bool> alive = alive_;
  context_.origin.fetch_chunk(
      model_, version_, chunk, [this, alive, chunk](std::optional<std::string> bytes) {
        if (alive.expired()) return;
        if (bytes) {
          origin_failures_ = 0;
          context_.metrics.count("pumicemast_host_origin_bytes_total", {},
                                 static_cast<double>(bytes->size()));
          accept_chunk(std::nullopt, chunk, std::move(*bytes));
          return;
        }
        context_.metrics.count("pumicemast_host_origin_failures_total");
        SwarmActions actions;
        swarm_->on_origin_failed(chunk, origin_retry_delay(self_, ++origin_failures_), loop_now(),
                                 actions);
        execute_actions(actions);
      });
}

void VersionDownload::execute(const CancelFromOrigin& action) {
  // A neighbour has the chunk by now; the origin's link is spared.
  context_.origin.cancel_chunk(model_, version_, action.chunk);
}

void VersionDownload::execute(const SendChunk& action) {
  const bool held = action.chunk < chunks_.size() && chunks_[action.chunk];
  const auto started =
      held ? uploads_.start({action.peer, action.chunk}, loop_now()) : std::nullopt;
  if (!started) {
    // The chunk is missing here, or was requested again while in flight: the slot is not needed.
    free_upload_slot();
    return;
  }
  // An older version is nearer to its deadline than a newer one.
  const int priority = -static_cast<int>(version_);
  context_.uplink.push(
      {key(), action.peer, action.chunk, chunks_[action.chunk], priority, started->requested_at});
}

void VersionDownload::execute(const RefuseChunk& action) {
  uploads_.on_request_dropped({action.peer, action.chunk});
  context_.messages.send(key(), action);
}

void VersionDownload::execute(const AnnounceChunks& action) {
  context_.messages.send(key(), action);
}

void VersionDownload::send_join(PeerId peer, bool reply) {
  context_.messages.send_join(key(), peer, swarm_->have(), reply);
}

void VersionDownload::execute(const SwarmComplete&) {
  context_.log_line("weights", "weights model=" + model_ + " version=" + std::to_string(version_) +
                                   " state=COMPLETE took_ms=" +
                                   std::to_string(to_milliseconds(loop_now() - named_at_)));
}

void VersionDownload::execute(const PeerAvoided& action) {
  context_.log_line(
      "peer", "peer id=" + std::to_string(action.peer) + " state=AVOIDED reason=corrupt_chunks");
}

void VersionDownload::accept_chunk(std::optional<PeerId> source, ChunkIndex chunk,
                                   std::string bytes) {
  if (!swarm_ || chunk >= chunks_.size()) return;
  const char* source_name = source ? "peer" : "origin";
  const bool intact = sha256(bytes) == manifest_->hashes[chunk];
  if (intact) {
    context_.metrics.count("pumicemast_host_chunks_total", {{"source", source_name}});
    if (!chunks_[chunk]) chunks_[chunk] = std::make_shared<const std::string>(std::move(bytes));
  } else {
    context_.metrics.count("pumicemast_host_corrupt_chunks_total", {{"source", source_name}});
  }
  SwarmActions actions;
  swarm_->on_chunk(source, chunk, intact ? ChunkArrival::verified : ChunkArrival::corrupt,
                   loop_now(), actions);
  execute_actions(actions);
}

// ---- uploads ----

void VersionDownload::free_upload_slot() {
  SwarmActions actions;
  swarm_->on_sent(loop_now(), actions);
  execute_actions(actions);
}

void VersionDownload::on_upload_ended(PeerChunk upload) {
  const auto transmission_time = uploads_.finish(upload, loop_now());
  if (!transmission_time) return;
  context_.upload_window.on_completed(*transmission_time);
  free_upload_slot();
}

void VersionDownload::on_transmission_started(const ChunkUpload& upload) {
  if (upload.digest == key())
    uploads_.on_transmission_started({upload.peer, upload.chunk}, loop_now());
}

Duration VersionDownload::receive_stall(TimePoint now) const {
  Duration oldest = Duration::zero();
  for (const auto& [chunk, since] : requested_) {
    oldest = std::max(oldest, now - std::max(since, last_arrival_));
  }
  return oldest;
}

void VersionDownload::on_peer_lost(PeerId peer) {
  if (!swarm_) return;
  for (const PeerChunk& upload : uploads_.on_peer_lost(peer)) on_upload_ended(upload);
  SwarmActions actions;
  swarm_->on_peer_lost(peer, loop_now(), actions);
  execute_actions(actions);
}

// ---- frames ----

void VersionDownload::on_join(PeerId peer, const wire::SwarmJoin& join) {
  std::vector<std::uint8_t> bitmap = join_bitmap(join);
  if (!swarm_) {
    early_joins_[peer] = std::move(bitmap);
    return;
  }
  const auto count = static_cast<ChunkIndex>(chunks_.size());
  SwarmActions actions;
  swarm_->on_peer_joined(peer, ChunkSet::from_bytes(count, bitmap.data(), bitmap.size()),
                         loop_now(), actions);
  if (!join.reply()) send_join(peer, true);
  execute_actions(actions);
}

void VersionDownload::on_chunk_data(PeerId peer, const wire::ChunkData& data) {
  if (data.bytes() == nullptr) return;
  const TimePoint now = loop_now();
  wire::ChunkReceivedT received;
  received.digest = key();
  received.chunk = data.chunk();
  context_.links.send(peer, received);
  const auto requested = requested_.find(data.chunk());
  if (requested != requested_.end()) {
    // The time that the sender held the chunk says nothing about this link.
    const Duration took = now - requested->second - std::chrono::microseconds(data.held_us());
    context_.download_window.on_completed(std::max(Duration::zero(), took));
    requested_.erase(requested);
  }
  last_arrival_ = now;
  accept_chunk(
      peer, data.chunk(),
      std::string(reinterpret_cast<const char*>(data.bytes()->data()), data.bytes()->size()));
}

bool VersionDownload::on_frame(PeerId peer, const wire::Frame& frame) {
  const auto digest = swarm_frame_digest(frame);
  if (!digest || !manifest_ || *digest != key()) return false;
  switch (frame.body_type()) {
    case wire::Body::SwarmJoin:
      on_join(peer, *frame.body_as_SwarmJoin());
      return true;
    case wire::Body::ChunkData:
      on_chunk_data(peer, *frame.body_as_ChunkData());
      return true;
    case wire::Body::ChunkReceived:
      on_upload_ended({peer, frame.body_as_ChunkReceived()->chunk()});
      return true;
    case wire::Body::ChunkRequest:
      if (!swarm_) return false;  // The caller refuses the request.
      uploads_.on_requested({peer, frame.body_as_ChunkRequest()->chunk()}, loop_now());
      break;
    case wire::Body::ChunkCancel:
      uploads_.on_request_dropped({peer, frame.body_as_ChunkCancel()->chunk()});
      break;
    default:
      break;
  }
  if (!swarm_) return true;
  SwarmActions actions;
  apply_swarm_frame(*swarm_, peer, frame, loop_now(), actions);
  execute_actions(actions);
  return true;
}

}  // namespace pumicemast
