#include "host/staging/model_stager.h"

#include <algorithm>

#include "common/event_loop.h"
#include "common/hash.h"
#include "host/download/download_tuning.h"
#include "host/download/manifest_codec.h"
#include "host/staging/start_turns.h"

namespace pumicemast {
namespace {

/// An engine that has not answered for so long is not asked what it holds before the transfer.
constexpr Duration kEnginePatience = milliseconds(2500);
/// A process this young does not know when a version was named.
constexpr Duration kNewProcess = seconds(3);
/// A version is finished before the next if that one was named at least so many times the time
/// later that a link needs for one copy. Earlier, one changeover for both is cheaper. All agents
/// must decide alike: who drops a version also stops bringing its chunks to others.
constexpr double kFinishingCopyTimes = 1.3;
/// Where links have no stated rate a copy is thought to take so long.
constexpr Duration kUnknownCopyTime = seconds(3);
/// The share of the changeover after which a version can't be brought to engines in time.
constexpr double kHopelessShare = 0.86;
/// With so much of a version here the next one begins: links fall idle one by one.
constexpr double kNearlyCompleteShare = 0.75;

}  // namespace

template <class Visit>
void ModelStager::for_each_download(Visit visit) {
  for (const DownloadPointer* download : {&current_, &next_, &previous_, &inherited_download_}) {
    if (*download) visit(**download);
  }
}

ModelStager::ModelStager(std::string model, const HostSettings& settings, const StateChart& chart,
                         EngineControl& engine, WeightOrigin& origin, PeerLinks& links,
                         Metrics& metrics, Callbacks callbacks)
    : model_(std::move(model)),
      settings_(settings),
      engine_(engine),
      self_(staging_peer_id(settings.internal_address)),
      callbacks_(std::move(callbacks)),
      uplink_(
          settings.uplink_bytes_per_second, links, metrics,
          [this](const ChunkUpload& upload) {
            for_each_download([&](VersionDownload& download) { download.on_link_took(upload); });
          }),
      context_{settings,
               origin,
               links,
               SwarmMessages(links),
               uplink_,
               metrics,
               LinkGauge(kUploadSlots),
               LinkGauge(kChunkWindow),
               callbacks_.on_line},
      engine_stager_(model_, chart, engine, metrics,
                     {callbacks_.on_leaving, callbacks_.prompts_wait,
                      [this](TimePoint now) {
                        return claim_ == EngineClaim::order_again ? now : plan_turn(now, now);
                      },
                      callbacks_.on_line}),
      began_(loop_now()),
      inventory_(model_, engine),
      inherited_(began_),
      current_(make_download(0, began_)) {}

ModelStager::DownloadPointer ModelStager::make_download(std::uint64_t version, TimePoint named_at) {
  const bool joins_late = loop_now() - began_ < kNewProcess;
  auto download =
      std::make_unique<VersionDownload>(model_, version, named_at, joins_late, context_);
  download->set_peers(peers_);
  return download;
}

bool ModelStager::moving() const {
  return next_ || !current_->complete() || !engine_stager_.serving() ||
         claim_ != EngineClaim::released;
}

std::uint64_t ModelStager::newest() const {
  const std::uint64_t begun = next_ ? next_->version() : current_->version();
  return std::max(begun, waiting_version_);
}

// ---- which version ----

void ModelStager::on_named(std::uint64_t version) {
  if (version <= newest()) return;
  const TimePoint now = loop_now();
  if (waiting_version_ == 0) waiting_since_ = now;
  waiting_version_ = version;
  named_at_.emplace(version, now);
  callbacks_.on_line("staging", "staging model=" + model_ +
                                    " event=named version=" + std::to_string(version) +
                                    " current=" + std::to_string(current_->version()) +
                                    " progress=" + std::to_string(current_->progress()));
  begin_next(now);
}

void ModelStager::begin_next(TimePoint now) {
  if (waiting_version_ == 0) return;
  const bool finishing = !current_->complete() && worth_finishing(now);
  if (finishing && current_->progress() < kNearlyCompleteShare) return;
  TimePoint named_at = waiting_since_;
  if (named_at - began_ < kNewProcess) named_at -= settings_.changeover / 2;
  next_ = make_download(waiting_version_, named_at);
  waiting_version_ = 0;
  // What can't be completed any more makes room at once.
  if (!current_->complete() && !finishing) change_over_to_next();
}

bool ModelStager::worth_finishing(TimePoint now) const {
  if (!current_->transferring()) return false;
  const TimePoint next_named_at = next_ ? next_->named_at() : waiting_since_;
  const Duration given = next_named_at - current_->named_at();
  const auto hopeless_after = static_cast<Duration::rep>(
      static_cast<double>(settings_.changeover.count()) * kHopelessShare);
  return given >= copy_time() * kFinishingCopyTimes &&
         now - current_->named_at() < Duration(hopeless_after);
}

Duration ModelStager::copy_time() const {
  if (settings_.link_bytes_per_second <= 0) return kUnknownCopyTime;
  const auto& manifest = *current_->manifest();
  const double bytes =
      static_cast<double>(manifest.chunk_bytes) * static_cast<double>(manifest.hashes.size());
  return from_seconds(bytes / settings_.link_bytes_per_second);
}

bool ModelStager::current_is_done_with(TimePoint now) const {
  if (!current_->complete()) return !worth_finishing(now);
  // The next version would be written over what the engine may still take.
  if (engine_stager_.order_pending()) return false;
  // Both are here: one changeover is enough, unless an earlier process may have ordered this one.
  const bool may_be_passed_over = claim_ == EngineClaim::released && next_->complete();
  return engine_stager_.has_taken() || may_be_passed_over;
}

void ModelStager::change_over_to_next() {
  // A version that is to be taken first stays the engine's source.
  if (!inherited_download_) engine_stager_.set_source(nullptr);
  if (!current_->complete()) {
    current_->stop_fetching();
    context_.origin.cancel_chunks(model_, current_->version());
  }
  previous_ = std::move(current_);
  current_ = std::move(next_);
}

TimePoint ModelStager::plan_turn(TimePoint ready_at, TimePoint now) {
  if (foreseen_version_ != current_->version()) {
    foreseen_version_ = current_->version();
    foreseen_at_ = now;
  }
  StartTurnOptions options;
  options.changeover = settings_.changeover;
  const auto first_newer = named_at_.upper_bound(load_.weight_version);
  if (first_newer != named_at_.end()) options.older_named_at = first_newer->second;
  options.notice = std::max(Duration::zero(), options.notice - (now - foreseen_at_));
  return start_turn(self_, agents_, current_->version(), current_->named_at(), ready_at, options);
}

std::optional<TimePoint> ModelStager::leaves_at(TimePoint now) {
  if (const auto planned = engine_stager_.leaves_at()) return planned;
  const bool serves_older =
      load_.weight_version != 0 && load_.weight_version < current_->version() && !load_.busy;
  if (!serves_older || current_->complete()) return std::nullopt;
  const auto complete_at = current_->expected_completion(now);
  if (!complete_at) return std::nullopt;
  return plan_turn(*complete_at, now);
}

// ---- what the engine already holds ----

VersionDownload::KnownBytes ModelStager::all_known_bytes() const {
  VersionDownload::KnownBytes known = inventory_.bytes();
  for (const DownloadPointer* download : {&previous_, &current_}) {
    if (*download) known.merge((*download)->known_bytes());
  }
  return known;
}

void ModelStager::start_transfers(TimePoint now) {
  for_each_download([&](VersionDownload& download) {
    if (!download.manifest() || download.transferring()) return;
    // What lies at the engine need not be fetched. But it may be silent, and others may need what
    // this agent would fetch.
    if (!inventory_.complete() && now - download.manifest_at() < kEnginePatience) return;
    download.begin_transfer(all_known_bytes());
  });
}

std::uint64_t ModelStager::serving_version() const { return load_.busy ? 0 : load_.weight_version; }

void ModelStager::settle_inherited(TimePoint now) {
  if (claim_ == EngineClaim::released) return;
  if (claim_ == EngineClaim::order_again) {
    // An engine that declines it must not be kept from new weights for good.
    const bool declined = inherited_.too_long_ago(now) && !engine_stager_.order_pending();
    if (engine_stager_.has_taken() || declined) release_engine();
    return;
  }
  if (!inventory_.complete()) {
    if (load_.alive) inventory_.read();
    return;
  }
  take_over_marked();
  if (!current_->manifest()) return;
  inherited_.on_read(inventory_.hashes());
  note_manifest(*current_->manifest());
  seek_earlier_manifests(now);
  const auto verdict = inherited_.decide(current_->version(), serving_version(), now);
  if (verdict.kind == InheritedStagingVerdict::Kind::undecided) return;
  for (ChunkIndex place = 0; place < inventory_.hashes().size(); ++place) {
    const auto& hash = inventory_.hashes()[place];
    if (hash) engine_stager_.note_staged(place, *hash);
  }
  if (verdict.kind == InheritedStagingVerdict::Kind::order_again) {
    order_again(verdict.version);
  } else {
    release_engine();
  }
}

void ModelStager::take_over_marked() {
  if (!inventory_.marked()) return;
  inherited_.on_marked();
  for_each_download(
      [&](VersionDownload& download) { download.take_manifest(*inventory_.marked(), "staging"); });
}

void ModelStager::seek_earlier_manifests(TimePoint now) {
  for (const std::uint64_t version :
       inherited_.wanted_manifests(current_->version(), serving_version())) {
    auto& seeker = earlier_manifests_[version];
    if (seeker) continue;
    seeker = std::make_unique<ManifestSeeker>(
        model_, self_, context_.origin, context_.links,
        [this](const WeightManifest& manifest, const char*) { note_earlier_manifest(manifest); });
    seeker->set_peers(agents_);
    seeker->begin(version, now);
  }
  for (const auto& [version, seeker] : earlier_manifests_) seeker->on_tick(now);
}

void ModelStager::note_earlier_manifest(const WeightManifest& manifest) {
  const auto sought = earlier_manifests_.find(manifest.version);
  if (sought == earlier_manifests_.end()) return;
  sought->second->stop();
  note_manifest(manifest);
}

void ModelStager::note_manifest(const WeightManifest& manifest) {
  known_manifests_[manifest.version] = manifest;
  inherited_.on_manifest(manifest);
}

void ModelStager::order_again(std::uint64_t version) {
  claim_ = EngineClaim::order_again;
  callbacks_.on_line("staging", "staging model=" + model_ +
                                    " event=inherited version=" + std::to_string(version) +
                                    " serving=" + std::to_string(serving_version()));
  if (version == current_->version()) return;
  inherited_download_ = make_download(version, loop_now());
  inherited_download_->take_manifest(known_manifests_.at(version), "inherited");
  inherited_download_->begin_transfer(inventory_.bytes());
}

void ModelStager::release_engine() {
  claim_ = EngineClaim::released;
  engine_stager_.allow_marking();
  // Nobody needs what the question took any more.
  earlier_manifests_.clear();
  known_manifests_.clear();
  engine_stager_.set_source(engine_source());
  inherited_download_.reset();
}

const VersionDownload* ModelStager::engine_source() const {
  if (claim_ == EngineClaim::undecided) return nullptr;
  const bool earlier_first = claim_ == EngineClaim::order_again && inherited_download_;
  const VersionDownload* source = earlier_first ? inherited_download_.get() : current_.get();
  return source->transferring() ? source : nullptr;
}

// ---- time and load ----

void ModelStager::on_tick() {
  const TimePoint now = loop_now();
  settle_inherited(now);
  begin_next(now);
  if (next_ && current_is_done_with(now)) change_over_to_next();
  if (!waits_for_peers_) start_transfers(now);
  const bool copies_needed = claim_ == EngineClaim::undecided || !current_->transferring();
  if (!copies_needed) inventory_.drop_bytes();
  engine_stager_.set_source(engine_source());
  for_each_download([&](VersionDownload& download) {
    const auto rank = static_cast<std::uint32_t>(turn_rank(self_, agents_, download.version()));
    // An engine that serves nothing goes first.
    download.set_urgency(load_.weight_version == 0 ? 0 : 1 + rank);
    // Beside a version that is nearly here the next one takes what is left of the links.
    const bool second = &download == next_.get() && !current_->complete();
    download.set_sharers(second ? 2 : 1);
    if (!waits_for_peers_) download.on_tick(now);
  });
  engine_stager_.on_tick(now);
}

void ModelStager::on_load(const LoadReport& report) {
  load_ = report;
  if (!report.busy)
    named_at_.erase(named_at_.begin(), named_at_.upper_bound(report.weight_version));
  engine_stager_.on_load(report);
}

void ModelStager::set_peers(const std::set<StagingPeer>& peers) {
  if (peers == peers_) return;
  peers_ = peers;
  waits_for_peers_ = false;
  agents_.clear();
  for (const StagingPeer& peer : peers_) {
    const PeerId agent = staging_peer_id(peer.address);
    agents_.push_back(agent);
    if (agent != self_) context_.links.set_address(agent, peer.address);
  }
  for_each_download([&](VersionDownload& download) { download.set_peers(peers_); });
}

// ---- frames ----

void ModelStager::on_peer_lost(PeerId peer) {
  uplink_.on_peer_lost(peer);
  for_each_download([&](VersionDownload& download) { download.on_peer_lost(peer); });
}

void ModelStager::on_manifest_request(PeerId peer, const wire::ManifestRequest& request) {
  if (request.model()->string_view() != model_) return;
  on_named(request.least_version());
  bool answered = false;
  for_each_download([&](VersionDownload& download) {
    const bool fits = request.least_version() == 0 || download.version() == request.least_version();
    if (answered || !fits || !download.manifest()) return;
    answered = true;
    download.on_manifest_request(peer);
  });
}

void ModelStager::on_manifest_document(const wire::ManifestDocument& document) {
  if (document.model()->string_view() != model_) return;
  if (current_->version() != 0) on_named(document.version());
  for_each_download([&](VersionDownload& download) {
    download.take_manifest(decode_manifest(document), "peer");
  });
  note_earlier_manifest(decode_manifest(document));
}

void ModelStager::on_frame(PeerId peer, const wire::Frame& frame) {
  if (frame.body_type() == wire::Body::ManifestRequest) {
    on_manifest_request(peer, *frame.body_as_ManifestRequest());
    return;
  }
  if (frame.body_type() == wire::Body::ManifestDocument) {
    on_manifest_document(*frame.body_as_ManifestDocument());
    return;
  }
  bool taken = false;
  for_each_download(
      [&](VersionDownload& download) { taken = taken || download.on_frame(peer, frame); });
  if (!taken && frame.body_type() == wire::Body::ChunkRequest) {
    const auto* request = frame.body_as_ChunkRequest();
    context_.messages.send(request->digest()->str(), RefuseChunk{peer, request->chunk()});
  }
}

}  // namespace pumicemast
