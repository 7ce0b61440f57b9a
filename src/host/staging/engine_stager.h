/// Stages a version from this agent's memory at its engine and has the engine activate it.
///
/// Interprets charts/staging.ini: chunks are written to the engine's staging memory as they arrive,
/// after a marker that identifies the content as incomplete (host/staging/staging_marker.h). Once
/// all are written they are read back and verified, and at the scheduled time the engine is ordered
/// to activate them.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "common/event_loop.h"
#include "common/metrics.h"
#include "common/state_chart.h"
#include "host/download/version_download.h"
#include "host/engine_control.h"
#include "host/host_settings.h"
#include "host/staging/start_orders.h"

namespace pumicemast {

class EngineStager {
 public:
  struct Callbacks {
    /// The time at which the engine leaves service has become known, or it leaves now: gateways
    /// should be informed.
    std::function<void()> on_leaving;
    /// Whether any requests that gateways sent to the engine have not begun yet.
    std::function<bool()> prompts_waiting;
    /// When this engine may leave service to activate the staged version.
    std::function<TimePoint(TimePoint now)> schedule_start;
    std::function<void(const std::string& kind, const std::string& line)> log_line;
  };

  EngineStager(std::string model, const StateChart& chart, EngineControl& engine, Metrics& metrics,
               Callbacks callbacks);

  /// Stages the version of `source` from now on. Its manifest must be known; null for none.
  void set_source(const VersionDownload* source);
  /// Records a chunk that was read from the engine's staging memory: it need not be written again.
  void record_staged(ChunkIndex chunk, const Sha256& hash);
  /// No start order of an earlier process is pending: the staging memory may be marked incomplete.
  void allow_marking() { marking_allowed_ = true; }
  void on_load(const LoadReport& report);
  void on_tick(TimePoint now);

  /// The engine has activated the staged version or is activating it: the staging memory may be
  /// overwritten.
  bool has_activated() const;
  /// A start order may still be carried out and would activate whatever is staged at that time.
  bool order_pending() const { return orders_.pending(); }
  bool serving() const { return state_ == "LIVE"; }
  /// The engine is leaving service, is about to, or may do so at any moment.
  bool starting() const { return state_ == "STARTING" || order_pending(); }
  /// When the engine leaves service to activate the staged version, once that is scheduled.
  std::optional<TimePoint> leaves_at() const;

 private:
  void apply_event(const char* event);
  bool serves_source() const;
  void write_missing();
  /// Whether the marker has to be written before the missing chunks.
  bool needs_marker() const;
  bool is_staged(ChunkIndex chunk) const;
  /// The next chunk to write; nothing when all are staged or the missing ones have not arrived yet.
  std::optional<ChunkIndex> next_chunk() const;
  /// @param hash  of `bytes`.
  void write(ChunkIndex chunk, const std::string& bytes, const Sha256& hash);
  void check_staged(ChunkIndex chunk);
  void on_checked(ChunkIndex chunk, bool intact);
  void on_verified();
  void begin_start();
  /// Sends or retries the start order while the chart is in STARTING.
  void advance_start(TimePoint now);
  void order_start(TimePoint now);
  void on_start_outcome(StartOutcome outcome);

  std::string model_;
  const StateChart& chart_;
  EngineControl& engine_;
  Metrics& metrics_;
  Callbacks callbacks_;
  std::string state_;
  const VersionDownload* source_ = nullptr;
  std::uint64_t generation_ = 0;  ///< Responses for an older source are ignored.
  /// Hashes of the chunks in the engine's staging memory, as far as they are known.
  std::vector<std::optional<Sha256>> staged_;
  bool marking_allowed_ = false;
  std::string marker_;  ///< Encoded from the manifest of the source.
  Sha256 marker_hash_{};
  bool writing_ = false;
  TimePoint checked_at_{};
  std::optional<TimePoint> scheduled_start_;
  TimePoint gateways_notified_at_{};
  bool ordered_ = false;  ///< The first start order was sent; only used in STARTING.
  TimePoint ordered_at_{};
  StartOrders orders_;
  LoadReport load_;
};

}  // namespace pumicemast
