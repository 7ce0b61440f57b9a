/// Estimates from the deadline that a caller states how long ago it first asked.
///
/// A decision core: no I/O. Callers state how long they will wait; a caller that was refused and
/// retries states what remains of its own time. Nothing else links the attempts: each has its own
/// id and may reach another gateway. Two things are learnt for each group of callers:
/// - the usual deadlines of first attempts, if there are few different ones;
/// - the deadlines that refused callers will state when they retry as advised. If such callers are
///   a large part of all that state a deadline, every caller that states it counts as retrying.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class RetryEstimator {
 public:
  /// Records a request whose caller waits for `stated`.
  /// @param group  callers that are expected to start with the same deadline.
  void on_request(const std::string& group, Duration stated);
  /// A caller of the group was refused and told when to retry.
  /// @param left    remaining time of the caller at the retry.
  /// @param waited  time from its first attempt to the retry.
  void on_retry_advised(const std::string& group, Duration left, Duration waited);
  /// How long ago the caller first asked; zero when this looks like a first attempt.
  Duration estimated_wait(const std::string& group, Duration stated) const;

 private:
  /// Retries that callers were advised to make, for one step of the deadlines that they will state.
  struct AdvisedRetries {
    double weight = 0;
    double waited_ms = 0;  ///< Sum over these retries.
  };
  /// Recent requests of a group, by their deadlines in steps of `kStep`.
  struct History {
    std::map<std::int64_t, double> weights;
    double total = 0;
    std::map<std::int64_t, AdvisedRetries> advised;
  };
  static void halve_weights(History& history);
  static bool is_usual(const History& history, std::int64_t step);
  /// Estimate from the usual deadlines; zero when none applies.
  static Duration wait_from_usual_time(const History& history, Duration stated);
  /// Estimate from the advised retries; zero when there are too few.
  static Duration wait_from_advised(const History& history, Duration stated);

  std::map<std::string, History> groups_;
};

}  // namespace pumicemast
