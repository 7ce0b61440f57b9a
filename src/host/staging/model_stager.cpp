#include "host/staging/model_stager.h"

#include <algorithm>

#include "common/event_loop.h"
#include "common/hash.h"
#include "host/download/download_tuning.h"
#include "host/download/manifest_codec.h"
#include "host/staging/start_schedule.h"

namespace pumicemast {
namespace {

/// The transfer waits at most this long after the manifest for the list of chunks that the engine
/// already holds.
constexpr Duration kInventoryTimeout = milliseconds(2500);
/// A process that has run for less than this does not know when a version was named.
constexpr Duration kStartupPeriod = seconds(3);
/// The current version is finished before the next one if the next was named at least this many
/// copy times later. If it was named earlier, one changeover for both is cheaper. All agents must
/// decide alike: an agent that drops a version also stops fetching chunks that others need from it.
constexpr double kMinimumCopyTimes = 1.3;
/// Copy time that is assumed when the rate of the link is not configured.
constexpr Duration kDefaultCopyTime = seconds(3);
/// After this fraction of the changeover an incomplete version can no longer be activated in time.
constexpr double kAbandonFraction = 0.86;
/// From this progress of the current version on the next download starts, because the links become
/// idle one by one.
constexpr double kNearlyCompleteFraction = 0.75;

}  // namespace

template <class Visit>
void ModelStager::for_each_download(Visit visit) {
  for (const DownloadPointer* download : {&current_, &next_, &previous_, &recovery_download_}) {
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
      uplink_(settings.uplink_bytes_per_second, links, metrics,
              [this](const ChunkUpload& upload) {
                for_each_download(
                    [&](VersionDownload& download) { download.on_transmission_started(upload); });
              }),
      context_{settings,
               origin,
               links,
               SwarmMessages(links),
               uplink_,
               metrics,
               LinkWindow(kUploadSlots),
               LinkWindow(kChunkWindow),
               callbacks_.log_line},
      engine_stager_(model_, chart, engine, metrics,
                     {callbacks_.on_leaving, callbacks_.prompts_waiting,
                      [this](TimePoint now) {
                        return recovery_state_ == RecoveryState::reissue_order
                                   ? now
                                   : schedule_start(now, now);
                      },
                      callbacks_.log_line}),
      started_at_(loop_now()),
      inventory_(model_, engine),
      recovery_(started_at_),
      current_(make_download(0, started_at_)) {}

ModelStager::DownloadPointer ModelStager::make_download(std::uint64_t version, TimePoint named_at) {
  const bool joins_late = loop_now() - started_at_ < kStartupPeriod;
  auto download =
      std::make_unique<VersionDownload>(model_, version, named_at, joins_late, context_);
  download->set_peers(peers_);
  return download;
}

bool ModelStager::needs_frequent_ticks() const {
  return next_ || !current_->complete() || !engine_stager_.serving() ||
         recovery_state_ != RecoveryState::done;
}

std::uint64_t ModelStager::newest() const {
  const std::uint64_t newest_download = next_ ? next_->version() : current_->version();
  return std::max(newest_download, pending_version_);
}

// ---- choice of the version ----

void ModelStager::on_version_named(std::uint64_t version) {
  if (version <= newest()) return;
  const TimePoint now = loop_now();
  if (pending_version_ == 0) pending_since_ = now;
  pending_version_ = version;
  named_at_.emplace(version, now);
  callbacks_.log_line("staging", "staging model=" + model_ +
                                     " event=named version=" + std::to_string(version) +
                                     " current=" + std::to_string(current_->version()) +
                                     " progress=" + std::to_string(current_->progress()));
  start_next_download(now);
}

void ModelStager::start_next_download(TimePoint now) {
  if (pending_version_ == 0) return;
  const bool finishing = !current_->complete() && worth_finishing(now);
  if (finishing && current_->progress() < kNearlyCompleteFraction) return;
  TimePoint named_at = pending_since_;
  if (named_at - started_at_ < kStartupPeriod) named_at -= settings_.changeover / 2;
  next_ = make_download(pending_version_, named_at);
  pending_version_ = 0;
  // A version that can no longer be completed in time is replaced at once.
  if (!current_->complete() && !finishing) promote_next();
}

bool ModelStager::worth_finishing(TimePoint now) const {
  if (!current_->transferring()) return false;
  const TimePoint next_named_at = next_ ? next_->named_at() : pending_since_;
  const Duration lead_time = next_named_at - current_->named_at();
  const auto abandon_after = static_cast<Duration::rep>(
      static_cast<double>(settings_.changeover.count()) * kAbandonFraction);
  return lead_time >= copy_time() * kMinimumCopyTimes &&
         now - current_->named_at() < Duration(abandon_after);
}

Duration ModelStager::copy_time() const {
  if (settings_.link_bytes_per_second <= 0) return kDefaultCopyTime;
  const auto& manifest = *current_->manifest();
  const double bytes =
      static_cast<double>(manifest.chunk_bytes) * static_cast<double>(manifest.hashes.size());
  return from_seconds(bytes / settings_.link_bytes_per_second);
}

bool ModelStager::can_replace_current(TimePoint now) const {
  if (!current_->complete()) return !worth_finishing(now);
  // The next version would overwrite chunks that the engine may still activate.
  if (engine_stager_.order_pending()) return false;
  // Both versions are complete: one changeover is enough, unless an earlier process may have
  // ordered this one.
  const bool may_be_skipped = recovery_state_ == RecoveryState::done && next_->complete();
  return engine_stager_.has_activated() || may_be_skipped;
}

void ModelStager::promote_next() {
  // A version that has to be activated first stays the engine's source.
  if (!recovery_download_) engine_stager_.set_source(nullptr);
  if (!current_->complete()) {
    current_->stop_fetching();
    context_.origin.cancel_chunks(model_, current_->version());
  }
  previous_ = std::move(current_);
  current_ = std::move(next_);
}

TimePoint ModelStager::schedule_start(TimePoint ready_at, TimePoint now) {
  if (notified_version_ != current_->version()) {
    notified_version_ = current_->version();
    notified_at_ = now;
  }
  StartScheduleOptions options;
  options.changeover = settings_.changeover;
  const auto first_newer = named_at_.upper_bound(load_.weight_version);
  if (first_newer != named_at_.end()) options.first_newer_named_at = first_newer->second;
  options.notice = std::max(Duration::zero(), options.notice - (now - notified_at_));
  return scheduled_start(self_, agents_, current_->version(), current_->named_at(), ready_at,
                         options);
}

std::optional<TimePoint> ModelStager::leaves_at(TimePoint now) {
  if (const auto planned = engine_stager_.leaves_at()) return planned;
  const bool serves_older =
      load_.weight_version != 0 && load_.weight_version < current_->version() && !load_.busy;
  if (!serves_older || current_->complete()) return std::nullopt;
  const auto complete_at = current_->expected_completion(now);
  if (!complete_at) return std::nullopt;
  return schedule_start(*complete_at, now);
}

// ---- recovery of the engine's staging memory ----

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
    // Chunks that the engine already holds need not be fetched. But the engine may not respond, and
    // peers may need the chunks that this agent would fetch.
    if (!inventory_.complete() && now - download.manifest_received_at() < kInventoryTimeout) return;
    download.begin_transfer(all_known_bytes());
  });
}

