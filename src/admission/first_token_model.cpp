#include "admission/first_token_model.h"

#include <algorithm>
#include <cmath>

namespace pumicemast {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMillion = 1e6;
/// Share of the prompts without a first token that is still to be prefilled; the others are in the
/// decode steps that produce their first event. It is the duration of a pass divided by the time
/// from sending a request to its first event, 72 ms by 125 ms, on a fleet with 1.4 times the
/// traffic that it can serve.
constexpr double kUnreadPromptShare = 0.6;
/// Expected share of the current pass that remains when a request reaches an engine.
constexpr double kRemainingPassShare = 0.5;

/// Time that a request waits for a slot of the batch, which becomes free when a running request
/// ends.
double slot_wait_ms(const EngineProfile& engine, const EngineLoad& load, double step_ms,
                    double prefill_ms_per_token) {
  const double slots = engine.slots;
  const double excess_requests = load.running + load.waiting + 1 - slots;
  if (excess_requests <= 0) return 0;
  // A running request holds its slot while its tokens are decoded and while other requests' prompts
  // are prefilled.
  const double slot_hold_ms = engine.usual_answer_tokens * step_ms +
                              slots * engine.usual_prompt_tokens * prefill_ms_per_token;
  return excess_requests * slot_hold_ms / slots;
}

}  // namespace

double predict_first_token_ms(const EngineProfile& engine, const EngineLoad& load,
                              double prompt_tokens) {
  const double batch = std::min<double>(load.running, engine.slots);
  const double step_ms = engine.step_ms + engine.step_ms_per_slot * batch;
  const double prefill_ms_per_token = kMillisecondsPerSecond / engine.prompt_tokens_per_s;
  const double tokens_to_read = load.pending_tokens * kUnreadPromptShare + prompt_tokens;
  const double attention_ms =
      prompt_tokens * prompt_tokens / 2 / kMillion * engine.attention_ms_per_million_pairs;
  // Each step of a pass prefills up to this many prompt tokens.
  const double tokens_per_pass = static_cast<double>(std::max(1U, engine.prefill_chunk_tokens)) *
                                 std::max(1U, engine.steps_per_pass);
  const bool engine_busy = load.running > 0 || load.pending_tokens > 0;
  const double passes =
      engine_busy ? kRemainingPassShare + std::ceil(tokens_to_read / tokens_per_pass) : 0;
  const double steps_ms = passes * step_ms * engine.steps_per_pass;
  return load.slowdown * (slot_wait_ms(engine, load, step_ms, prefill_ms_per_token) +
                          tokens_to_read * prefill_ms_per_token + attention_ms + steps_ms);
}

}  // namespace pumicemast
