/// Computes what a request needs, how long it may wait, and when a refused caller should retry.
///
/// A decision core: no I/O.
#pragma once

#include <optional>
#include <random>

#include "admission/retry_estimator.h"
#include "gateway/backends/backend_pool.h"
#include "gateway/backends/weight_targets.h"
#include "gateway/requests/forwarder_options.h"
#include "gateway/requests/request_session.h"

namespace pumicemast {

class RequestPlanner {
 public:
  RequestPlanner(const WeightTargets& targets, const ForwarderOptions& options);

  /// Sets the estimated first arrival, the end of the wait for capacity, and the deadline.
  void plan_times(RequestSession& session);
  BackendRequirements backend_requirements(const RequestSession& session, TimePoint now) const;
  /// Longest predicted time to the first token at which the request is still sent.
  double admission_limit_ms(const RequestSession& session, TimePoint now) const;
  /// How long from now a slot of an engine would still be of use to a request that waits for one:
  /// until its first token could not be admitted any more. A returning caller waits no longer than
  /// without a queue. Not positive if a slot is of no use at all.
  /// @param expected_ms  predicted time from sending the request to its first token.
  Duration slot_useful_for(const RequestSession& session, double expected_ms, TimePoint now) const;
  /// Random Retry-After time for a refused caller; zero when too little time is left for a retry.
  /// @param earliest  before this time a retry would be refused again.
  Duration random_retry_after(const RequestSession& session, TimePoint now,
                              std::optional<TimePoint> earliest = std::nullopt);
  /// The same for a caller to whom engines denied a slot: not before the time at which they expect
  /// one, but never later than callers wait.
  Duration random_retry_after_slot(const RequestSession& session, TimePoint now,
                                   TimePoint expected_at);
  /// Records the Retry-After time sent to the caller, to recognize the request when it returns.
  void record_retry_after(const RequestSession& session, Duration retry_after, TimePoint now);

 private:
  /// Upper bound of a random Retry-After time; zero when too little time is left for a retry.
  Duration longest_retry_after(Duration left) const;
  void estimate_first_arrival(RequestSession& session);

  const WeightTargets& targets_;
  const ForwarderOptions& options_;
  RetryEstimator retry_estimator_;
  std::minstd_rand random_;
};

}  // namespace pumicemast
