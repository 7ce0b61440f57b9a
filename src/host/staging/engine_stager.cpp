#include "host/staging/engine_stager.h"

#include <algorithm>
#include <cassert>

#include "host/staging/staging_marker.h"
#include "host/staging/start_readiness.h"

namespace pumicemast {
namespace {

/// A verification older than this is repeated before the engine is started.
constexpr Duration kMaximumCheckAge = milliseconds(1500);
/// The same while a start order waits for requests to begin or has to be retried. A chunk that
/// becomes corrupt must be found within 3 s.
constexpr Duration kMaximumCheckAgeAtOrder = kMaximumCheckAge + StartReadinessOptions{}.max_wait;
/// Interval between retries of an unanswered start order. Each retry costs a call to the engine,
/// but the engine serves no requests until an order succeeds.
constexpr Duration kOrderRetryInterval = milliseconds(100);
/// A start order without effect for this long has failed: the chunks are verified again before the
/// next order.
constexpr Duration kStartTimeout = milliseconds(1500);

}  // namespace

const char* to_string(StartOutcome outcome) {
  switch (outcome) {
    case StartOutcome::begun:
      return "begun";
    case StartOutcome::already_serving:
      return "already_serving";
    case StartOutcome::refused:
      return "refused";
    case StartOutcome::unknown:
      return "unknown";
  }
  return "unknown";
}

EngineStager::EngineStager(std::string model, const StateChart& chart, EngineControl& engine,
                           Metrics& metrics, Callbacks callbacks)
    : model_(std::move(model)),
      chart_(chart),
      engine_(engine),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      state_(chart.initial()) {}

void EngineStager::apply_event(const char* event) {
  const std::string next = chart_.next(state_, event);
  if (next == state_) return;
  const std::uint64_t version = source_ == nullptr ? 0 : source_->version();
  callbacks_.log_line("staging", "staging model=" + model_ + " version=" + std::to_string(version) +
                                     " event=" + event + " state=" + state_ + "->" + next);
  state_ = next;
}

void EngineStager::set_source(const VersionDownload* source) {
  if (source == source_) return;
  assert(!order_pending());
  source_ = source;
  orders_.begin_version();
  ++generation_;
  writing_ = false;
  scheduled_start_.reset();
  apply_event("target_changed");
  if (source_ == nullptr) return;
  staged_.resize(source_->chunks().size());
  marker_ = encode_staging_marker(*source_->manifest());
  marker_hash_ = sha256(marker_);
  apply_event("manifest_read");
}

void EngineStager::record_staged(ChunkIndex chunk, const Sha256& hash) {
  if (chunk >= staged_.size()) staged_.resize(chunk + 1);
  staged_[chunk] = hash;
}

bool EngineStager::serves_source() const {
  return source_ != nullptr && load_.weight_version == source_->version() && !load_.busy;
}

bool EngineStager::has_activated() const {
  if (order_pending()) return false;
  return serving() || (state_ == "STARTING" && orders_.carried_out());
}

std::optional<TimePoint> EngineStager::leaves_at() const {
  const bool planned = state_ == "READY" && load_.weight_version != 0;
  return planned ? scheduled_start_ : std::nullopt;
}

void EngineStager::on_tick(TimePoint now) {
  if (state_ == "FETCHING") {
    write_missing();
  } else if (state_ == "READY" && scheduled_start_ && now >= *scheduled_start_) {
    if (now - checked_at_ > kMaximumCheckAge) {
      apply_event("check_expired");
      check_staged(0);
    } else {
      begin_start();
    }
  } else if (state_ == "STARTING") {
    advance_start(now);
  }
}

void EngineStager::advance_start(TimePoint now) {
  // The report of an unreachable engine looks like that of an engine without weights.
  if (!load_.alive) return;
  if (!ordered_) {
    const bool holds_no_weights = load_.weight_version == 0;
    if (ready_to_start(now - gateways_notified_at_, callbacks_.prompts_waiting(),
                       holds_no_weights)) {
      order_start(now);
    }
    return;
  }
  if (orders_.in_flight()) return;
  const Duration since_order = now - ordered_at_;
  const bool retry = orders_.unanswered() || orders_.stale(load_.order_sequence);
  if (retry && since_order >= kOrderRetryInterval) {
    order_start(now);
  } else if (since_order > kStartTimeout && !load_.busy && !serves_source()) {
    apply_event("start_failed");
    check_staged(0);
  }
}

bool EngineStager::is_staged(ChunkIndex chunk) const {
  return staged_[chunk] == source_->manifest()->hashes[chunk];
}

bool EngineStager::needs_marker() const {
  // A pending order may still activate the staged version: it must stay complete.
  if (!marking_allowed_ || order_pending() || staged_[kMarkerChunk] == marker_hash_) return false;
  const auto count = static_cast<ChunkIndex>(source_->manifest()->hashes.size());
  for (ChunkIndex chunk = kMarkerChunk + 1; chunk < count; ++chunk) {
    if (!is_staged(chunk)) return true;
  }
  return false;
}

std::optional<ChunkIndex> EngineStager::next_chunk() const {
  const auto count = static_cast<ChunkIndex>(source_->manifest()->hashes.size());
  bool others_staged = true;
  for (ChunkIndex chunk = kMarkerChunk + 1; chunk < count; ++chunk) {
    if (is_staged(chunk)) continue;
    if (source_->chunks()[chunk]) return chunk;
    others_staged = false;
  }
  const bool last = others_staged && !is_staged(kMarkerChunk);
  return last && source_->chunks()[kMarkerChunk] ? std::optional(kMarkerChunk) : std::nullopt;
}

void EngineStager::write(ChunkIndex chunk, const std::string& bytes, const Sha256& hash) {
  writing_ = true;
  staged_[chunk].reset();
  engine_.write_staged(model_, chunk, bytes,
                       [this, generation = generation_, chunk, hash](bool done) {
                         if (generation != generation_) return;
                         writing_ = false;
                         if (!done) return;  // Retried at the next tick.
                         staged_[chunk] = hash;
                         write_missing();
                       });
}

void EngineStager::write_missing() {
  if (writing_ || state_ != "FETCHING" || !load_.alive) return;
  const auto& hashes = source_->manifest()->hashes;
  if (needs_marker()) {
    write(kMarkerChunk, marker_, marker_hash_);
    return;
  }
  if (const auto chunk = next_chunk()) {
    write(*chunk, *source_->chunks()[*chunk], hashes[*chunk]);
    return;
  }
  const bool all_staged = std::equal(hashes.begin(), hashes.end(), staged_.begin());
  if (hashes.empty() || !all_staged) return;
  apply_event("all_staged");
  if (serves_source()) {
    on_verified();
  } else {
    check_staged(0);
  }
}

void EngineStager::check_staged(ChunkIndex chunk) {
  const auto& hashes = source_->manifest()->hashes;
  if (chunk == 0) checked_at_ = loop_now();
  if (chunk >= hashes.size()) {
    if (std::equal(hashes.begin(), hashes.end(), staged_.begin())) {
      on_verified();
    } else {
      apply_event("spoilt");
      write_missing();
    }
    return;
  }
  engine_.read_staged(model_, chunk,
                      [this, generation = generation_, chunk](std::optional<std::string> bytes) {
                        if (generation != generation_ || state_ != "CHECKING") return;
                        const Sha256& hash = source_->manifest()->hashes[chunk];
                        on_checked(chunk, bytes && sha256(*bytes) == hash);
                      });
}

void EngineStager::on_checked(ChunkIndex chunk, bool intact) {
  if (!intact) {
    metrics_.count("pumicemast_host_spoilt_chunks_total");
    staged_[chunk].reset();
  }
  check_staged(chunk + 1);
}

void EngineStager::on_verified() {
  apply_event("verified");
  const TimePoint now = loop_now();
  if (serves_source()) {
    apply_event("turn_came");
    apply_event("serving");
    return;
  }
  // A start that was scheduled before an earlier verification stays as it is.
  if (!scheduled_start_)
    scheduled_start_ = load_.weight_version == 0 ? now : callbacks_.schedule_start(now);
  if (*scheduled_start_ <= now) {
    begin_start();
  } else {
    callbacks_.on_leaving();
  }
}

void EngineStager::begin_start() {
  apply_event("turn_came");
  callbacks_.on_leaving();
  // Gateways stop sending now; requests that have reached the engine begin before it changes over.
  gateways_notified_at_ = loop_now();
  ordered_ = false;
}

void EngineStager::order_start(TimePoint now) {
  if (now - checked_at_ > kMaximumCheckAgeAtOrder) {
    apply_event("start_failed");
    check_staged(0);
    return;
  }
  ordered_ = true;
  ordered_at_ = now;
  orders_.on_sent(load_.order_sequence);
  engine_.start_serving({model_, source_->version(), load_.order_sequence},
                        [this](StartOutcome outcome) { on_start_outcome(outcome); });
}

void EngineStager::on_start_outcome(StartOutcome outcome) {
  orders_.on_outcome(outcome);
  metrics_.count("pumicemast_host_start_orders_total", {{"outcome", to_string(outcome)}});
  callbacks_.log_line("start",
                      "start model=" + model_ + " version=" + std::to_string(source_->version()) +
                          " attempt=" + std::to_string(orders_.attempts()) +
                          " took_ms=" + std::to_string(to_milliseconds(loop_now() - ordered_at_)) +
                          " outcome=" + to_string(outcome));
  if (outcome == StartOutcome::already_serving) apply_event("serving");
}

void EngineStager::on_load(const LoadReport& report) {
  load_ = report;
  if (!report.alive || source_ == nullptr) return;
  const bool settled = orders_.on_report(report.order_sequence, report.started_at_ms);
  const bool nothing_to_do = serves_source() && orders_.on_served();
  if (settled || nothing_to_do) {
    callbacks_.log_line(
        "start", "start model=" + model_ + " version=" + std::to_string(source_->version()) +
                     " sequence=" + std::to_string(report.order_sequence) +
                     " outcome=" + (orders_.carried_out() ? "begun" : "void") + " source=report");
  }
  if (state_ == "STARTING" && serves_source()) apply_event("serving");
  if (serving() && report.weight_version != source_->version() && !report.busy) {
    // The engine was restarted or lost its layers.
    apply_event("engine_lost");
    scheduled_start_.reset();
    check_staged(0);
  }
}

}  // namespace pumicemast
