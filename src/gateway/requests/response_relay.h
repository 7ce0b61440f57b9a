/// Passes what a back end answers on to the caller.
///
/// A decision core: no I/O. A plain answer goes out only when it is whole, up to a size; a stream
/// by whole events where it may be resumed, so that another run can go on after the last one.
#pragma once

#include <string_view>

#include "gateway/backends/backend_pool.h"
#include "gateway/requests/forwarder_actions.h"
#include "gateway/requests/forwarder_options.h"
#include "gateway/requests/request_session.h"

namespace pumicemast {

class ResponseRelay {
 public:
  ResponseRelay(BackendPool& pool, const ForwarderOptions& options)
      : pool_(pool), options_(options) {}

  /// Bytes of the body of the session's attempt in progress.
  void on_body(RequestNumber number, RequestSession& session, std::string_view bytes, TimePoint now,
               ForwarderActions& actions);
  /// The answer is complete: what was held back goes out, and its end.
  void finish(RequestNumber number, RequestSession& session, TimePoint now,
              ForwarderActions& actions);

 private:
  void on_events(RequestNumber number, RequestSession& session, std::string_view bytes,
                 TimePoint now, ForwarderActions& actions);
  void record_progress(RequestSession& session, TimePoint now);

  BackendPool& pool_;
  const ForwarderOptions& options_;
};

}  // namespace pumicemast
