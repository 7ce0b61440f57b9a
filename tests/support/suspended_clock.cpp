#include "support/suspended_clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <ctime>

namespace pumicemast::tests {
namespace {

std::int64_t suspended_ns = 0;
constexpr std::int64_t kNanosecondsPerSecond = 1000000000;

}  // namespace

void suspend_machine(Duration length) {
  suspended_ns += std::chrono::duration_cast<std::chrono::nanoseconds>(length).count();
}

std::int64_t suspended_time_ns() { return suspended_ns; }

}  // namespace pumicemast::tests

/// Overrides the function of the C library, for libraries as well: the symbols of the executable
/// take precedence.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const long failed = syscall(SYS_clock_gettime, clock, time);
  if (failed != 0) return static_cast<int>(failed);
  if (clock != CLOCK_BOOTTIME) return 0;
  const std::int64_t nanoseconds = time->tv_nsec + pumicemast::tests::suspended_time_ns();
  time->tv_sec += nanoseconds / pumicemast::tests::kNanosecondsPerSecond;
  time->tv_nsec = nanoseconds % pumicemast::tests::kNanosecondsPerSecond;
  return 0;
}
