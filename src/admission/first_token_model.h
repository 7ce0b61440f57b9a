/// Predicts when an engine would produce the first token of a request.
///
/// A decision core: no I/O. An engine works in passes: it prefills the prompts that have arrived,
/// then runs several decode steps for all running requests. The first event of a request leaves at
/// the end of the pass.
#pragma once

#include "fleet/fleet_configuration.h"

namespace pumicemast {

/// The load of an engine, as far as it is known here.
struct EngineLoad {
  double running = 0;         ///< Requests in its batch.
  double waiting = 0;         ///< Requests sent that were not in the batch at the last report.
  double pending_tokens = 0;  ///< Prompt tokens of requests without a first token.
  double slowdown = 1;  ///< Measured time over the profile's time; above 1 the engine is slow.
};

/// @param prompt_tokens  prompt tokens of the request.
/// @return milliseconds from sending the request to its first token.
double predict_first_token_ms(const EngineProfile& engine, const EngineLoad& load,
                              double prompt_tokens);

}  // namespace pumicemast
