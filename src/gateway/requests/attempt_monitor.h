/// Judges attempts in progress: when one is to be given up, or replaced.
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
  not_connected,    ///< Its connection does not come up: nothing was sent.
  starts_too_late,  ///< It has not begun, and would begin on weights that may start nothing by
                    ///< then.
  stalled,          ///< Nothing came for so long that another back end may do better.
};

class AttemptMonitor {
 public:
  AttemptMonitor(const BackendPool& pool, const WeightTargets& targets,
                 const ForwarderOptions& options)
      : pool_(pool), targets_(targets), options_(options) {}

  /// @param session  one whose request was sent.
  AttemptState assess(const RequestSession& session, TimePoint now) const;

 private:
  bool starts_too_late(const RequestSession& session, TimePoint now) const;
  Duration silence_timeout(const RequestSession& session, TimePoint now) const;

  const BackendPool& pool_;
  const WeightTargets& targets_;
  const ForwarderOptions& options_;
};

}  // namespace pumicemast
