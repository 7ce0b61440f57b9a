/// Tracks orders to start a version until none of them can be carried out any more.
///
/// A decision core: no I/O. An unanswered order may be carried out many seconds later, and the
/// engine then activates whatever its only staging memory holds. So the version that an order names
/// stays staged until the order is settled: answered, or void because the engine's order sequence
/// has changed. Each order states the sequence that it expects, and the engine declines it if that
/// no longer holds.
#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "host/engine_control.h"

namespace pumicemast {

class StartOrders {
 public:
  /// An order that expects `sequence` was sent; on_outcome() follows.
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
      case StartOutcome::begun:            // The engine's order sequence has risen.
      case StartOutcome::already_serving:  // Earlier orders no longer have any effect.
        settle_all();
        break;
      case StartOutcome::refused:
        break;  // Earlier orders may still be carried out.
    }
  }
  /// The engine reported `sequence` orders since its start.
  /// @param started_at_ms  start time of the engine by its own clock; 0 when it is not reported.
  /// @return whether this settled an unanswered order.
  bool on_report(std::uint64_t sequence, std::int64_t started_at_ms = 0) {
    const bool engine_restarted = started_at_ms_ != 0 && started_at_ms != started_at_ms_;
    started_at_ms_ = started_at_ms;
    if (unanswered_.empty()) return false;
    if (engine_restarted) {
      // The new process may have reached the same sequence, but orders in flight were lost with the
      // connections of the old one.
      unanswered_.clear();
      carried_out_ = false;
      return true;
    }
    // A higher sequence: an order was carried out. A lower one: the engine was restarted and its
    // connections were lost. An order that expects the reported sequence may still be carried out.
    const bool begun = sequence > 0 && unanswered_.contains(sequence - 1);
    const bool settled = std::erase_if(unanswered_, [&](std::uint64_t expected) {
                           return expected != sequence;
                         }) > 0;
    if (settled) carried_out_ = begun;
    return settled;
  }
  /// The engine serves the version that the orders name: late ones no longer have any effect.
  /// @return whether this settled an unanswered order.
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
  /// The last order was declined because the engine's sequence was not the expected one.
  bool stale(std::uint64_t sequence) const {
    return !under_way_ && last_outcome_ == StartOutcome::refused && sequence != expected_sequence_;
  }
  /// The engine has activated the staged version.
  bool carried_out() const { return carried_out_; }
  /// Orders sent for this version.
  std::uint32_t attempts() const { return attempts_; }

 private:
  void settle_all() {
    unanswered_.clear();
    carried_out_ = true;
  }

  std::uint64_t expected_sequence_ = 0;
  std::int64_t started_at_ms_ = 0;
  bool under_way_ = false;
  /// The sequences that unanswered orders expect.
  std::set<std::uint64_t> unanswered_;
  std::optional<StartOutcome> last_outcome_;
  bool carried_out_ = false;
  std::uint32_t attempts_ = 0;
};

}  // namespace pumicemast
