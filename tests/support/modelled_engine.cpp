#include "support/modelled_engine.h"

#include <algorithm>

namespace pumicemast::tests {

void ModelledEngine::submit(const EngineJob& job) {
  const auto later = [&](const Entry& entry) { return entry.job.priority > job.priority; };
  waiting_.insert(std::find_if(waiting_.begin(), waiting_.end(), later),
                  {job, job.answer_tokens, 0});
}

void ModelledEngine::cancel(std::uint64_t request) {
  const auto is_it = [&](const Entry& entry) { return entry.job.request == request; };
  std::erase_if(waiting_, is_it);
  std::erase_if(batch_, is_it);
}

void ModelledEngine::begin_pass(TimePoint start) {
  double new_prompt_tokens = 0;
  while (batch_.size() < profile_.slots && !waiting_.empty()) {
    new_prompt_tokens += waiting_.front().job.prompt_tokens;
    batch_.push_back(waiting_.front());
    waiting_.pop_front();
  }
  in_pass_ = !batch_.empty();
  if (!in_pass_) return;
  const double step_ms =
      profile_.step_ms + profile_.step_ms_per_slot * static_cast<double>(batch_.size());
  const double prefill_ms = new_prompt_tokens * 1000 / profile_.prompt_tokens_per_s;
  pass_ends_at_ = start + from_seconds((prefill_ms + step_ms * profile_.steps_per_pass) / 1000);
}

void ModelledEngine::end_pass(std::vector<EngineEvent>& events) {
  for (Entry& entry : batch_) {
    events.push_back({entry.job.request, EngineEvent::Kind::tokens, ++entry.events});
    entry.tokens_left -= profile_.steps_per_pass;
    if (entry.tokens_left <= 0) {
      events.push_back({entry.job.request, EngineEvent::Kind::finished, entry.events});
    }
  }
  std::erase_if(batch_, [](const Entry& entry) { return entry.tokens_left <= 0; });
}

std::vector<EngineEvent> ModelledEngine::advance(TimePoint now) {
  std::vector<EngineEvent> events;
  if (!in_pass_) begin_pass(now);
  while (in_pass_ && pass_ends_at_ <= now) {
    end_pass(events);
    begin_pass(pass_ends_at_);
  }
  return events;
}

}  // namespace pumicemast::tests
