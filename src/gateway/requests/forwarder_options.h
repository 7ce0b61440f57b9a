/// How a gateway carries requests: waits, limits and patience.
#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time.h"

namespace pumicemast {

struct ForwarderOptions {
  std::uint64_t seed = 1;
  /// Shared by all gateways: this one's part of the repeats.
  double retry_ratio = 0.18;
  double retry_reserve = 8;
  /// A request waits here for room at most this share of its goal.
  double wait_fraction = 0.15;
  /// Admitted when the predicted wait is within this share of what is left of the goal.
  double admission_fraction = 0.85;
  /// A caller that is refused is told to come back within this share of its time left, at a
  /// time drawn from the upper half, so that those who were refused together come apart.
  double retry_after_fraction = 0.32;
  Duration max_retry_after = seconds(2);
  Duration connect_timeout = milliseconds(350);
  /// A back end that is silent for so long is given up, if another one may run the request:
  /// soon when nothing says that it lives, late when its agent does (it may just be slow, and
  /// what it has done so far would be done again elsewhere).
  Duration unconfirmed_silence_timeout = milliseconds(350);
  Duration healthy_silence_timeout = milliseconds(1600);
  /// What has not begun on weights that are about to be forbidden is taken back so long before:
  /// the word must still reach the back end.
  Duration late_start_margin = milliseconds(300);
  std::size_t max_buffered_response_bytes = 1U
                                            << 20U;  ///< Answers up to it are sent only when whole.
};

}  // namespace pumicemast
