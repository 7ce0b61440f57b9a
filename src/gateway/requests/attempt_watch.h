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
  sound,
  not_connected,    ///< Its connection does not come up: nothing was sent.
  begins_too_late,  ///< It has not begun, and would begin on weights that may start nothing by
                    ///< then.
  silent,           ///< Nothing came for so long that another back end may do better.
};

class AttemptWatch {
 public:
  AttemptWatch(const BackendPool& pool, const WeightTargets& targets,
               const ForwarderOptions& options)
      : pool_(pool), targets_(targets), options_(options) {}

  /// @param session  one whose request was sent.
  AttemptState judge(const RequestSession& session, TimePoint now) const;

 private:
  bool begins_too_late(const RequestSession& session, TimePoint now) const;
  Duration longest_silence(const RequestSession& session, TimePoint now) const;

  const BackendPool& pool_;
  const WeightTargets& targets_;
  const ForwarderOptions& options_;
};

}  // namespace pumicemast
