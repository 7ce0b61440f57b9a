/// What a request needs, how long it may wait, and when its caller is to come back.
///
/// A decision core: no I/O.
#pragma once

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

  /// When its caller asked first, until when the request may wait, and until when it must be
  /// answered.
  void plan_times(RequestSession& session);
  BackendNeed need_of(const RequestSession& session, TimePoint now) const;
  /// The longest predicted time to the first token with which the request is worth sending.
  double admission_limit_ms(const RequestSession& session, TimePoint now) const;
  /// When a caller that is turned away is to come back; zero when it is not worth it.
  Duration draw_retry_after(const RequestSession& session, TimePoint now);
  /// Its caller is told to come back after so long.
  void note_told(const RequestSession& session, Duration retry_after, TimePoint now);

 private:
  void note_first_asked(RequestSession& session);

  const WeightTargets& targets_;
  const ForwarderOptions& options_;
  RetryEstimator retry_estimator_;
  std::minstd_rand random_;
};

}  // namespace pumicemast