std::uint64_t ModelStager::serving_version() const { return load_.busy ? 0 : load_.weight_version; }

void ModelStager::recover_staging(TimePoint now) {
  if (recovery_state_ == RecoveryState::done) return;
  if (recovery_state_ == RecoveryState::reissue_order) {
    // An engine that declines the order must still get new weights eventually.
    const bool declined = recovery_.earlier_orders_expired(now) && !engine_stager_.order_pending();
    if (engine_stager_.has_activated() || declined) finish_recovery();
    return;
  }
  if (!inventory_.complete()) {
    if (load_.alive) inventory_.read();
    return;
  }
  adopt_marked_version();
  if (!current_->manifest()) return;
  recovery_.on_inventory(inventory_.hashes());
  record_manifest(*current_->manifest());
  fetch_earlier_manifests(now);
  const auto decision = recovery_.decide(current_->version(), serving_version(), now);
  if (decision.kind == StagingRecoveryDecision::Kind::undecided) return;
  for (ChunkIndex chunk = 0; chunk < inventory_.hashes().size(); ++chunk) {
    const auto& hash = inventory_.hashes()[chunk];
    if (hash) engine_stager_.record_staged(chunk, *hash);
  }
  if (decision.kind == StagingRecoveryDecision::Kind::reissue_order) {
    reissue_order(decision.version);
  } else {
    finish_recovery();
  }
}

