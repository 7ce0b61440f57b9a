/// Tells from the time that a caller states how long ago it asked first.
///
/// A decision core: no I/O. Callers state how long they will wait; one that was refused and comes
/// back states what is left of its own time. Nothing else links its attempts: each has an id of its
/// own and may meet another gateway. Two things are learnt of each group of callers:
/// - the usual times that first attempts state, where these are few;
/// - the times that callers will state who were told when to come back. Where these are a good part
///   of all that state such a time, whoever states it has come back.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"

namespace pumicemast {

class RetryEstimator {
 public:
  /// Notes a request whose caller waits for `stated`.
  /// @param group  callers that may be thought to wait equally long.
  void on_request(const std::string& group, Duration stated);
  /// A caller of the group was told when to come back.
  /// @param left    of its time, by then.
  /// @param waited  since it asked first, by then.
  void on_retry_advised(const std::string& group, Duration left, Duration waited);
  /// How long ago the caller asked first; zero when it seems to ask for the first time.
  Duration estimated_wait(const std::string& group, Duration stated) const;

 private:
  /// Callers that were told to come back, by the time that they will state then.
  struct AdvisedRetries {
    double weight = 0;
    double waited_ms = 0;  ///< Sum over them.
  };
  /// Recent requests of a group, in steps of `kStep` of the time that they state.
  struct History {
    std::map<std::int64_t, double> weights;
    double total = 0;
    std::map<std::int64_t, AdvisedRetries> advised;
  };
  static void halve_weights(History& history);
  static bool is_usual(const History& history, std::int64_t step);
  /// By the usual times; zero where there are none.
  static Duration wait_from_usual_time(const History& history, Duration stated);
  /// By the times at which callers were told to come back.
  static Duration wait_from_advised(const History& history, Duration stated);

  std::map<std::string, History> groups_;
};

}  // namespace pumicemast
