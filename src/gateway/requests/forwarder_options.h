/// Timeouts and limits of request forwarding.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

struct ForwarderOptions {
  /// How long the inferred end of a response is held back, in case an exit of its back end's
  /// process is reported. Agents poll their engines every 120 ms and report an exit to all gateways
  /// at once.
  Duration inferred_end_wait = milliseconds(250);
  std::uint64_t seed = 1;
  /// Retries that each first attempt earns, and retries that each service may save up. The bound
  /// applies to all gateways together; these are the parts of this gateway.
  double retry_ratio = 0.18;
  double retry_reserve = 8;
  /// Longest wait for capacity, as a fraction of the route's latency goal.
  double wait_fraction = 0.15;
  /// A request is admitted when the predicted time to its first token, plus the time it has waited,
  /// is within this fraction of the route's latency goal.
  double admission_fraction = 0.85;
  /// Longest Retry-After of a refusal, as a fraction of the caller's remaining time. The actual
  /// value is drawn from the upper half, so that callers refused at the same moment do not all
  /// return at the same moment.
  double retry_after_fraction = 0.32;
  Duration max_retry_after = seconds(2);
  /// Longest time to establish a connection to a back end.
  Duration connect_timeout = milliseconds(350);
  /// Longest silence of a back end during a stream before the request is moved to another back end,
  /// if one may run it. The shorter limit applies when no recent agent report says that the back
  /// end is alive. With such a report it may just be slow, and the work that it has done would have
  /// to be repeated elsewhere.
  Duration unconfirmed_silence_timeout = milliseconds(350);
  Duration healthy_silence_timeout = milliseconds(1600);
  /// An attempt without a first token is cancelled this long before requests may no longer start on
  /// the weights of its back end: the cancellation must still reach the back end in time.
  Duration late_start_margin = milliseconds(300);
  /// Plain responses up to this size are relayed only when complete.
  std::size_t max_buffered_response_bytes = 1U << 20U;
  /// An attempt fails when one event of its stream is larger: it is kept until it is complete.
  std::size_t max_event_bytes = 1U << 20U;
  /// An attempt ends when more bytes than this of a response have arrived that nobody gets: of one
  /// that says that the request has not run, or of a plain response in the middle of a stream.
  std::size_t max_unused_response_bytes = 64U << 10U;
};

}  // namespace pumicemast
