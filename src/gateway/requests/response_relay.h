/// Relays a back end's response to the caller.
///
/// A decision core: no I/O. A plain response is buffered until it is complete, up to
/// `max_buffered_response_bytes`. A stream on a resumable route is relayed in complete events, so
/// that another attempt can continue after the last one; other streams are relayed as they arrive.
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

  /// Handles body bytes received by the session's current attempt.
  void on_body(RequestNumber number, RequestSession& session, std::string_view bytes, TimePoint now,
               ForwarderActions& actions);
  /// Whether the response has an event, or bytes that nobody gets, beyond the limits of the
  /// options.
  bool exceeds_limits(const RequestSession& session) const;
  /// The response is complete: relays whatever is still buffered and ends the response.
  void finish(RequestNumber number, RequestSession& session, TimePoint now,
              ForwarderActions& actions);

 private:
  void on_events(RequestNumber number, RequestSession& session, std::string_view bytes,
                 TimePoint now, ForwarderActions& actions);
  /// Follows the events of a response whose bytes are not kept for them.
  static void follow_events(RequestSession& session, std::string_view bytes);
  void record_progress(RequestSession& session, TimePoint now);

  BackendPool& pool_;
  const ForwarderOptions& options_;
};

}  // namespace pumicemast
