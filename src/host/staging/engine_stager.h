/// Brings a complete version from this agent's memory into the engine beside it.
///
/// Interprets charts/staging.ini: chunks are written to the engine as they come, behind a
/// marker that says so (host/staging/staging_marker.h); all that lies there is read back and
/// verified, and at its turn the engine is told to take it.
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
    /// When the engine leaves service has become known, or it is about to: gateways should know.
    std::function<void()> on_leaving;
    /// Whether requests that gateways sent to the engine have not begun yet.
    std::function<bool()> prompts_waiting;
    /// When this engine may leave service for the version that is staged.
    std::function<TimePoint(TimePoint now)> schedule_start;
    std::function<void(const std::string& kind, const std::string& line)> log_line;
  };

  EngineStager(std::string model, const StateChart& chart, EngineControl& engine, Metrics& metrics,
               Callbacks callbacks);

  /// Goes on with the version of `source`, whose manifest is known; null for none.
  void set_source(const VersionDownload* source);
  /// What lay at the engine in this place, as it was read: it need not be written again.
  void record_staged(ChunkIndex chunk, const Sha256& hash);
  /// No earlier process's order is pending: what lies there may be marked as no whole version.
  void allow_marking() { marking_allowed_ = true; }
  void on_load(const LoadReport& report);
  void on_tick(TimePoint now);

  /// The engine has taken, or is just taking, what lies there: it may be written over.
  bool has_activated() const;
  /// An order may still be carried out, and would take what lies there by then.
  bool order_pending() const { return orders_.pending(); }
  bool serving() const { return state_ == "LIVE"; }
  /// The engine leaves service, or is about to, or may do so at any moment.
  bool starting() const { return state_ == "STARTING" || order_pending(); }
  /// When the engine leaves service for the version that is staged, once that is planned.
  std::optional<TimePoint> leaves_at() const;

 private:
  void apply_event(const char* event);
  bool serves_source() const;
  void write_missing();
  /// Whether chunks are still to be written that a marker has to precede.
  bool needs_marker() const;
  bool is_staged(ChunkIndex chunk) const;
  /// The next chunk to write; nothing when all lie there, or those missing are not here yet.
  std::optional<ChunkIndex> next_chunk() const;
  /// @param hash  of `bytes`.
  void write(ChunkIndex chunk, const std::string& bytes, const Sha256& hash);
  void check_staged(ChunkIndex chunk);
  void on_checked(ChunkIndex chunk, bool intact);
  void on_verified();
  void begin_start();
  /// What is due while the engine is to take what is staged.
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
  std::uint64_t generation_ = 0;  ///< Answers to calls for an older source are dropped.
  /// What is thought to lie at the engine, by place.
  std::vector<std::optional<Sha256>> staged_;
  bool marking_allowed_ = false;
  std::string marker_;  ///< Of the source.
  Sha256 marker_hash_{};
  bool writing_ = false;
  TimePoint checked_at_{};
  std::optional<TimePoint> scheduled_start_;
  TimePoint gateways_notified_at_{};
  bool ordered_ = false;  ///< Within STARTING.
  TimePoint ordered_at_{};
  StartOrders orders_;
  LoadReport load_;
};

}  // namespace pumicemast