void ModelStager::adopt_marked_version() {
  if (!inventory_.marker_manifest()) return;
  recovery_.on_marker_found();
  for_each_download([&](VersionDownload& download) {
    download.accept_manifest(*inventory_.marker_manifest(), "staging");
  });
}

void ModelStager::fetch_earlier_manifests(TimePoint now) {
  for (const std::uint64_t version :
       recovery_.missing_manifests(current_->version(), serving_version())) {
    auto& fetcher = earlier_fetchers_[version];
    if (fetcher) continue;
    fetcher = std::make_unique<SwarmManifestFetcher>(
        model_, self_, context_.origin, context_.links,
        [this](const WeightManifest& manifest, const char*) { on_earlier_manifest(manifest); });
    fetcher->set_peers(agents_);
    fetcher->begin(version, now);
  }
  for (const auto& [version, fetcher] : earlier_fetchers_) fetcher->on_tick(now);
}

void ModelStager::on_earlier_manifest(const WeightManifest& manifest) {
  const auto entry = earlier_fetchers_.find(manifest.version);
  if (entry == earlier_fetchers_.end()) return;
  entry->second->stop();
  record_manifest(manifest);
}

void ModelStager::record_manifest(const WeightManifest& manifest) {
  known_manifests_[manifest.version] = manifest;
  recovery_.on_manifest(manifest);
}

void ModelStager::reissue_order(std::uint64_t version) {
  recovery_state_ = RecoveryState::reissue_order;
  callbacks_.log_line("staging", "staging model=" + model_ +
                                     " event=inherited version=" + std::to_string(version) +
                                     " serving=" + std::to_string(serving_version()));
  if (version == current_->version()) return;
  recovery_download_ = make_download(version, loop_now());
  recovery_download_->accept_manifest(known_manifests_.at(version), "inherited");
  recovery_download_->begin_transfer(inventory_.bytes());
}

void ModelStager::finish_recovery() {
  recovery_state_ = RecoveryState::done;
  engine_stager_.allow_marking();
  // The manifests of earlier versions were needed for the recovery alone.
  earlier_fetchers_.clear();
  known_manifests_.clear();
  engine_stager_.set_source(engine_source());
  recovery_download_.reset();
}

const VersionDownload* ModelStager::engine_source() const {
  if (recovery_state_ == RecoveryState::undecided) return nullptr;
  const bool earlier_first = recovery_state_ == RecoveryState::reissue_order && recovery_download_;
  const VersionDownload* source = earlier_first ? recovery_download_.get() : current_.get();
  return source->transferring() ? source : nullptr;
}

// ---- ticks and load reports ----

void ModelStager::on_tick() {
  const TimePoint now = loop_now();
  recover_staging(now);
  start_next_download(now);
  if (next_ && can_replace_current(now)) promote_next();
  if (!waiting_for_peers_) start_transfers(now);
  const bool copies_needed =
      recovery_state_ == RecoveryState::undecided || !current_->transferring();
  if (!copies_needed) inventory_.drop_bytes();
  engine_stager_.set_source(engine_source());
  for_each_download([&](VersionDownload& download) {
    const auto rank =
        static_cast<std::uint32_t>(changeover_rank(self_, agents_, download.version()));
    // An engine that serves no version goes first.
    download.set_request_rank(load_.weight_version == 0 ? 0 : 1 + rank);
    // While the current version is being completed the next one may use half of each link's window.
    const bool second = &download == next_.get() && !current_->complete();
    download.set_concurrent_downloads(second ? 2 : 1);
    if (!waiting_for_peers_) download.on_tick(now);
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
  waiting_for_peers_ = false;
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
  on_version_named(request.least_version());
  bool answered = false;
  for_each_download([&](VersionDownload& download) {
    const bool fits = request.least_version() == 0 || download.version() == request.least_version();
    if (answered || !fits || !download.manifest()) return;
    answered = true;
    download.on_manifest_request(peer);
  });
}

void ModelStager::on_manifest_document(const wire::ManifestDocument& document) {
  const WeightManifest manifest = decode_manifest(document);
  if (!plausible_manifest(manifest, model_)) return;
  // Agents pass on only confirmed manifests, so this version was named.
  if (current_->version() != 0) on_version_named(manifest.version);
  for_each_download([&](VersionDownload& download) { download.accept_manifest(manifest, "peer"); });
  on_earlier_manifest(manifest);
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
