/// Model of an engine with continuous batching on virtual time, for load simulations.
///
/// It works in passes: it admits waiting requests to its batch, prefills their prompts and runs
/// several decode steps. The tokens are sent at the end of the pass.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "common/time.h"
#include "fleet/fleet_configuration.h"

namespace pumicemast::tests {

struct EngineJob {
  std::uint64_t request = 0;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  int priority = 0;  ///< Waiting jobs run in this order, 0 first.
};

/// Output of one request at the end of a pass.
struct EngineEvent {
  enum class Kind { tokens, finished };
  std::uint64_t request = 0;
  Kind kind = Kind::tokens;
  std::uint32_t number = 0;  ///< Sequence number within the request, from 1.
};

class ModelledEngine {
 public:
  explicit ModelledEngine(EngineProfile profile) : profile_(std::move(profile)) {}

  void submit(const EngineJob& job);
  void cancel(std::uint64_t request);
  /// Runs all passes that end by `now`.
  /// @return their events, in order.
  std::vector<EngineEvent> advance(TimePoint now);
  std::uint32_t running() const { return static_cast<std::uint32_t>(batch_.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(waiting_.size()); }

 private:
  struct Entry {
    EngineJob job;
    double tokens_left = 0;
    std::uint32_t events = 0;
  };
  void begin_pass(TimePoint start);
  void end_pass(std::vector<EngineEvent>& events);

  EngineProfile profile_;
  std::deque<Entry> waiting_;
  std::vector<Entry> batch_;
  TimePoint pass_ends_at_{};
  bool in_pass_ = false;
};

}  // namespace pumicemast::tests
