/// An engine on virtual time that batches continuously, for tests that play load.
///
/// It works in passes: it lets what waits into its batch, reads the prompts that are new there,
/// and plays some steps; what it made leaves at the end of the pass.
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
};

/// What happened at the end of a pass.
struct EngineEvent {
  enum class Kind { tokens, finished };
  std::uint64_t request = 0;
  Kind kind = Kind::tokens;
  std::uint32_t number = 0;  ///< Of the events of this request, from 1.
};

class ModelledEngine {
 public:
  explicit ModelledEngine(EngineProfile profile) : profile_(std::move(profile)) {}

  void submit(const EngineJob& job) { waiting_.push_back({job, job.answer_tokens, 0}); }
  void cancel(std::uint64_t request);
  /// Works until `now`; what left the engine, in order.
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
