#include "standins/engine_batcher.h"

#include <algorithm>

namespace pumicemast::standins {

EngineBatcher::EngineBatcher(BatcherOptions options) : options_(options) {}

bool EngineBatcher::cached(const std::string& prompt_hash) {
  const auto found = std::find(prefix_cache_.begin(), prefix_cache_.end(), prompt_hash);
  const bool hit = found != prefix_cache_.end();
  if (hit) prefix_cache_.erase(found);
  prefix_cache_.push_front(prompt_hash);
  if (prefix_cache_.size() > options_.prefix_cache_entries) prefix_cache_.pop_back();
  if (hit) ++prefix_hits_;
  return hit;
}

std::uint64_t EngineBatcher::submit(GenerationJob job) {
  if (waiting_.size() >= options_.queue_limit) return 0;
  const std::uint64_t number = next_number_++;
  const std::uint32_t prefill = cached(job.prompt_hash) ? 0 : options_.prefill_steps;
  const int priority = job.priority;
  const std::uint32_t first = job.first_token;
  waiting_.emplace(priority, ScheduledJob{number, std::move(job), first, prefill});
  if (!timer_.active()) timer_.start_repeating(options_.step, [this] { step(); });
  return number;
}

void EngineBatcher::cancel(std::uint64_t number) {
  running_.remove_if([&](const ScheduledJob& entry) { return entry.number == number; });
  std::erase_if(waiting_, [&](const auto& entry) { return entry.second.number == number; });
}

void EngineBatcher::admit_waiting() {
  while (running_.size() < options_.batch_size && !waiting_.empty()) {
    running_.push_back(std::move(waiting_.begin()->second));
    waiting_.erase(waiting_.begin());
  }
}

void EngineBatcher::step() {
  admit_waiting();
  std::vector<std::function<void()>> callbacks;
  for (auto entry = running_.begin(); entry != running_.end();) {
    if (entry->prefill_left > 0) {
      --entry->prefill_left;
      ++entry;
      continue;
    }
    const GenerationJob& job = entry->job;
    if (entry->next_token < job.tokens) {
      const std::uint32_t index = entry->next_token++;
      std::string token = job.tag + ":" + std::to_string(index) + ":" + job.prompt_hash + " ";
      callbacks.push_back(
          [on_token = job.on_token, index, token = std::move(token)] { on_token(index, token); });
    }
    if (entry->next_token < job.tokens) {
      ++entry;
      continue;
    }
    callbacks.push_back(job.on_finished);
    entry = running_.erase(entry);
  }
  if (running_.empty() && waiting_.empty()) timer_.cancel();
  for (const auto& callback : callbacks) callback();
}

}  // namespace pumicemast::standins
