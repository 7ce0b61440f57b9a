/// Continuous batching of the engine stand-in: each step gives every running request one
/// token; waiting requests join by priority as soon as the batch has a free slot.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "common/event_loop.h"

namespace pumicemast::standins {

struct GenerationJob {
  std::string tag;  ///< Of the weights that serve the job; fixed when it is accepted.
  std::string prompt_hash;
  std::uint32_t tokens = 16;
  std::uint32_t first_token = 0;  ///< Number of tokens to skip when a request is resumed.
  int priority = 0;
  std::function<void(std::uint32_t index, const std::string& token)> on_token;
  std::function<void()> on_finished;
};

struct BatcherOptions {
  Duration step = milliseconds(5);
  std::uint32_t batch_size = 16;
  std::uint32_t queue_limit = 64;
  std::uint32_t prefill_steps = 4;  ///< Skipped when the prompt's prefix is cached.
  std::size_t prefix_cache_entries = 64;
};

class EngineBatcher {
 public:
  explicit EngineBatcher(BatcherOptions options);

  /// @return a job number, or 0 when the queue is full.
  std::uint64_t submit(GenerationJob job);
  void cancel(std::uint64_t number);
  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
  }
  std::uint64_t prefix_hits() const { return prefix_hits_; }

 private:
  struct ScheduledJob {
    std::uint64_t number;
    GenerationJob job;
    std::uint32_t next_token;
    std::uint32_t prefill_left;
  };
  void step();
  void admit_waiting();
  bool cached(const std::string& prompt_hash);

  BatcherOptions options_;
  std::list<ScheduledJob> running_;
  std::multimap<int, ScheduledJob, std::greater<>> waiting_;  ///< By priority, then order.
  std::list<std::string> prefix_cache_;                       ///< Least recently used last.
  std::uint64_t next_number_ = 1;
  std::uint64_t prefix_hits_ = 0;
  Timer timer_;
};

}  // namespace pumicemast::standins
