/// Decides when an engine may be ordered to change weights.
///
/// A decision core: no I/O. The engine is ready once the requests sent to it have begun. A request
/// that has not begun would wait for the whole changeover, or, if the machine was paused, begin on
/// the old weights whenever it resumes.
#pragma once

#include "common/time.h"

namespace pumicemast {

struct StartReadinessOptions {
  /// From the notification of the gateways until no more requests arrive from them.
  Duration notification_delay = milliseconds(60);
  /// The order waits at most this long for requests at the engine to begin.
  Duration max_wait = milliseconds(800);
};

/// @param since_notification  how long ago gateways were told to send no more requests.
/// @param prompts_waiting     gateways report requests at the engine that have not begun.
/// @param holds_no_weights    the engine holds no weights, so that no requests were sent to it.
inline bool ready_to_start(Duration since_notification, bool prompts_waiting, bool holds_no_weights,
                           const StartReadinessOptions& options = {}) {
  if (holds_no_weights || since_notification >= options.max_wait) return true;
  return since_notification >= options.notification_delay && !prompts_waiting;
}

}  // namespace pumicemast
