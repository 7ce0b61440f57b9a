/// Tracks the pauses that back ends have asked this gateway for.
///
/// A decision core: no I/O. A back end that refuses a request may state for how long it wants no
/// others (HTTP's Retry-After). The pause concerns the gateway that was refused, and one
/// incarnation of the back end.
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
  bool paused(const BackendIncarnation& backend, TimePoint now) const;
  /// Number of back ends that are paused.
  std::size_t paused_count(TimePoint now) const;
  /// Drops pauses that have ended. Call periodically.
  void sweep(TimePoint now);

 private:
  std::map<BackendIncarnation, TimePoint> paused_until_;
};

}  // namespace pumicemast
