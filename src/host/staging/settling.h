/// When what gateways sent to an engine has begun, so that it may be ordered to change weights.
///
/// A decision core: no I/O. A request that has not begun would begin on the old weights whenever
/// the machine goes on after standing still, and would wait for the whole change otherwise.
#pragma once

#include "common/time.h"

namespace pumicemast {

struct SettlingOptions {
  /// From the word to gateways until nothing more comes from them.
  Duration word_time = milliseconds(60);
  /// What has reached the engine begins before the order, unless that takes so long.
  Duration longest = milliseconds(800);
};

/// @param since           how long ago gateways were told to send nothing more.
/// @param prompts_wait    requests are there that have not begun, as gateways tell.
/// @param serves_nothing  the engine holds no weights: nothing was sent there.
inline bool has_settled(Duration since, bool prompts_wait, bool serves_nothing,
                        const SettlingOptions& options = {}) {
  if (serves_nothing || since >= options.longest) return true;
  return since >= options.word_time && !prompts_wait;
}

}  // namespace pumicemast
