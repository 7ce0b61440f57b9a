/// Follows orders to start a version until none of them can be carried out any more.
///
/// A decision core: no I/O. An order that got no answer may be carried out many seconds later, and
/// the engine then takes whatever lies in its one staging place. So what an order names stays there
/// until the order is settled: answered, or overtaken by the engine's count of orders, which each
/// order states and which must still be true when it is carried out.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "host/engine_control.h"

namespace pumicemast {

class StartOrders {
 public:
  /// An order was given that states `sequence`; its outcome follows.
  void on_sent(std::uint64_t sequence) {
    expected_sequence_ = sequence;
    under_way_ = true;
    ++attempts_;
  }
  void on_outcome(StartOutcome outcome) {
    under_way_ = false;
    last_outcome_ = outcome;
    switch (outcome) {
      case StartOutcome::unknown:
        unanswered_.insert(expected_sequence_);
        break;
      case StartOutcome::begun:            // The engine's count has risen.
      case StartOutcome::already_serving:  // Earlier ones would find nothing to do.
        settle_all();
        break;
      case StartOutcome::refused:
        break;  // Earlier ones may still be carried out.
    }
  }
  /// The engine answered, and counts `sequence` orders since it was started.
  /// @param started_at_ms  when that was, by its own clock; 0 when it does not say.
  /// @return whether this settled an order without an answer.
  bool on_report(std::uint64_t sequence, std::int64_t started_at_ms = 0) {
    const bool engine_restarted = started_at_ms_ != 0 && started_at_ms != started_at_ms_;
    started_at_ms_ = started_at_ms;
    if (unanswered_.empty()) return false;
    if (engine_restarted) {
      // Its count may be the same again, but what was on its way ended with its connections.
      unanswered_.clear();
      carried_out_ = false;
      return true;
    }
    // A higher count: one was carried out. A lower one: the engine was started anew, and its
    // connections ended with it. An order that states what the engine counts may still come.
    const bool begun = sequence > 0 && unanswered_.contains(sequence - 1);
    const bool settled = std::erase_if(unanswered_, [&](std::uint64_t expected) {
                           return expected != sequence;
                         }) > 0;
    if (settled) carried_out_ = begun;
    return settled;
  }
  /// The engine serves what the orders name: any that comes later finds nothing to do.
  /// @return whether this settled an order without an answer.
  bool on_served() {
    if (unanswered_.empty()) return false;
    settle_all();
    return true;
  }
  /// Orders for another version follow.
  void begin_version() {
    carried_out_ = false;
    attempts_ = 0;
    last_outcome_.reset();
  }

  /// An order may still be carried out.
  bool pending() const { return under_way_ || !unanswered_.empty(); }
  bool in_flight() const { return under_way_; }
  bool unanswered() const { return !under_way_ && !unanswered_.empty(); }
  /// The last order was declined because the engine's count was another than it stated.
  bool stale(std::uint64_t sequence) const {
    return !under_way_ && last_outcome_ == StartOutcome::refused && sequence != expected_sequence_;
  }
  /// The engine has taken what lay there.
  bool carried_out() const { return carried_out_; }
  /// Orders given for this version.
  std::uint32_t attempts() const { return attempts_; }

 private:
  void settle_all() {
    unanswered_.clear();
    carried_out_ = true;
  }

  std::uint64_t expected_sequence_ = 0;
  std::int64_t started_at_ms_ = 0;
  bool under_way_ = false;
  /// The counts that orders without an answer stated.
  std::set<std::uint64_t> unanswered_;
  std::optional<StartOutcome> last_outcome_;
  bool carried_out_ = false;
  std::uint32_t attempts_ = 0;
};

}  // namespace pumicemast
