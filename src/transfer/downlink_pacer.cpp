#include "transfer/downlink_pacer.h"

namespace pumicemast {
namespace {

/// Shorter pauses are not worth a timer.
constexpr Duration kMinimumPause = milliseconds(1);

}  // namespace

void DownlinkPacer::charge(std::size_t bytes) {
  if (!bounded_) return;
  const TimePoint now = loop_now();
  bucket_.take_into_debt(static_cast<double>(bytes), now);
  const Duration wait = bucket_.time_until(0, now);
  if (wait < kMinimumPause || timer_.active()) return;
  links_.set_reading(false);
  timer_.start_once(wait, [this] { links_.set_reading(true); });
}

}  // namespace pumicemast
