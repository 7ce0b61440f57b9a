/// Tracks the pauses that back ends have asked this gateway for, and decides when requests may be
/// sent to them again.
///
/// A decision core: no I/O. A back end that refuses a request may state for how long it wants no
/// others (HTTP's Retry-After). The pause concerns the gateway that was refused, and one
/// incarnation of the back end. After the pause single requests are sent, as by a half-open circuit
/// breaker, until one of them is accepted: the back end may refuse all of them again.
#pragma once

#include <cstddef>
#include <map>

#include "common/time.h"
#include "fleet/backend_record.h"

namespace pumicemast {

class BackendPushbacks {
 public:
  /// The back end refused a request and asked for a pause.
  /// @return whether it was not paused before.
  bool on_pushback(const BackendIncarnation& backend, Duration pause, TimePoint now);
  /// The back end has responded, without asking for a pause, to a request sent at `sent_at`.
  void on_accepted(const BackendIncarnation& backend, TimePoint sent_at);
  void on_sent(const BackendIncarnation& backend, TimePoint now);
  /// Whether a request may be sent now.
  bool admits(const BackendIncarnation& backend, TimePoint now) const;
  /// When the next request may be sent; in the past if one may be sent now.
  TimePoint admits_from(const BackendIncarnation& backend) const;
  /// Whether no back end is paused or being tried out after a pause.
  bool empty() const { return pauses_.empty(); }
  bool paused(const BackendIncarnation& backend, TimePoint now) const;
  /// Number of back ends that are paused.
  std::size_t paused_count(TimePoint now) const;
  /// Drops pauses that ended long ago. Call periodically.
  void sweep(TimePoint now);

 private:
  struct Pause {
    TimePoint until{};
    TimePoint next_trial_at{};  ///< After the pause, until a request is accepted.
  };
  std::map<BackendIncarnation, Pause> pauses_;
};

}  // namespace pumicemast
