/// Decides when an attempt in progress is to be cancelled or replaced.
///
/// A decision core: no I/O.
#pragma once

#include "gateway/backends/backend_pool.h"
#include "gateway/backends/weight_targets.h"
#include "gateway/requests/forwarder_options.h"
#include "gateway/requests/request_session.h"

namespace pumicemast {

enum class AttemptState {
  healthy,
  not_connected,    ///< The connect timeout has expired; nothing was sent.
  starts_too_late,  ///< No first token yet, and within `late_start_margin` requests may no longer
                    ///< start on the weights of its back end.
  stalled,  ///< No data for longer than the silence timeout; another back end may be faster.
};

class AttemptMonitor {
 public:
  AttemptMonitor(const BackendPool& pool, const WeightTargets& targets,
                 const ForwarderOptions& options)
      : pool_(pool), targets_(targets), options_(options) {}

  /// @param session  a session whose request has been sent to a back end.
  AttemptState assess(const RequestSession& session, TimePoint now) const;

 private:
  bool starts_too_late(const RequestSession& session, TimePoint now) const;
  Duration silence_timeout(const RequestSession& session, TimePoint now) const;

  const BackendPool& pool_;
  const WeightTargets& targets_;
  const ForwarderOptions& options_;
};

}  // namespace pumicemast
