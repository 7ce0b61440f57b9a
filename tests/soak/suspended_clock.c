/* Simulates a suspended machine for a process that was stopped: CLOCK_MONOTONIC does not advance
 * while the process is stopped, CLOCK_BOOTTIME does. The soak preloads this into the processes
 * that it freezes. A running process of the system reads the clock at least every 0.1 s, so a gap
 * of more than 0.25 s between two readings counts as a stop. */
#define _GNU_SOURCE
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static const long long kSuspendThresholdNs = 250000000;
static const long long kSecondNs = 1000000000;

int clock_gettime(clockid_t clock, struct timespec *time) {
  static long long last_ns;
  static long long suspended_ns;
  long failed = syscall(SYS_clock_gettime, clock, time);
  if (failed != 0 || clock != CLOCK_MONOTONIC) return (int)failed;
  long long now_ns = time->tv_sec * kSecondNs + time->tv_nsec;
  if (last_ns != 0 && now_ns - last_ns > kSuspendThresholdNs) suspended_ns += now_ns - last_ns;
  last_ns = now_ns;
  time->tv_sec = (now_ns - suspended_ns) / kSecondNs;
  time->tv_nsec = (now_ns - suspended_ns) % kSecondNs;
  return 0;
}
