#include "host/model_stager.h"

#include <algorithm>

#include "common/hash.h"
#include "host/start_turns.h"

namespace pumicemast {
namespace {

/// An engine that has not answered for so long is not asked what it holds before the transfer.
constexpr Duration kEnginePatience = milliseconds(2500);
/// What was read back longer ago is read again before a start.
constexpr Duration kCheckLifetime = milliseconds(1500);
constexpr Duration kNewProcess = seconds(3);
/// From the word to gateways until the order: longer than a request waits to begin.
constexpr Duration kSettleTime = milliseconds(250);
/// A version of which this share is here is brought to the engine before a newer one is begun,
/// unless that takes too long.
constexpr double kWorthFinishingShare = 0.6;
constexpr Duration kDeferralLimit = milliseconds(3200);
/// Turns are then spread over so long.
constexpr Duration kHurriedTurns = milliseconds(1700);
/// The engine has taken what lies in its staging memory so long after an order.
constexpr Duration kOrderTaken = milliseconds(150);
/// An order to start that shows no effect for so long is given again.
constexpr Duration kStartPatience = milliseconds(1500);
constexpr Duration kAnnounceInterval = milliseconds(15);
/// What is asked for at once would otherwise stand before the engine's requests on the link.
constexpr std::uint32_t kChunkWindow = 4;
constexpr std::uint32_t kOriginWindow = 1;
/// Chunks that may be on their way to others at once.
constexpr std::uint32_t kUploadSlots = 4;
/// A chunk that was not acknowledged for so long no longer holds its slot.
constexpr Duration kUploadPatience = milliseconds(1500);
constexpr Duration kOriginProbeInterval = milliseconds(500);
constexpr Duration kSourcePause = milliseconds(200);

/// Age of the oldest entry; zero when there is none.
template <class Key>
Duration oldest_age(const std::map<Key, TimePoint>& begun, TimePoint now) {
  Duration oldest = Duration::zero();
  for (const auto& [key, since] : begun) oldest = std::max(oldest, now - since);
  return oldest;
}

PeerId peer_id(const Address& address) { return stable_hash(address.to_string()); }

}  // namespace

ModelStager::ModelStager(std::string model, const HostSettings& settings, const StateChart& chart,
                         EngineControl& engine, WeightOrigin& origin, PeerLinks& links,
                         Metrics& metrics, Callbacks callbacks)
    : model_(std::move(model)),
      settings_(settings),
      chart_(chart),
      engine_(engine),
      origin_(origin),
      links_(links),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      self_(peer_id(settings.internal_address)),
      seeker_(model_, self_, origin, links,
              [this](WeightManifest manifest, const char* source) {
                take_manifest(std::move(manifest), source);
              }),
      state_(chart.initial()),
      began_(loop_now()),
      named_at_(loop_now()),
      uplink_(settings.uplink_bytes_per_second, links, metrics, [](const std::string&) {}),
      upload_gauge_(kUploadSlots),
      download_gauge_(kChunkWindow) {
  seeker_.begin(target_, began_);
}

void ModelStager::step(const char* event) {
  const std::string next = chart_.next(state_, event);
  if (next == state_) return;
  callbacks_.on_line("staging", "staging model=" + model_ + " version=" + std::to_string(target_) +
                                    " event=" + event + " state=" + state_ + "->" + next);
  state_ = next;
}

std::string ModelStager::key() const { return model_ + "@" + std::to_string(target_); }

bool ModelStager::is_own_key(const flatbuffers::String* text) const {
  return text != nullptr && text->string_view() == key();
}

// ---- what is wanted ----

void ModelStager::on_named(std::uint64_t version) {
  if (version <= target_ || version <= deferred_target_) return;
  const TimePoint now = loop_now();
  if (deferred_target_ != 0 || worth_finishing()) {
    if (deferred_target_ == 0) deferred_at_ = now;
    deferred_target_ = version;
    callbacks_.on_line("staging", "staging model=" + model_ +
                                      " version=" + std::to_string(target_) +
                                      " event=finish_first next=" + std::to_string(version));
    hurry_turn(now);
    return;
  }
  change_target(version);
}

bool ModelStager::worth_finishing() const {
  if (state_ == "CHECKING" || state_ == "READY") return true;
  if (state_ == "STARTING") return !ordered_;
  if (state_ != "FETCHING" || !swarm_) return false;
  return swarm_->have().count() >= kWorthFinishingShare * static_cast<double>(chunks_.size());
}

void ModelStager::hurry_turn(TimePoint now) {
  if (!turn_) return;
  const Duration left = std::max(Duration::zero(), *turn_ - now);
  turn_ = now + std::min(left, kHurriedTurns);
}

void ModelStager::end_deferral(TimePoint now) {
  if (deferred_target_ == 0) return;
  const bool begun =
      (state_ == "STARTING" && ordered_ && now - started_at_ > kOrderTaken) || state_ == "LIVE";
  if (!begun && now - deferred_at_ < kDeferralLimit) return;
  const std::uint64_t version = deferred_target_;
  const TimePoint named_at = deferred_at_;
  deferred_target_ = 0;
  change_target(version);
  named_at_ = named_at;
}

void ModelStager::change_target(std::uint64_t version) {
  previous_key_ = key();
  previous_chunks_ = chunks_;
  target_ = version;
  named_at_ = loop_now();
  // A process that has just begun does not know when: others may be well on their way.
  if (named_at_ - began_ < kNewProcess) named_at_ -= settings_.changeover / 2;
  ++generation_;
  manifest_.reset();
  swarm_.reset();
  early_joins_.clear();
  uploads_.clear();
  requested_.clear();
  turn_.reset();
  writing_ = false;
  reading_from_engine_ = false;
  origin_.cancel_chunks();
  step("target_changed");
  seeker_.begin(target_, loop_now());
}

void ModelStager::take_manifest(WeightManifest manifest, const char* source) {
  if (manifest_ || manifest.hashes.empty() || manifest.version < target_) return;
  if (manifest.version > target_) {
    target_ = manifest.version;
    ++generation_;
  }
  manifest_ = std::move(manifest);
  seeker_.stop();
  const auto count = static_cast<ChunkIndex>(manifest_->hashes.size());
  callbacks_.on_line("manifest", "manifest model=" + model_ +
                                     " version=" + std::to_string(target_) +
                                     " chunks=" + std::to_string(count) + " source=" + source);
  // Bytes of versions before the last one are of no more use.
  bytes_by_hash_.clear();
  ChunkSet staged(count);
  for (ChunkIndex chunk = 0; chunk < chunks_.size(); ++chunk) {
    if (chunks_[chunk]) bytes_by_hash_.emplace(chunk_hashes_[chunk], chunks_[chunk]);
    const bool unchanged = chunk < count && manifest_->hashes[chunk] == chunk_hashes_[chunk];
    if (unchanged && staged_.contains(chunk)) staged.insert(chunk);
  }
  chunks_.assign(count, nullptr);
  chunk_hashes_ = manifest_->hashes;
  staged_ = std::move(staged);
  if (std::string_view(source) == "origin") {
    for (const StagingPeer& peer : peers_) {
      const PeerId id = peer_id(peer.address);
      if (id != self_) links_.send(id, ManifestSeeker::encode(*manifest_));
    }
  }
  step("manifest_read");
  manifest_at_ = loop_now();
  if (read_from_engine_) {
    begin_swarm();
  } else if (load_.alive) {
    read_staged_chunks();
  }
}

// ---- what the engine already holds ----

void ModelStager::read_staged_chunks() {
  if (reading_from_engine_) return;
  reading_from_engine_ = true;
  engine_.list_staged(
      model_, [this, generation = generation_](std::optional<std::vector<ChunkIndex>> chunks) {
        if (generation != generation_) return;
        if (!chunks) {
          // The engine does not answer (yet): nothing is known to lie there.
          reading_from_engine_ = false;
          begin_swarm();
          return;
        }
        read_next_staged(std::move(*chunks), 0);
      });
}

void ModelStager::read_next_staged(std::vector<ChunkIndex> chunks, std::size_t position) {
  if (position >= chunks.size()) {
    reading_from_engine_ = false;
    read_from_engine_ = true;
    begin_swarm();
    return;
  }
  const ChunkIndex chunk = chunks[position];
  engine_.read_staged(model_, chunk,
                      [this, generation = generation_, chunks = std::move(chunks), chunk,
                       position](std::optional<std::string> bytes) mutable {
                        if (generation != generation_) return;
                        if (bytes) note_staged_bytes(chunk, std::move(*bytes));
                        read_next_staged(std::move(chunks), position + 1);
                      });
}

void ModelStager::note_staged_bytes(ChunkIndex chunk, std::string bytes) {
  const Sha256 hash = sha256(bytes);
  bytes_by_hash_.emplace(hash, std::make_shared<const std::string>(std::move(bytes)));
  if (chunk < chunk_hashes_.size() && chunk_hashes_[chunk] == hash) staged_.insert(chunk);
}

// ---- the swarm ----

void ModelStager::begin_swarm() {
  if (!manifest_ || swarm_) return;
  ChunkSet have(static_cast<ChunkIndex>(manifest_->hashes.size()));
  for (ChunkIndex chunk = 0; chunk < have.size(); ++chunk) {
    const auto known = bytes_by_hash_.find(manifest_->hashes[chunk]);
    if (known == bytes_by_hash_.end()) continue;
    chunks_[chunk] = known->second;
    have.insert(chunk);
  }
  SwarmOptions options;
  options.self = self_;
  options.seed = stable_hash(self_, target_);
  options.window = kChunkWindow;
  options.upload_slots = kUploadSlots;
  options.origin_window = kOriginWindow;
  options.origin_probe_interval = kOriginProbeInterval;
  options.source_pause = kSourcePause;
  options.announce_interval = kAnnounceInterval;
  options.initial_request_timeout = seconds(2);
  // On a narrowed link what was asked for again elsewhere would come twice.
  options.minimum_request_timeout = milliseconds(1500);
  options.maximum_request_timeout = seconds(4);
  options.origin_timeout = seconds(3);
  options.takeover_interval = milliseconds(700);
  const bool complete = have.full();
  swarm_ = std::make_unique<Swarm>(options, std::move(have));
  SwarmActions actions;
  const auto joins = std::move(early_joins_);
  early_joins_.clear();
  for (const auto& [peer, bitmap] : joins) {
    swarm_->on_peer_joined(
        peer,
        ChunkSet::from_bytes(static_cast<ChunkIndex>(chunks_.size()), bitmap.data(), bitmap.size()),
        loop_now(), actions);
  }
  carry_out(actions);
  callbacks_.on_line(
      "transfer", "transfer model=" + model_ + " version=" + std::to_string(target_) +
                      " held=" + std::to_string(swarm_->have().count()) + " of=" +
                      std::to_string(chunks_.size()) + " peers=" + std::to_string(peers_.size()));
  apply_membership();
  write_missing();
  if (complete) {
    callbacks_.on_line("weights", "weights model=" + model_ + " version=" +
                                      std::to_string(target_) + " state=COMPLETE source=local");
  }
}

void ModelStager::set_peers(const std::set<StagingPeer>& peers) {
  if (peers == peers_) return;
  peers_ = peers;
  std::vector<PeerId> ids;
  ids.reserve(peers_.size());
  for (const StagingPeer& peer : peers_) ids.push_back(peer_id(peer.address));
  seeker_.set_peers(std::move(ids));
  for (const StagingPeer& peer : peers_) {
    if (peer_id(peer.address) != self_) links_.set_address(peer_id(peer.address), peer.address);
  }
  if (swarm_) apply_membership();
}

void ModelStager::apply_membership() {
  std::vector<SwarmParticipant> participants;
  bool self_listed = false;
  for (const StagingPeer& peer : peers_) {
    participants.push_back({peer_id(peer.address),
                            static_cast<std::uint32_t>(stable_hash(peer.region)),
                            static_cast<std::uint32_t>(stable_hash(peer.zone))});
    self_listed = self_listed || peer_id(peer.address) == self_;
  }
  if (!self_listed) {
    participants.push_back({self_, static_cast<std::uint32_t>(stable_hash(settings_.region)),
                            static_cast<std::uint32_t>(stable_hash(settings_.zone))});
  }
  std::vector<PeerId> ids;
  ids.reserve(participants.size());
  for (const SwarmParticipant& participant : participants) ids.push_back(participant.id);
  turn_rank_ = static_cast<std::uint32_t>(turn_rank(self_, ids, target_));
  SwarmActions actions;
  swarm_->on_membership(
      std::make_shared<SwarmMembership>(std::move(participants), stable_hash(key())), loop_now(),
      actions);
  carry_out(actions);
}

void ModelStager::on_tick() {
  seeker_.on_tick(loop_now());
  if (swarm_) {
    SwarmActions actions;
    const TimePoint tick = loop_now();
    swarm_->set_limits(download_gauge_.window(oldest_age(requested_, tick)),
                       upload_gauge_.window(oldest_age(uploads_, tick)));
    swarm_->on_tick(loop_now(), actions);
    carry_out(actions);
    expire_uploads(loop_now());
  }
  const TimePoint now = loop_now();
  end_deferral(now);
  // The engine may hold chunks; but others may need what this agent would fetch.
  const bool engine_silent = !reading_from_engine_ && now - manifest_at_ > kEnginePatience;
  if (manifest_ && !swarm_ && engine_silent) begin_swarm();
  if (state_ == "FETCHING") write_missing();
  if (state_ == "READY") {
    if (turn_ && now >= *turn_) {
      if (now - checked_at_ > kCheckLifetime) {
        step("check_expired");
        check_staged(0);
      } else {
        begin_start();
      }
    }
  } else if (state_ == "STARTING" && !ordered_) {
    if (now >= order_due_) order_start();
  } else if (state_ == "STARTING" && now - started_at_ > kStartPatience && load_.alive &&
             !load_.busy && load_.weight_version != target_) {
    step("start_failed");
    check_staged(0);
  }
}

void ModelStager::carry_out(const SwarmActions& actions) {
  for (const SwarmAction& action : actions) {
    if (!swarm_) return;  // An action may change the target.
    std::visit([this](const auto& typed) { act(typed); }, action);
  }
}

void ModelStager::act(const RequestFromPeer& action) {
  wire::ChunkRequestT message;
  message.digest = key();
  message.chunk = action.chunk;
  // Whose turn comes first is served first: agents then complete in the order of their turns,
  // and the fleet does not change over all at once. An engine that serves nothing goes first.
  message.progress = load_.weight_version == 0 ? 0 : 1 + turn_rank_;
  requested_[action.chunk] = loop_now();
  links_.send(action.peer, message);
}

void ModelStager::act(const CancelFromPeer& action) {
  wire::ChunkCancelT message;
  message.digest = key();
  message.chunk = action.chunk;
  links_.send(action.peer, message);
}

void ModelStager::act(const RequestFromOrigin& action) {
  const ChunkIndex chunk = action.chunk;
  origin_.fetch_chunk(model_, target_, chunk,
                      [this, generation = generation_, chunk](std::optional<std::string> bytes) {
                        if (generation != generation_ || !swarm_) return;
                        if (bytes) {
                          metrics_.count("pumicemast_host_origin_bytes_total", {},
                                         static_cast<double>(bytes->size()));
                          take_in(std::nullopt, chunk, std::move(*bytes));
                          return;
                        }
                        metrics_.count("pumicemast_host_origin_failures_total");
                        SwarmActions actions;
                        swarm_->on_origin_failed(chunk, milliseconds(300), loop_now(), actions);
                        carry_out(actions);
                      });
}

void ModelStager::act(const CancelFromOrigin&) {}

void ModelStager::act(const SendChunk& action) {
  if (action.chunk >= chunks_.size() || !chunks_[action.chunk]) {
    free_upload_slot();
    return;
  }
  if (!uploads_.emplace(std::pair{action.peer, action.chunk}, loop_now()).second) {
    // Asked for again while on its way: one slot is enough.
    free_upload_slot();
    return;
  }
  uplink_.push({key(), action.peer, action.chunk, chunks_[action.chunk], 0});
}

void ModelStager::free_upload_slot() {
  if (!swarm_) return;
  SwarmActions actions;
  swarm_->on_sent(loop_now(), actions);
  carry_out(actions);
}

void ModelStager::on_upload_ended(PeerId peer, ChunkIndex chunk) {
  const auto upload = uploads_.find({peer, chunk});
  if (upload == uploads_.end()) return;
  upload_gauge_.on_exchange(loop_now() - upload->second);
  uploads_.erase(upload);
  free_upload_slot();
}

void ModelStager::expire_uploads(TimePoint now) {
  std::vector<std::pair<PeerId, ChunkIndex>> expired;
  for (const auto& [upload, since] : uploads_) {
    if (now - since > kUploadPatience) expired.push_back(upload);
  }
  for (const auto& [peer, chunk] : expired) on_upload_ended(peer, chunk);
}

void ModelStager::act(const RefuseChunk& action) {
  wire::ChunkRefusedT message;
  message.digest = key();
  message.chunk = action.chunk;
  links_.send(action.peer, message);
}

void ModelStager::act(const AnnounceChunks& action) {
  wire::ChunksHaveT message;
  message.digest = key();
  message.chunks = action.chunks;
  for (const PeerId peer : action.peers) links_.send(peer, message);
}

void ModelStager::act(const JoinPeer& action) { send_join(action.peer, false); }

void ModelStager::send_join(PeerId peer, bool reply) {
  wire::SwarmJoinT message;
  message.digest = key();
  message.have = swarm_->have().to_bytes();
  message.reply = reply;
  links_.send(peer, message);
}

void ModelStager::act(const SwarmComplete&) {
  callbacks_.on_line("weights", "weights model=" + model_ + " version=" + std::to_string(target_) +
                                    " state=COMPLETE took_ms=" +
                                    std::to_string(to_milliseconds(loop_now() - named_at_)));
}

void ModelStager::act(const PeerAvoided& action) {
  callbacks_.on_line(
      "peer", "peer id=" + std::to_string(action.peer) + " state=AVOIDED reason=corrupt_chunks");
}

void ModelStager::take_in(std::optional<PeerId> source, ChunkIndex chunk, std::string bytes) {
  if (!swarm_ || chunk >= chunks_.size()) return;
  SwarmActions actions;
  if (sha256(bytes) != manifest_->hashes[chunk]) {
    metrics_.count("pumicemast_host_corrupt_chunks_total",
                   {{"source", source ? "peer" : "origin"}});
    swarm_->on_chunk(source, chunk, ChunkArrival::corrupt, loop_now(), actions);
    carry_out(actions);
    return;
  }
  metrics_.count("pumicemast_host_chunks_total", {{"source", source ? "peer" : "origin"}});
  if (!chunks_[chunk]) chunks_[chunk] = std::make_shared<const std::string>(std::move(bytes));
  swarm_->on_chunk(source, chunk, ChunkArrival::verified, loop_now(), actions);
  carry_out(actions);
  write_missing();
}

void ModelStager::on_peer_lost(PeerId peer) {
  uplink_.on_peer_lost(peer);
  if (!swarm_) return;
  std::vector<ChunkIndex> lost;
  for (const auto& [upload, since] : uploads_) {
    if (upload.first == peer) lost.push_back(upload.second);
  }
  for (const ChunkIndex chunk : lost) on_upload_ended(peer, chunk);
  SwarmActions actions;
  swarm_->on_peer_lost(peer, loop_now(), actions);
  carry_out(actions);
}

void ModelStager::on_join(PeerId peer, const wire::SwarmJoin& join) {
  std::vector<std::uint8_t> bitmap;
  if (join.have() != nullptr) bitmap.assign(join.have()->begin(), join.have()->end());
  if (!swarm_) {
    early_joins_[peer] = std::move(bitmap);
    return;
  }
  SwarmActions actions;
  swarm_->on_peer_joined(
      peer,
      ChunkSet::from_bytes(static_cast<ChunkIndex>(chunks_.size()), bitmap.data(), bitmap.size()),
      loop_now(), actions);
  if (!join.reply()) send_join(peer, true);
  carry_out(actions);
}

void ModelStager::on_frame(PeerId peer, const wire::Frame& frame) {
  const TimePoint now = loop_now();
  SwarmActions actions;
  switch (frame.body_type()) {
    case wire::Body::ManifestRequest: {
      const auto* message = frame.body_as_ManifestRequest();
      if (message->model()->string_view() != model_) return;
      on_named(message->least_version());
      if (manifest_ && manifest_->version >= message->least_version()) {
        links_.send(peer, ManifestSeeker::encode(*manifest_));
      }
      return;
    }
    case wire::Body::ManifestDocument: {
      const auto* message = frame.body_as_ManifestDocument();
      if (message->model()->string_view() != model_ || message->hashes() == nullptr) return;
      if (message->version() > target_ && target_ != 0) {
        on_named(message->version());
        if (message->version() > target_) return;  // Put off; it is asked for when begun.
      }
      take_manifest(ManifestSeeker::decode(*message), "peer");
      return;
    }
    case wire::Body::SwarmJoin:
      if (is_own_key(frame.body_as_SwarmJoin()->digest()))
        on_join(peer, *frame.body_as_SwarmJoin());
      return;
    case wire::Body::ChunkData: {
      const auto* message = frame.body_as_ChunkData();
      if (!is_own_key(message->digest()) || message->bytes() == nullptr) return;
      wire::ChunkReceivedT received;
      received.digest = key();
      received.chunk = message->chunk();
      links_.send(peer, received);
      const auto requested = requested_.find(message->chunk());
      if (requested != requested_.end()) {
        download_gauge_.on_exchange(now - requested->second);
        requested_.erase(requested);
      }
      take_in(peer, message->chunk(),
              std::string(reinterpret_cast<const char*>(message->bytes()->data()),
                          message->bytes()->size()));
      return;
    }
    case wire::Body::ChunkReceived: {
      const auto* message = frame.body_as_ChunkReceived();
      if (is_own_key(message->digest())) on_upload_ended(peer, message->chunk());
      return;
    }
    case wire::Body::ChunksHave: {
      const auto* message = frame.body_as_ChunksHave();
      if (!swarm_ || !is_own_key(message->digest()) || message->chunks() == nullptr) return;
      swarm_->on_peer_has(peer, {message->chunks()->begin(), message->chunks()->end()}, now,
                          actions);
      break;
    }
    case wire::Body::ChunkRequest: {
      const auto* message = frame.body_as_ChunkRequest();
      if (message->digest()->string_view() == previous_key_ && !is_own_key(message->digest())) {
        serve_previous(peer, *message);
        return;
      }
      if (!swarm_ || !is_own_key(message->digest())) {
        wire::ChunkRefusedT refusal;
        refusal.digest = message->digest()->str();
        refusal.chunk = message->chunk();
        links_.send(peer, refusal);
        return;
      }
      swarm_->on_request(peer, message->chunk(), message->progress(), now, actions);
      break;
    }
    case wire::Body::ChunkRefused: {
      const auto* message = frame.body_as_ChunkRefused();
      if (!swarm_ || !is_own_key(message->digest())) return;
      swarm_->on_refused(peer, message->chunk(), now, actions);
      break;
    }
    case wire::Body::ChunkCancel: {
      const auto* message = frame.body_as_ChunkCancel();
      if (swarm_ && is_own_key(message->digest())) swarm_->on_cancel(peer, message->chunk());
      return;
    }
    default:
      return;
  }
  carry_out(actions);
}

void ModelStager::serve_previous(PeerId peer, const wire::ChunkRequest& request) {
  const ChunkIndex chunk = request.chunk();
  if (chunk < previous_chunks_.size() && previous_chunks_[chunk]) {
    uplink_.push({previous_key_, peer, chunk, previous_chunks_[chunk], 0});
    return;
  }
  wire::ChunkRefusedT refusal;
  refusal.digest = previous_key_;
  refusal.chunk = chunk;
  links_.send(peer, refusal);
}

// ---- the engine ----

void ModelStager::write_missing() {
  if (writing_ || !manifest_ || state_ != "FETCHING" || !load_.alive) return;
  for (ChunkIndex chunk = 0; chunk < chunks_.size(); ++chunk) {
    if (!chunks_[chunk] || staged_.contains(chunk)) continue;
    writing_ = true;
    engine_.write_staged(model_, chunk, *chunks_[chunk],
                         [this, generation = generation_, chunk](bool done) {
                           if (generation != generation_) return;
                           writing_ = false;
                           if (!done) return;  // Tried again at the next tick.
                           staged_.insert(chunk);
                           write_missing();
                         });
    return;
  }
  if (staged_.size() == 0 || !staged_.full()) return;
  step("all_staged");
  if (load_.weight_version == target_ && !load_.busy) {
    step("verified");
    plan_turn();
    return;
  }
  check_staged(0);
}

void ModelStager::check_staged(ChunkIndex chunk) {
  if (chunk == 0) checked_at_ = loop_now();
  if (chunk >= chunks_.size()) {
    if (!staged_.full()) {
      step("spoilt");
      write_missing();
      return;
    }
    step("verified");
    plan_turn();
    return;
  }
  engine_.read_staged(model_, chunk,
                      [this, generation = generation_, chunk](std::optional<std::string> bytes) {
                        if (generation != generation_ || state_ != "CHECKING") return;
                        on_checked(chunk, bytes && sha256(*bytes) == manifest_->hashes[chunk]);
                      });
}

void ModelStager::on_checked(ChunkIndex chunk, bool intact) {
  if (!intact) {
    metrics_.count("pumicemast_host_spoilt_chunks_total");
    staged_.erase(chunk);
  }
  check_staged(chunk + 1);
}

void ModelStager::plan_turn() {
  if (load_.weight_version == target_ && !load_.busy) {
    step("turn_came");
    step("serving");
    return;
  }
  const TimePoint now = loop_now();
  if (turn_) return;  // Planned before the last check.
  if (load_.weight_version == 0) {
    turn_ = now;
  } else {
    std::vector<PeerId> participants;
    participants.reserve(peers_.size());
    for (const StagingPeer& peer : peers_) participants.push_back(peer_id(peer.address));
    StartTurnOptions options;
    options.changeover = settings_.changeover;
    turn_ = start_turn(self_, participants, target_, named_at_, now, options);
    if (deferred_target_ != 0) hurry_turn(now);
  }
  if (*turn_ <= now) begin_start();
}

void ModelStager::begin_start() {
  step("turn_came");
  callbacks_.on_before_start();
  // Gateways stop sending now; what has reached the engine begins before it changes over.
  order_due_ = loop_now() + (load_.weight_version == 0 ? Duration::zero() : kSettleTime);
  ordered_ = false;
}

void ModelStager::order_start() {
  ordered_ = true;
  started_at_ = loop_now();
  engine_.start_serving(model_, target_, [this, generation = generation_](StartOutcome outcome) {
    if (generation == generation_) on_start_outcome(outcome);
  });
}

void ModelStager::on_start_outcome(StartOutcome outcome) {
  static constexpr const char* kNames[] = {"begun", "already_serving", "refused", "unknown"};
  callbacks_.on_line("start", "start model=" + model_ + " version=" + std::to_string(target_) +
                                  " outcome=" + kNames[static_cast<std::size_t>(outcome)]);
  if (outcome == StartOutcome::already_serving) step("serving");
}

void ModelStager::on_load(const LoadReport& report) {
  const bool came_back = report.alive && !load_.alive;
  load_ = report;
  if (!report.alive) return;
  if (state_ == "STARTING" && report.weight_version == target_ && !report.busy) step("serving");
  if (state_ == "LIVE" && report.weight_version != target_ && !report.busy) {
    // The engine was started anew, or lost its layers.
    step("engine_lost");
    turn_.reset();
    check_staged(0);
    return;
  }
  if (came_back && manifest_ && !swarm_) read_staged_chunks();
  if (came_back && state_ == "FETCHING") write_missing();
}

}  // namespace pumicemast
