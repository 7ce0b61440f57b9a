/// When what gateways sent to an engine has begun, so that it may be ordered to change weights.
///
/// A decision core: no I/O. A request that has not begun would begin on the old weights whenever
/// the machine goes on after standing still, and would wait for the whole change otherwise.
#pragma once

#include "common/time.h"

namespace pumicemast {

struct StartReadinessOptions {
  /// From the word to gateways until nothing more comes from them.
  Duration notification_delay = milliseconds(60);
  /// What has reached the engine begins before the order, unless that takes so long.
  Duration max_wait = milliseconds(800);
};

/// @param since           how long ago gateways were told to send nothing more.
/// @param prompts_waiting    requests are there that have not begun, as gateways tell.
/// @param holds_no_weights  the engine holds no weights: nothing was sent there.
inline bool ready_to_start(Duration since_notification, bool prompts_waiting, bool holds_no_weights,
                           const StartReadinessOptions& options = {}) {
  if (holds_no_weights || since_notification >= options.max_wait) return true;
  return since_notification >= options.notification_delay && !prompts_waiting;
}

}  // namespace pumicemast
