#include "transport/silence_limits.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace pumicemast {
namespace {

/// The least that the system knows.
constexpr int kProbeIntervalSeconds = 1;
/// Where no limit of unacknowledged bytes is set, which the system heeds instead. At a loss of a
/// tenth of all packets each way, four in a row fail once in 770 times.
constexpr int kUnansweredProbes = 4;

void set_option(int descriptor, int level, int name, int value) {
  static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof(value)));
}

}  // namespace

void probe_when_resting(int descriptor, Duration rest) {
  const auto rest_s =
      std::max<std::int64_t>(1, to_milliseconds(rest) / to_milliseconds(seconds(1)));
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(rest_s));
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kUnansweredProbes);
  set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
}

void stop_probing(int descriptor) { set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 0); }

void limit_unacknowledged(int descriptor, Duration limit) {
  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(to_milliseconds(limit)));
}

}  // namespace pumicemast
