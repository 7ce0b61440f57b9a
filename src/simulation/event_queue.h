/// Event queue on virtual time. Events with equal times run in the order of scheduling.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "common/time.h"

namespace pumicemast::simulation {

class EventQueue {
 public:
  using Callback = std::function<void()>;

  TimePoint now() const { return now_; }
  void schedule_at(TimePoint time, Callback callback) {
    events_.push({std::max(time, now_), next_sequence_++, std::move(callback)});
  }
  void schedule_in(Duration delay, Callback callback) {
    schedule_at(now_ + delay, std::move(callback));
  }
  /// Runs the next event. @return false if there is none.
  bool run_next() {
    if (events_.empty()) return false;
    // The order depends only on time and sequence number, so the callback can be moved out.
    Callback callback = std::move(const_cast<Event&>(events_.top()).callback);
    now_ = events_.top().time;
    events_.pop();
    ++executed_;
    callback();
    return true;
  }
  std::uint64_t executed() const { return executed_; }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t sequence;
    Callback callback;
    bool operator<(const Event& other) const {
      if (time != other.time) return time > other.time;
      return sequence > other.sequence;
    }
  };
  std::priority_queue<Event> events_;
  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t executed_ = 0;
};

}  // namespace pumicemast::simulation
